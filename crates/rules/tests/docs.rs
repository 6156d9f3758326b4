//! The documentation has one entry per key, and its examples are valid.

use shallotfork_rules::RuleList;

const PAGE: &str = include_str!("../../../docs/rules.md");

#[test]
fn page_and_code_agree() {
    let expected: Vec<&str> = RuleList::keys().collect();
    let actual: Vec<&str> = PAGE.lines().filter_map(|line| line.strip_prefix("### ")).collect();
    assert_eq!(expected, actual);
}

/// Indented lines under `heading`.
fn example(heading: &str) -> String {
    let under = PAGE.split(heading).nth(1).expect("heading");
    let section = under.split("\n#").next().unwrap_or_default();
    section.lines().filter_map(|line| line.strip_prefix("    ")).map(|l| format!("{l}\n")).collect()
}

#[test]
fn examples_are_valid() {
    let whole = example("# Rule lists\n");
    assert_eq!(None, RuleList::parse(&whole).err());
    for key in RuleList::keys() {
        let entry = example(&format!("### {key}\n"));
        assert!(entry.starts_with(key), "{key}: {entry}");
        let beside = match key {
            "when.time" | "when.days" => "when.zone = UTC\n",
            "when.zone" => "when.days = sat\n",
            "then.retry_after_ms" => "then.refuse = 503\n",
            _ => "",
        };
        let conditional = if key.starts_with("then.") { "when.service = x\n" } else { "" };
        let text = format!("[a]\n{entry}{beside}{conditional}[b]\n");
        assert_eq!(None, RuleList::parse(&text).err(), "{text}");
    }
}
