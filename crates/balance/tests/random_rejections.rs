//! Rejections by targets with free slots, told apart from lack of capacity.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

#[path = "support/slots.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use shallotfork_balance::{
    Assignment, SlotOutcome, SlotPool, SlotPoolConfig, StateChange, TargetLoad,
};

use support::{USUAL_PERMILLE, answered, at, expect_sent, id, load, request_at, target};

/// Work time of the requests that are run.
const WORK_MS: u64 = 50;

fn service(targets: usize) -> SlotPool {
    let mut pool = SlotPool::new(SlotPoolConfig::default());
    let published = (0..targets).map(|number| target(&format!("target-{number}"))).collect();
    pool.set_targets(published, at(0));
    pool
}

/// Which requests a simulated service rejects, and what it reports with a rejection.
struct Rejections<'a> {
    is_rejected: &'a dyn Fn(usize, &Assignment) -> bool,
    reported: Option<TargetLoad>,
}

impl Rejections<'_> {
    /// Sends a request each 10 ms until `to_ms`. Returns the ejections.
    fn run(&self, pool: &mut SlotPool, from_ms: u64, to_ms: u64) -> usize {
        let mut running: Vec<(u64, Assignment)> = Vec::new();
        for (number, now_ms) in (from_ms..to_ms).step_by(10).enumerate() {
            for (_, assignment) in running.extract_if(.., |(ends_ms, _)| *ends_ms <= now_ms) {
                let load = Some(load(1, USUAL_PERMILLE));
                pool.finish(assignment.attempt, answered(), load, at(now_ms));
            }
            let assignment = expect_sent(pool.admit(request_at(now_ms), at(now_ms)));
            pool.mark_sent(assignment.attempt, at(now_ms));
            if (self.is_rejected)(number, &assignment) {
                pool.finish(assignment.attempt, SlotOutcome::Full, self.reported, at(now_ms + 2));
            } else {
                running.push((now_ms + WORK_MS, assignment));
            }
        }
        for (ends_ms, assignment) in running {
            pool.finish(assignment.attempt, answered(), None, at(ends_ms.max(to_ms)));
        }
        ejections(pool)
    }
}

fn ejections(pool: &mut SlotPool) -> usize {
    let changes = pool.take_state_changes();
    changes.iter().filter(|c| matches!(c.change, StateChange::Ejected { .. })).count()
}

/// Eleven of twenty requests, in no regular order.
fn most(number: usize, _assignment: &Assignment) -> bool {
    (number * 7 + number / 3) % 20 < 11
}

fn free() -> Option<TargetLoad> {
    Some(load(0, USUAL_PERMILLE))
}

fn full() -> Option<TargetLoad> {
    Some(load(2, USUAL_PERMILLE))
}

/// Guards against ejecting healthy targets that reject requests at random: the others then receive
/// their requests, and callers are told to wait although slots are free.
#[test]
fn random_rejections_eject_no_target() {
    let mut pool = service(20);
    let rejections = Rejections { is_rejected: &most, reported: free() };
    rejections.run(&mut pool, 0, 500);
    assert!(pool.rejects_at_random(at(500)));
    assert_eq!(rejections.run(&mut pool, 500, 8_000), 0);
    let summary = pool.summary(at(8_100));
    assert_eq!((summary.ejected, summary.free_slots), (0, 40));
}

/// Guards against a retry-after time derived from a queue that does not exist, and against callers
/// returning all at once.
#[test]
fn retry_after_is_short_and_spread() {
    let mut pool = service(20);
    Rejections { is_rejected: &most, reported: free() }.run(&mut pool, 0, 1_000);
    let times: BTreeSet<Duration> =
        (0..100).map(|ms| pool.shed_no_target(at(1_000 + ms)).retry_after).collect();
    assert!(times.len() > 20, "{times:?}");
    let bounds = Duration::from_millis(55)..=Duration::from_millis(85);
    assert!(times.iter().all(|time| bounds.contains(time)), "{times:?}");
}

