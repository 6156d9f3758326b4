//! Slot pools whose targets have asked this process for rest.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

#[path = "support/slots.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::time::Duration;

use shallotfork_balance::{Admission, ShedReason, SlotOutcome};

use support::{answered, at, expect_sent, id, pool, request_at};

const RESTING: &str = "resting";
const OTHER: &str = "other";
const REST_END_MS: u64 = 3_000;

/// Guards against a target that gets requests in its rest because an answer that was under way ends
/// the pause, or because the other targets have failed.
#[test]
fn a_resting_target_gets_no_requests_whatever_happens_to_others() {
    let mut pool = pool(&[RESTING, OTHER]);
    let sent: Vec<_> = (0..4).map(|_| expect_sent(pool.admit(request_at(0), at(0)))).collect();
    pool.set_rest(&id(RESTING), at(REST_END_MS), at(10));
    for assignment in &sent {
        pool.finish(assignment.attempt, answered(), None, at(100));
    }
    let uses_resting_at = |pool: &mut shallotfork_balance::SlotPool, ms: u64| {
        let Admission::Send(assignment) = pool.admit(request_at(ms), at(ms)) else { return false };
        pool.finish(assignment.attempt, SlotOutcome::Unreachable, None, at(ms));
        assignment.target == id(RESTING)
    };
    let in_rest = (200..REST_END_MS).step_by(50).any(|ms| uses_resting_at(&mut pool, ms));
    assert!(!in_rest, "the target is used in its rest");
    let after = (REST_END_MS..REST_END_MS + 1_000).step_by(50);
    assert!(after.into_iter().any(|ms| uses_resting_at(&mut pool, ms)), "it is not used after it");
}

/// Guards against requests that wait while all targets rest, and against callers that come back
/// before one of them takes requests again.
#[test]
fn requests_are_shed_until_the_first_rest_ends() {
    let mut pool = pool(&[RESTING, OTHER]);
    pool.set_rest(&id(RESTING), at(30_000), at(0));
    pool.set_rest(&id(OTHER), at(9_000), at(0));
    let Admission::Shed(shed) = pool.admit(request_at(1_000), at(1_000)) else {
        panic!("admitted")
    };
    assert_eq!(shed.reason, ShedReason::NoTarget);
    assert_eq!(shed.retry_after, Duration::from_secs(8));
    expect_sent(pool.admit(request_at(9_000), at(9_000)));
}

/// Guards against probes of a target in its rest, which are requests too.
#[test]
fn a_resting_target_is_not_probed() {
    let mut pool = pool(&[RESTING, OTHER]);
    support::learn_work_time(&mut pool, OTHER);
    pool.set_rest(&id(RESTING), at(30_000), at(0));
    for ms in (1_100..3_000).step_by(20) {
        let _queued_or_sent = pool.admit(request_at(ms), at(ms));
        assert!(!pool.due_probes(at(ms)).contains(&id(RESTING)), "at {ms} ms");
    }
}
