//! Compares the keys with `docs/settings.md`.

use shallotfork_settings::{KeySpec, Presence, Settings};

const PAGE: &str = include_str!("../../../docs/settings.md");

/// Returns `section.key Type: …` for each entry of the page.
fn documented_entries() -> Vec<String> {
    let mut section = "";
    let mut key = "";
    let mut entries = Vec::new();
    for line in PAGE.lines() {
        if let Some(name) = line.strip_prefix("## [") {
            section = name.trim_end_matches(']');
        } else if let Some(name) = line.strip_prefix("### ") {
            key = name;
        } else if line.starts_with("Type: ") {
            entries.push(format!("{section}.{key} {line}"));
        }
    }
    entries
}

fn format_entry(spec: &KeySpec) -> String {
    let default = match spec.presence {
        Presence::Required => "required".to_owned(),
        Presence::Default(text) => format!("`{text}`"),
        Presence::Optional => "none".to_owned(),
    };
    let KeySpec { section, key, kind, example, .. } = spec;
    format!("{section}.{key} Type: {kind}. Default: {default}. Example: `{example}`.")
}

#[test]
fn docs_list_every_key() {
    let expected: Vec<String> = Settings::keys().into_iter().map(format_entry).collect();
    assert_eq!(expected, documented_entries());
}

#[test]
fn examples_form_a_valid_file() {
    let keys = Settings::keys();
    let line = |spec: &&KeySpec| format!("[{}]\n{} = {}\n", spec.section, spec.key, spec.example);
    let text: String = keys.iter().map(line).collect();
    let errors = Settings::parse(&text).err();
    assert_eq!(None, errors);
}
