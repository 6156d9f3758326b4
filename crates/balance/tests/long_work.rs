//! Long work in the statistics of targets: a long run says nothing about its target unless long runs
//! recur there.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

#[path = "support/slots.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::time::Duration;

use quickcheck::quickcheck;
use shallotfork_balance::{
    Admission, Assignment, SlotOutcome, SlotPool, SlotRequest, SlotTarget, WorkClass,
};

use support::{at, load, named_pool, target};

const USUAL_MS: u64 = 550;
const LONG_MS: u64 = 7 * USUAL_MS;
/// Time after which an early hedge that wins cancels the first attempt.
const CANCELLED_MS: u64 = 1_250;
const OBJECTIVE_MS: u64 = 1_500;
const TIMEOUT_MS: u64 = 60_000;
const TARGETS: [&str; 2] = ["one", "two"];
const INITIAL_WORK_US: f64 = 100_000.0;
/// Weight and cap of a sample in the mean work time of a class.
const WORK_WEIGHT: f64 = 0.05;
const SAMPLE_RATIO_MAX: f64 = 4.0;

fn class() -> WorkClass {
    WorkClass::new("reads")
}

fn request() -> SlotRequest {
    SlotRequest::new(class(), at(0), at(OBJECTIVE_MS), at(TIMEOUT_MS))
}

fn new_pool() -> SlotPool {
    let mut pool = named_pool("vm-0", &[]);
    let targets = TARGETS.map(|name| SlotTarget { slots: 2, ..target(name) });
    pool.set_targets(targets.to_vec(), at(0));
    pool
}

/// Starts an attempt at the target that the pool prefers, or at any but `other`.
fn start(pool: &mut SlotPool, other: Option<&str>) -> Assignment {
    for name in TARGETS {
        pool.record_load(&support::id(name), load(0, 1000), at(0));
    }
    let exclude = other.map(support::id).into_iter().collect();
    let admission = pool.admit(request().with_exclude(exclude), at(0));
    let Admission::Send(assignment) = admission else { panic!("a slot is free") };
    pool.mark_sent(assignment.attempt, at(0));
    assignment
}

fn end(pool: &mut SlotPool, assignment: &Assignment, time_ms: u64) {
    let outcome = SlotOutcome::Answered { latency: Duration::from_millis(time_ms) };
    pool.finish(assignment.attempt, outcome, Some(load(1, 1000)), at(time_ms));
}

/// Runs a request at a target.
fn run_at(pool: &mut SlotPool, name: &str, time_ms: u64) {
    let other = TARGETS.into_iter().find(|other| *other != name);
    let assignment = start(pool, other);
    end(pool, &assignment, time_ms);
}

/// Returns the target that the pool prefers.
fn preferred(pool: &mut SlotPool) -> &'static str {
    let assignment = start(pool, None);
    pool.finish(assignment.attempt, SlotOutcome::Cancelled, None, at(0));
    TARGETS.into_iter().find(|name| assignment.target == support::id(name)).unwrap()
}

/// Creates a pool that has seen one long run in thirty, and only usual ones of late.
fn pool_with_long_tail() -> SlotPool {
    let mut pool = new_pool();
    for run in 0..600 {
        let time_ms = if run % 30 == 9 { LONG_MS } else { USUAL_MS };
        run_at(&mut pool, TARGETS[run % 2], time_ms);
    }
    (0..80).for_each(|run| run_at(&mut pool, TARGETS[run % 2], USUAL_MS));
    pool
}

/// Guards against a target that is avoided after one long run.
#[test]
fn one_long_run_does_not_change_the_preferred_target() {
    let mut pool = pool_with_long_tail();
    let before = preferred(&mut pool);
    run_at(&mut pool, before, LONG_MS);
    assert_eq!(preferred(&mut pool), before);
    let usual_time = pool.usual_time(&class());
    run_at(&mut pool, before, LONG_MS);
    assert_eq!(pool.usual_time(&class()), usual_time);
}

/// Guards against a slow target that is taken for one with long work.
#[test]
fn recurring_long_runs_make_their_target_look_slow() {
    let mut pool = pool_with_long_tail();
    let before = preferred(&mut pool);
    (0..4).for_each(|_| run_at(&mut pool, before, LONG_MS));
    assert_ne!(preferred(&mut pool), before);
}

/// Guards against a slow target whose runs are all cancelled by hedges and never measured.
#[test]
fn recurring_cancelled_runs_make_their_target_look_slow() {
    let mut pool = pool_with_long_tail();
    let before = preferred(&mut pool);
    let other = TARGETS.into_iter().find(|other| *other != before);
    let cancel = |pool: &mut SlotPool| {
        let assignment = start(pool, other);
        pool.finish(assignment.attempt, SlotOutcome::Cancelled, None, at(CANCELLED_MS));
    };
    cancel(&mut pool);
    assert_eq!(preferred(&mut pool), before);
    (0..3).for_each(|_| cancel(&mut pool));
    assert_ne!(preferred(&mut pool), before);
    assert!(pool.take_state_changes().is_empty());
}

/// Guards against a target that seems to hang while it does long work of the usual length.
#[test]
fn long_run_does_not_make_its_target_look_hanging() {
    let mut pool = pool_with_long_tail();
    let assignment = start(&mut pool, None);
    assert_eq!(pool.summary(at(LONG_MS)).overdue, 0);
    assert_eq!(pool.summary(at(2 * LONG_MS)).overdue, 1);
    end(&mut pool, &assignment, 2 * LONG_MS);
}

/// Guards against any change for classes without a long tail.
#[test]
fn long_run_makes_its_target_look_slow_without_a_long_tail() {
    let mut pool = new_pool();
    (0..400).for_each(|run| run_at(&mut pool, TARGETS[run % 2], USUAL_MS));
    let before = preferred(&mut pool);
    run_at(&mut pool, before, LONG_MS);
    assert_ne!(preferred(&mut pool), before);
    let assignment = start(&mut pool, None);
    assert_eq!(pool.summary(at(LONG_MS)).overdue, 1);
    end(&mut pool, &assignment, USUAL_MS);
}

/// Returns the usual time as it was estimated before classes had distributions.
fn old_usual_time(times_ms: &[u64]) -> Duration {
    let mut usual_us = None;
    for time_ms in times_ms {
        let time_us = *time_ms as f64 * 1000.0;
        usual_us = Some(usual_us.map_or(time_us, |usual_us: f64| {
            usual_us + (time_us.min(usual_us * SAMPLE_RATIO_MAX) - usual_us) * WORK_WEIGHT
        }));
    }
    Duration::from_micros(usual_us.unwrap_or(INITIAL_WORK_US) as u64)
}

quickcheck! {
    /// Guards against any change of the estimates without a long tail. One run in a hundred may be
    /// long; the longest of the others takes less than three times as long as the shortest.
    fn usual_time_without_a_long_tail_is_as_before(times: Vec<u8>, repeats: u8) -> bool {
        let time_ms = |(run, time): (usize, u8)| {
            if run % 100 == 57 { LONG_MS } else { USUAL_MS + USUAL_MS * u64::from(time) / 140 }
        };
        let runs = (0..repeats % 16).flat_map(|_| times.clone());
        let times_ms: Vec<u64> = runs.enumerate().map(time_ms).collect();
        let mut pool = new_pool();
        for (run, time_ms) in times_ms.iter().enumerate() {
            run_at(&mut pool, TARGETS[run % 2], *time_ms);
        }
        let (now, before) = (pool.usual_time(&class()), old_usual_time(&times_ms));
        now.abs_diff(before) <= Duration::from_micros(1)
    }
}
