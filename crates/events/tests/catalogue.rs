//! Compares the event catalogue with `docs/EVENTS.md`.

use shallotfork_events::{ALL, Event};

fn format_row(event: &Event) -> String {
    format!("| {} | {:?} | {} |", event.code, event.level, event.text)
}

#[test]
fn docs_list_every_event_once() {
    let expected: Vec<String> = ALL.iter().map(format_row).collect();
    let page = include_str!("../../../docs/EVENTS.md");
    let actual: Vec<String> = page
        .lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit())
        .map(strip_explanation)
        .collect();
    assert_eq!(expected, actual);
}

/// Removes the last column, which explains the event to operators.
fn strip_explanation(line: &str) -> String {
    let columns: Vec<&str> = line.split(" | ").take(3).collect();
    format!("{} |", columns.join(" | "))
}

#[test]
fn numbers_are_ascending() {
    assert!(ALL.windows(2).all(|pair| pair[0].code < pair[1].code));
}
