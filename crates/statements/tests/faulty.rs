//! Targets whose answers do not end.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::time::Duration;

use shallotfork_statements::{FaultyTargets, TargetRun};
use shallotfork_types::{Mono, TargetId};

fn run(started_at_ms: Option<u64>) -> TargetRun {
    TargetRun::new(TargetId::new("target-1").unwrap(), started_at_ms)
}

fn at(ms: u64) -> Mono {
    Mono::from_millis(ms)
}

/// Guards against leaving out a target for one answer that is merely larger than the limits.
#[test]
fn two_faults_within_the_window_exclude() {
    let mut targets = FaultyTargets::new();
    assert_eq!(targets.record_fault(&run(Some(1)), at(0)), None);
    assert_eq!(targets.record_fault(&run(Some(1)), at(31_000)), None, "outside of the window");
    assert_eq!(targets.record_fault(&run(Some(1)), at(32_000)), Some(at(42_000)));
    assert_eq!(targets.record_fault(&run(Some(1)), at(33_000)), None, "known already");
}

/// Guards against a target that is tried again and again at full cost.
#[test]
fn each_further_exclusion_takes_longer() {
    let mut targets = FaultyTargets::new();
    targets.record_fault(&run(Some(1)), at(0));
    let mut now = at(0);
    let mut durations_s = Vec::new();
    for _ in 0..7 {
        let until = targets.record_fault(&run(Some(1)), now).unwrap();
        durations_s.push(until.since(now).as_secs());
        now = until;
    }
    assert_eq!(durations_s, [10, 20, 40, 80, 160, 300, 300]);
}

/// Guards against leaving out a target that was restarted, or that recovered long ago.
#[test]
fn an_exclusion_holds_for_one_run_and_is_forgotten() {
    let mut targets = FaultyTargets::new();
    targets.record_fault(&run(Some(1)), at(0));
    targets.record_fault(&run(Some(1)), at(0));
    assert_eq!(targets.record_fault(&run(Some(2)), at(100)), None, "a new run");
    targets.record_fault(&run(Some(2)), at(200));
    targets.expire(at(611_000));
    assert_eq!(targets.record_fault(&run(Some(2)), at(611_000)), None, "forgotten");
}

/// Guards against entries that each have to find out, and against reports that they send to each
/// other forever.
#[test]
fn exclusions_are_reported_for_a_limited_time() {
    let (mut own, mut peer) = (FaultyTargets::new(), FaultyTargets::new());
    own.record_fault(&run(Some(1)), at(1_000));
    assert!(own.reports(at(1_000)).is_empty());
    own.record_fault(&run(Some(1)), at(1_000));
    let report = own.reports(at(1_500)).remove(0);
    assert_eq!((report.remaining, report.exclusions), (Duration::from_millis(9_500), 1));
    assert_eq!(peer.merge(&report, at(1_600)), Some(at(11_100)));
    assert_eq!(peer.merge(&report, at(1_700)), None);
    let returned = peer.reports(at(1_800)).remove(0);
    assert_eq!(own.merge(&returned, at(1_900)), None, "an exclusion that its own report extends");
    assert!(own.reports(at(4_000)).is_empty() && peer.reports(at(5_000)).is_empty());
    let until = peer.record_fault(&run(Some(1)), at(12_000)).unwrap();
    assert_eq!(until, at(32_000), "the peer's exclusion counts");
}
