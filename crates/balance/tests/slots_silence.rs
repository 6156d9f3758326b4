//! Targets that do not answer when they are asked for their pace.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::time::Duration;

use shallotfork_balance::{SlotPool, SlotPoolConfig, SlotTarget};
use shallotfork_types::{FailureDomain, Mono, TargetId};

fn mill() -> TargetId {
    TargetId::new("mill").unwrap()
}

fn pool() -> SlotPool {
    let mut pool = SlotPool::new(SlotPoolConfig::default());
    let target = SlotTarget {
        id: mill(),
        failure_domain: FailureDomain::new("hall").unwrap(),
        slots: 2,
        serving: true,
        cold_for: Duration::ZERO,
    };
    pool.set_targets(vec![target], Mono::ZERO);
    pool
}

#[test]
fn a_target_that_is_silent_twice_is_left_out() {
    let mut pool = pool();
    pool.unanswered(&mill(), Duration::ZERO, Mono::from_millis(10));
    assert_eq!(pool.summary(Mono::from_millis(11)).ejected, 0, "an answer can be lost");
    pool.unanswered(&mill(), Duration::from_millis(2), Mono::from_millis(70));
    assert_eq!(pool.summary(Mono::from_millis(71)).ejected, 1);
}

/// All entries start at once, and three of them get every caller who has waited. Busy for a tenth
/// of a second, they find the answers of dozens of sound targets too late, and left these out just
/// when every slot was needed.
#[test]
fn silence_that_a_busy_process_only_seems_to_hear_counts_for_nothing() {
    let mut pool = pool();
    for asked in 1..10 {
        pool.unanswered(&mill(), Duration::from_millis(60), Mono::from_millis(asked * 100));
    }
    assert_eq!(pool.summary(Mono::from_millis(1000)).ejected, 0);
}
