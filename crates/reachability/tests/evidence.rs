//! Evidence of whether targets are reachable.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::time::Duration;

use shallotfork_reachability::ReachEvidence;
use shallotfork_types::{Mono, TargetId};

fn target(number: usize) -> TargetId {
    TargetId::new(&format!("target-{number}")).unwrap()
}

/// Guards against a process that cannot tell its operators how many targets it reaches.
#[test]
fn targets_are_counted_by_their_last_evidence() {
    let mut evidence = ReachEvidence::new();
    (0..4).for_each(|number| evidence.record_answer(&target(number), Mono::from_millis(100)));
    evidence.record_failure(&target(0), Mono::from_millis(200));
    evidence.record_failure(&target(1), Mono::from_millis(200));
    evidence.record_answer(&target(1), Mono::from_millis(300));
    let summary = evidence.summary(6, Mono::from_millis(400));
    assert_eq!((summary.reachable, summary.unreachable, summary.unknown), (3, 1, 2));
    assert_eq!(summary.last_answer_age, Some(Duration::from_millis(100)));
}

/// Guards against old answers that count as proof, and against targets that are kept after they
/// have left.
#[test]
fn evidence_of_old_answers_and_removed_targets_is_dropped() {
    let mut evidence = ReachEvidence::new();
    evidence.record_answer(&target(0), Mono::from_millis(100));
    evidence.record_failure(&target(1), Mono::from_millis(100));
    let summary = evidence.summary(2, Mono::from_millis(60_000));
    assert_eq!((summary.reachable, summary.unreachable, summary.unknown), (0, 1, 1));
    evidence.set_targets([target(0)].iter());
    let summary = evidence.summary(1, Mono::from_millis(60_000));
    assert_eq!((summary.reachable, summary.unreachable, summary.unknown), (0, 0, 1));
}
