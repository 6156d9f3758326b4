//! The loss of most targets at one moment, as when a failure domain loses power.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

#[path = "support/slots.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use shallotfork_balance::{SlotOutcome, SlotPool, StateChange};

use support::{ask, at, id, pool, queued, sent};

const DEAD: [&str; 3] = ["dead-1", "dead-2", "dead-3"];
const SOUND: &str = "sound";

/// Sends two requests to each target, all of which are lost with the dead ones.
fn pool_after_loss() -> SlotPool {
    let mut pool = pool(&[DEAD[0], DEAD[1], DEAD[2], SOUND]);
    let running: Vec<_> = (0..8).map(|_| sent(pool.admit(ask(0), at(0)))).collect();
    for assignment in &running {
        pool.mark_sent(assignment.attempt, at(0));
    }
    for assignment in running.iter().filter(|assignment| assignment.target != id(SOUND)) {
        pool.finish(assignment.attempt, SlotOutcome::Unreachable, None, at(10));
    }
    pool
}

/// Guards against requests that are spent on dead targets, one after the other, and refused, while a
/// sound target has a slot a moment later.
#[test]
fn a_request_waits_for_a_sound_target_rather_than_try_dead_ones() {
    let mut pool = pool_after_loss();
    queued(pool.admit(ask(20), at(20)));
}

/// Guards against a long pause, and a line in the log for each request, after a single loss that many
/// requests meet.
#[test]
fn requests_that_are_lost_together_count_as_one_loss() {
    let mut pool = pool_after_loss();
    let beliefs = pool.take_state_changes();
    assert_eq!(beliefs.len(), DEAD.len(), "{beliefs:?}");
    let is_first = |change| matches!(change, StateChange::Ejected { failures: 1, .. });
    assert!(beliefs.iter().all(|belief| is_first(belief.change)), "{beliefs:?}");
    assert_eq!(pool.summary(at(409)).ejected, DEAD.len());
    assert_eq!(pool.summary(at(411)).ejected, 0);
}
