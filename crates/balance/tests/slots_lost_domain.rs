//! Loss of most targets at once, as when a failure domain loses power.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

#[path = "support/slots.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use shallotfork_balance::{SlotOutcome, SlotPool, StateChange};

use support::{at, expect_queued, expect_sent, id, pool, request_at};

const DEAD: [&str; 3] = ["dead-1", "dead-2", "dead-3"];
const HEALTHY: &str = "sound";

/// Returns a pool that has sent two requests to each target and lost those at the dead ones.
fn pool_after_loss() -> SlotPool {
    let mut pool = pool(&[DEAD[0], DEAD[1], DEAD[2], HEALTHY]);
    let running: Vec<_> = (0..8).map(|_| expect_sent(pool.admit(request_at(0), at(0)))).collect();
    for assignment in &running {
        pool.mark_sent(assignment.attempt, at(0));
    }
    for assignment in running.iter().filter(|assignment| assignment.target != id(HEALTHY)) {
        pool.finish(assignment.attempt, SlotOutcome::Unreachable, None, at(10));
    }
    pool
}

/// Guards against sending requests to one dead target after the other and then rejecting them,
/// although a healthy target has a free slot a moment later.
#[test]
fn request_waits_for_healthy_target_instead_of_trying_dead_ones() {
    let mut pool = pool_after_loss();
    expect_queued(pool.admit(request_at(20), at(20)));
}

/// Guards against a long ejection and a log line per request after a single failure that many
/// requests meet.
#[test]
fn simultaneous_failures_count_once() {
    let mut pool = pool_after_loss();
    let changes = pool.take_state_changes();
    assert_eq!(changes.len(), DEAD.len(), "{changes:?}");
    let is_first = |change| matches!(change, StateChange::Ejected { failures: 1, .. });
    assert!(changes.iter().all(|change| is_first(change.change)), "{changes:?}");
    assert_eq!(pool.summary(at(409)).ejected, DEAD.len());
    assert_eq!(pool.summary(at(411)).ejected, 0);
}
