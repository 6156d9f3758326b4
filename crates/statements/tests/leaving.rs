//! Targets that say that they are leaving.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::time::Duration;

use shallotfork_statements::{LeavingTargets, TargetRun};
use shallotfork_types::{Mono, TargetId};

fn run(started_at_ms: Option<u64>) -> TargetRun {
    TargetRun::new(TargetId::new("target-1").unwrap(), started_at_ms)
}

fn at(ms: u64) -> Mono {
    Mono::from_millis(ms)
}

/// Guards against a target that stays unused for good because an earlier run of it was leaving.
#[test]
fn a_statement_holds_for_one_run_only() {
    let mut targets = LeavingTargets::new();
    assert!(targets.record_leaving(&run(Some(1)), at(100)));
    assert!(targets.is_leaving(&run(Some(1))) && targets.is_leaving(&run(None)));
    assert!(!targets.is_leaving(&run(Some(2))));
}

/// Guards against a late answer of an earlier run, or a report of one, that replaces the statement of
/// the current run.
#[test]
fn a_statement_of_an_earlier_run_is_ignored() {
    let mut targets = LeavingTargets::new();
    targets.record_leaving(&run(Some(2)), at(100));
    assert!(!targets.record_leaving(&run(Some(1)), at(200)));
    assert!(targets.is_leaving(&run(Some(2))));
}

/// Guards against a statement that an answer withdraws which was under way when it was made.
#[test]
fn only_a_later_request_withdraws_a_statement() {
    let mut targets = LeavingTargets::new();
    targets.record_leaving(&run(Some(1)), at(100));
    targets.record_staying(&run(Some(1)), at(90));
    assert!(targets.is_leaving(&run(Some(1))));
    targets.record_staying(&run(Some(1)), at(110));
    assert!(!targets.is_leaving(&run(Some(1))));
}

/// Guards against entries that do not learn that a target is leaving, and against reports that
/// entries send to each other forever.
#[test]
fn statements_are_reported_for_a_limited_time() {
    let (mut own, mut peer) = (LeavingTargets::new(), LeavingTargets::new());
    own.record_leaving(&run(Some(1)), at(1_000));
    let reports = own.reports(at(1_500));
    assert!(peer.merge(&reports[0], at(1_510)) && !peer.merge(&reports[0], at(1_520)));
    assert!(peer.is_leaving(&run(Some(1))) && peer.reports(at(1_600)).len() == 1);
    assert!(own.reports(at(60_000)).is_empty() && peer.reports(at(60_000)).is_empty());
}

/// Guards against a target without a known start that stays unused for good, and against a peer's
/// report that brings an expired statement back.
#[test]
fn statements_expire() {
    let mut targets = LeavingTargets::new();
    targets.record_leaving(&run(None), at(0));
    let report = targets.reports(at(0)).remove(0);
    let version = targets.version();
    targets.expire(at(299_000));
    assert!(targets.is_leaving(&run(None)) && targets.version() == version);
    targets.expire(at(301_000));
    assert!(!targets.is_leaving(&run(None)) && targets.version() != version);
    let old =
        shallotfork_statements::LeavingReport { answered_ago: Duration::from_secs(301), ..report };
    assert!(!targets.merge(&old, at(301_000)));
}
