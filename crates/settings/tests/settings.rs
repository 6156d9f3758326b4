//! Parsing of valid and invalid settings files.

use shallotfork_settings::{SettingError, Settings};

const MINIMAL: &str = "\
[vm]
id = entry-1
failure_domain = kalgoorlie
[callers]
listen = 127.0.0.1:0
[peers]
listen = 127.0.0.1:0
key_file = /run/shallotd/peer.key
[platform]
address = 127.0.0.1:7000, 127.0.0.2:7000
";

fn format_errors(errors: &[SettingError]) -> String {
    errors.iter().map(|error| format!("{error}\n")).collect()
}

#[test]
fn minimal_file_uses_defaults() {
    insta::assert_debug_snapshot!(Settings::parse(MINIMAL).unwrap());
}

#[test]
fn all_errors_are_reported_together() {
    let text = "\
[vm]
id = not a name
failure_domain = kalgoorlie
probe_share = 16
[callers]
listen = localhost:80
body_max = 8 potatoes
colour = red
[peers]
listen = 127.0.0.1:0
listen = 127.0.0.1:1
[orchard]
";
    insta::assert_snapshot!(format_errors(&Settings::parse(text).unwrap_err()));
}

#[test]
fn contradicting_values_are_rejected() {
    let text = format!(
        "{MINIMAL}\n[operators]\nlisten = 10.0.0.1:0\n[once]\nkept_answer_max = 64MiB\n\
         [vm]\nprobe_share = 4\nprobe_shares = 4\n[callers]\ndeadline_default_ms = 70000\n\
         [measure]\nprobe_budget_permille = 1001\n"
    );
    insta::assert_snapshot!(format_errors(&Settings::parse(&text).unwrap_err()));
}

#[test]
fn invalid_ini_lines_are_rejected() {
    let actual = format_errors(&Settings::parse("[vm]\nid entry-1\n[peers\n").unwrap_err());
    insta::assert_snapshot!(actual);
}
