//! The documentation describes every key once, and its examples are valid.

use shallotfork_rules::RuleList;

const PAGE: &str = include_str!("../../../docs/rules.md");

#[test]
fn documented_keys_match_the_parser() {
    let expected: Vec<&str> = RuleList::keys().collect();
    let actual: Vec<&str> = PAGE.lines().filter_map(|line| line.strip_prefix("### ")).collect();
    assert_eq!(expected, actual);
}

/// Returns the indented lines under `heading`.
fn example(heading: &str) -> String {
    let after_heading = PAGE.split(heading).nth(1).expect("heading");
    let section = after_heading.split("\n#").next().unwrap_or_default();
    section.lines().filter_map(|line| line.strip_prefix("    ")).map(|l| format!("{l}\n")).collect()
}

#[test]
fn documented_examples_are_valid() {
    let full_example = example("# Rule lists\n");
    assert_eq!(None, RuleList::parse(&full_example).err());
    for key in RuleList::keys() {
        let entry = example(&format!("### {key}\n"));
        assert!(entry.starts_with(key), "{key}: {entry}");
        let required_key = match key {
            "when.time" | "when.days" => "when.zone = UTC\n",
            "when.zone" => "when.days = sat\n",
            "then.retry_after_ms" => "then.refuse = 503\n",
            _ => "",
        };
        let condition = if key.starts_with("then.") { "when.service = x\n" } else { "" };
        let text = format!("[a]\n{entry}{required_key}{condition}[b]\n");
        assert_eq!(None, RuleList::parse(&text).err(), "{text}");
    }
}