/// Guards against mistaking lack of capacity for random rejections: full targets must be left
/// alone, and callers must stay away until a slot is expected.
#[test]
fn rejections_by_full_targets_eject_them() {
    for reported in [full(), None] {
        let mut pool = service(20);
        let rejections = Rejections { is_rejected: &most, reported };
        assert!(rejections.run(&mut pool, 0, 2_000) > 5);
        assert!(!pool.rejects_at_random(at(2_000)));
        assert!(pool.shed_no_target(at(2_000)).retry_after >= Duration::from_millis(150));
    }
}

/// Guards against switching ejections off while a part of the rejections is due to lack of
/// capacity.
#[test]
fn full_targets_among_others_end_the_condition() {
    let mut pool = service(20);
    Rejections { is_rejected: &most, reported: free() }.run(&mut pool, 0, 1_000);
    assert!(pool.rejects_at_random(at(1_000)));
    let rejections = Rejections { is_rejected: &most, reported: full() };
    assert!(rejections.run(&mut pool, 1_000, 2_000) > 0);
    assert!(!pool.rejects_at_random(at(2_000)));
}

/// Guards against keeping a faulty target because it reports free slots.
#[test]
fn single_rejecting_target_is_ejected() {
    let mut pool = service(4);
    let faulty = id("target-1");
    // All slots are requested, so that the target is used although it ranks last.
    let sent: Vec<Assignment> =
        (0..8).map(|_| expect_sent(pool.admit(request_at(0), at(0)))).collect();
    for assignment in sent {
        let is_faulty = assignment.target == faulty;
        let outcome = if is_faulty { SlotOutcome::Full } else { answered() };
        pool.finish(assignment.attempt, outcome, free(), at(100));
    }
    assert_eq!(ejections(&mut pool), 1);
    assert_eq!(pool.summary(at(100)).ejected, 1);
    assert!(!pool.rejects_at_random(at(100)));
}

/// Guards against leaving those targets ejected that were rejected from before the condition was
/// known.
#[test]
fn ejections_before_the_condition_are_undone() {
    let mut pool = service(8);
    let rejections = Rejections { is_rejected: &|_, _| true, reported: free() };
    let mut now_ms = 0;
    while !pool.rejects_at_random(at(now_ms)) {
        rejections.run(&mut pool, now_ms, now_ms + 10);
        now_ms += 10;
        assert!(now_ms < 1_000);
    }
    assert_eq!(pool.summary(at(now_ms)).ejected, 0);
}

/// Guards against a faulty target that stays in use because other targets reject at random.
#[test]
fn failures_count_while_targets_reject_at_random() {
    let mut pool = service(20);
    Rejections { is_rejected: &most, reported: free() }.run(&mut pool, 0, 1_000);
    let assignment = expect_sent(pool.admit(request_at(1_000), at(1_000)));
    pool.finish(assignment.attempt, SlotOutcome::Unreachable, None, at(1_001));
    assert_eq!(ejections(&mut pool), 1);
    assert_eq!(pool.summary(at(1_002)).ejected, 1);
}

/// Guards against keeping the condition after the rejections have ended, or without requests.
#[test]
fn condition_ends_with_the_rejections() {
    let mut pool = service(20);
    Rejections { is_rejected: &most, reported: free() }.run(&mut pool, 0, 1_000);
    assert!(pool.rejects_at_random(at(1_500)));
    assert!(!pool.rejects_at_random(at(4_000)));
    let none = Rejections { is_rejected: &|_, _| false, reported: None };
    none.run(&mut pool, 1_000, 2_000);
    assert!(!pool.rejects_at_random(at(2_000)));
}

/// Guards against treating a rejection without a load report as lack of capacity if a probe has
/// just shown the target to be idle.
#[test]
fn recent_probe_counts_for_rejection_without_report() {
    let mut pool = service(20);
    for number in 0..40 {
        let now_ms = number as u64 * 10;
        let assignment = expect_sent(pool.admit(request_at(now_ms), at(now_ms)));
        pool.record_load(&assignment.target, load(0, USUAL_PERMILLE), at(now_ms));
        pool.mark_sent(assignment.attempt, at(now_ms));
        let outcome = if most(number, &assignment) { SlotOutcome::Full } else { answered() };
        pool.finish(assignment.attempt, outcome, None, at(now_ms + 5));
    }
    assert!(pool.rejects_at_random(at(400)));
}
