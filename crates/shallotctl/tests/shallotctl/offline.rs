//! Tests of commands that need no entry.

use crate::support::{shallotctl, write_file};

const RULES: &str = "\
[orders-in-the-morning]
when.service = orders
when.time = 06:00-11:00
when.zone = Australia/Perth
then.deadline_ms = 800
then.priority = high
[overload]
when.load_above = 950
then.refuse = 503
then.retry_after_ms = 2000
[default]
then.hedge = yes
";

#[test]
fn check_accepts_valid_list() {
    let path = write_file("valid.ini", RULES);
    let run = shallotctl(&["check", &path]);
    assert_eq!((format!("{path}: valid, 3 rules\n"), 0), (run.stdout, run.code));
}

#[test]
fn check_lists_every_error() {
    let path =
        write_file("bad.ini", "[a]\nwhen.service = x\nwhen.colour = red\nthen.retries = many\n");
    let run = shallotctl(&["check", &path]);
    insta::assert_snapshot!(run.stdout.replace(&path, "FILE"));
    assert_eq!(1, run.code);
    let run = shallotctl(&["check", "--json", &path]);
    insta::assert_snapshot!("check_lists_every_error_json", run.stdout);
    assert_eq!(1, run.code);
}

#[test]
fn explain_shows_each_rule_in_turn() {
    let path = write_file("explain.ini", RULES);
    let args = ["explain", "--rules", &path, "--service", "orders", "--at"];
    let evening = shallotctl(&[&args[..], &["2026-03-02T20:00:00+08:00"]].concat());
    let busy = ["2026-03-02T20:00:00+08:00", "--load", "990", "--json"];
    let busy = shallotctl(&[&args[..], &busy].concat());
    insta::assert_snapshot!(format!("{}\n{}", evening.stdout, busy.stdout));
    assert_eq!((0, 0), (evening.code, busy.code));
}

/// With the general list alone, `explain` would name a rule that never decides for a service with
/// rules of its own.
#[test]
fn explain_applies_service_rules_first() {
    let general = write_file("general.ini", RULES);
    let own =
        write_file("own.ini", "[closed-for-stocktake]\nwhen.caller = batch\nthen.refuse = 503\n");
    assert_eq!(0, shallotctl(&["check", "--service", "orders", &own]).code);
    assert_eq!(1, shallotctl(&["check", &own]).code);
    let request = ["explain", "--service", "orders", "--caller", "batch", "--rules", &general];
    let run = shallotctl(&[&request[..], &["--service-rules", &own]].concat());
    assert!(run.stdout.contains("[closed-for-stocktake]: decides"), "{}", run.stdout);
}

#[test]
fn usage_errors_exit_with_2() {
    let wrong: [&[&str]; 9] = [
        &[],
        &["publish"],
        &["check"],
        &["check", "a", "b"],
        &["check", "a", "--colour", "red"],
        &["watch", "soon", "--entry", "127.0.0.1:1"],
        &["status"],
        &["status", "--entry", "localhost:1"],
        &["explain", "--service", "x"],
    ];
    let errors: String = wrong
        .map(|args| {
            let run = shallotctl(args);
            assert_eq!(2, run.code, "{args:?}");
            run.stderr
        })
        .concat();
    insta::assert_snapshot!(errors);
}

#[test]
fn missing_files_exit_with_3() {
    assert_eq!(3, shallotctl(&["check", "/nowhere/rules.ini"]).code);
}

#[test]
fn every_command_has_help_with_its_exit_codes() {
    for command in ["check", "explain", "status", "watch", "audit", "configuration"] {
        let run = shallotctl(&[command, "--help"]);
        let complete = run.stdout.contains("Example:") && run.stdout.contains("Exit codes:");
        assert!(complete && run.code == 0, "{command}: {}", run.stdout);
    }
}
