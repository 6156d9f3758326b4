//! Targets that ask for rest.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use shallotfork_statements::{Rests, TargetRun};
use shallotfork_types::{Mono, TargetId};

fn run(started_at_ms: Option<u64>) -> TargetRun {
    TargetRun::new(TargetId::new("target-1").unwrap(), started_at_ms)
}

fn at(ms: u64) -> Mono {
    Mono::from_millis(ms)
}

/// Guards against requests to a target before the rest that it has asked for is over.
#[test]
fn a_rest_lasts_until_its_end() {
    let mut rests = Rests::new();
    assert_eq!(rests.record(&run(Some(1)), at(3_000)), Some(at(3_000)));
    assert_eq!(rests.resting_until(&run(Some(1)), at(2_999)), Some(at(3_000)));
    assert_eq!(rests.resting_until(&run(Some(1)), at(3_000)), None);
}

/// Guards against a rest that a rejection with a shorter one ends early.
#[test]
fn a_shorter_rest_does_not_end_a_longer_one() {
    let mut rests = Rests::new();
    rests.record(&run(Some(1)), at(3_000));
    assert_eq!(rests.record(&run(Some(1)), at(1_500)), None);
    assert_eq!(rests.resting_until(&run(Some(1)), at(2_000)), Some(at(3_000)));
    assert_eq!(rests.record(&run(Some(1)), at(4_000)), Some(at(4_000)));
}

/// Guards against a target that is not used after a restart because its earlier run rested.
#[test]
fn a_restarted_target_does_not_rest() {
    let mut rests = Rests::new();
    rests.record(&run(Some(1)), at(3_000));
    assert_eq!(rests.resting_until(&run(Some(2)), at(1_000)), None);
    rests.record(&run(None), at(5_000));
    rests.forget(&run(None).target);
    assert_eq!(rests.resting_until(&run(None), at(1_000)), None);
}

/// Guards against records of rests that are kept forever.
#[test]
fn rests_that_are_over_are_forgotten() {
    let mut rests = Rests::new();
    rests.record(&run(None), at(3_000));
    rests.expire(at(3_000));
    assert_eq!(rests.resting_until(&run(None), at(0)), None);
}
