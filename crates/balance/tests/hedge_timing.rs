//! When hedges are sent, and what they cost, for work with and without a long tail.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

#[path = "support/slots.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;
#[path = "support/uneven_work.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod uneven_work;

use std::time::Duration;

use quickcheck::quickcheck;
use shallotfork_balance::{
    Admission, EarlyHedge, HedgePlan, HedgeResult, RetryAllowance, RetryWindow, SlotOutcome,
    SlotPool, SlotRequest, SlotTarget,
};
use shallotfork_types::{Mono, Permille};

use support::{at, load, named_pool, target};
use uneven_work::{LongWork, Report, Rule, UnevenLoad, class, simulate};

const SEED: u64 = 1;
const USUAL_MS: u64 = 550;
const LONG_MS: u64 = 7 * USUAL_MS;
const OBJECTIVE_MS: u64 = 1_500;
const TIMEOUT_MS: u64 = 6_000;
/// Requests of the window in which the allowance of early hedges is tested, and its limits.
const WINDOW_REQUESTS: usize = 100;
const WINDOW_ALLOWANCE: RetryAllowance = RetryAllowance { share: Permille::new(200), extra: 0 };
const WINDOW_REPEATS: usize = 20;
const WINDOW_EARLY_HEDGES: usize = 12;

/// Simulates the load of docs/design/demanding-load.md under the old and the planned rule.
fn compare(long_work: LongWork) -> (Report, Report) {
    let load = UnevenLoad::new(long_work);
    let reports = (simulate(load, Rule::Old, SEED), simulate(load, Rule::Planned, SEED));
    println!("{long_work:?}\n  old     {:?}\n  planned {:?}", reports.0, reports.1);
    reports
}

fn request(objective_ms: u64) -> SlotRequest {
    SlotRequest::new(class(), at(0), at(objective_ms), at(TIMEOUT_MS))
}

/// Creates a pool in which runs with these times have ended at one of two targets of usual speed.
fn pool_after(times_ms: impl IntoIterator<Item = u64>) -> SlotPool {
    let mut pool = named_pool("vm-0", &[]);
    let targets = ["one", "two"].map(|name| SlotTarget { slots: 2, ..target(name) });
    pool.set_targets(targets.to_vec(), at(0));
    for time_ms in times_ms {
        run_for(&mut pool, time_ms, |latency| SlotOutcome::Answered { latency });
    }
    pool
}

fn run_for(pool: &mut SlotPool, time_ms: u64, outcome: impl Fn(Duration) -> SlotOutcome) {
    for name in ["one", "two"] {
        pool.record_load(&support::id(name), load(0, 1000), at(0));
    }
    let Admission::Send(assignment) = pool.admit(request(OBJECTIVE_MS), at(0)) else {
        panic!("a slot is free");
    };
    pool.mark_sent(assignment.attempt, at(0));
    let latency = Duration::from_millis(time_ms);
    let reported = Some(load(1, 1000));
    pool.finish(assignment.attempt, outcome(latency), reported, at(time_ms));
}

/// Returns the times of runs of which one in thirty is long; the others spread around the usual time.
fn uneven_times_ms() -> impl Iterator<Item = u64> {
    (0..600).map(|run| if run % 30 == 29 { LONG_MS } else { USUAL_MS - 50 + run * 37 % 150 })
}

/// Plans the hedge of a request that is sent now to a target of usual speed.
fn plan(pool: &mut SlotPool, objective_ms: u64) -> HedgePlan {
    for name in ["one", "two"] {
        pool.record_load(&support::id(name), load(0, 1000), at(0));
    }
    let Admission::Send(first) = pool.admit(request(objective_ms), at(0)) else {
        panic!("a slot is free");
    };
    let plan = pool.plan_hedge(first.attempt, &request(objective_ms), at(0));
    pool.finish(first.attempt, SlotOutcome::Cancelled, None, at(0));
    plan
}

fn old_plan(pool: &SlotPool) -> HedgePlan {
    let usual_delay = pool.usual_time(&class()).mul_f64(3.0).max(Duration::from_millis(200));
    HedgePlan { early: None, usual_delay }
}

/// Guards against hedges that are sent after the objective: of 100 reads 3 to 4 are late then.
#[test]
fn few_reads_are_late_if_long_work_is_drawn_for_each_attempt() {
    let (old, planned) = compare(LongWork::OfAttempt);
    assert!(old.late * 100 > old.requests * 3, "{} late", old.late);
    assert!(planned.late * 100 < planned.requests, "{} late", planned.late);
    assert!(planned.p99_ms <= OBJECTIVE_MS, "p99 {} ms", planned.p99_ms);
    let hedges = planned.early_hedges + planned.usual_hedges;
    assert!(hedges * 100 < planned.requests * 12, "{hedges} hedges");
    assert_eq!((old.over_budget, planned.over_budget), (0, 0));
    // Ending the long runs early saves more slot time than the hedges take.
    assert!(planned.slot_ms < old.slot_ms, "{} ms", planned.slot_ms);
}

/// Guards against hedges that only take a second slot because the work is as long there.
#[test]
fn hedges_cost_little_if_long_work_belongs_to_the_request() {
    let (old, planned) = compare(LongWork::OfRequest);
    assert!(planned.late * 100 < old.late * 103, "{} late", planned.late);
    let hedges = planned.early_hedges + planned.usual_hedges;
    assert!(hedges * 100 < planned.requests * 6, "{hedges} hedges");
    assert!(planned.slot_ms * 100 < old.slot_ms * 102, "{} ms", planned.slot_ms);
    assert_eq!((old.over_budget, planned.over_budget), (0, 0));
}

/// Guards against slow phases of targets that are taken for long work.
#[test]
fn nothing_changes_without_long_work() {
    let (old, planned) = compare(LongWork::None);
    assert_eq!(planned, old);
}

/// Guards against late hedges of long runs, and against hedges of usual ones.
#[test]
fn hedge_is_sent_once_a_run_is_slower_than_most() {
    let mut pool = pool_after(uneven_times_ms());
    let HedgePlan { early: Some(EarlyHedge { delay, latest }), .. } = plan(&mut pool, OBJECTIVE_MS)
    else {
        panic!("no early hedge");
    };
    assert!((600..660).contains(&delay.as_millis()), "{delay:?}");
    assert!((910..960).contains(&latest.as_millis()), "{latest:?}");
}

/// Guards against hedges that are not needed yet: two runs that are slower than most still fit.
#[test]
fn hedge_waits_if_the_objective_leaves_time() {
    let mut pool = pool_after(uneven_times_ms());
    let early = plan(&mut pool, 2_500).early.unwrap();
    assert!((1_180..1_300).contains(&early.delay.as_millis()), "{early:?}");
    // Three times the usual time pass sooner.
    assert_eq!(plan(&mut pool, 3_500).early, None);
}

/// Guards against early hedges that can't meet the objective, and against hedges of usual runs.
#[test]
fn hedge_is_not_early_if_the_objective_leaves_no_time() {
    let mut pool = pool_after(uneven_times_ms());
    for objective_ms in [0, 100, USUAL_MS, 2 * USUAL_MS] {
        let plan = plan(&mut pool, objective_ms);
        assert_eq!(plan, old_plan(&pool), "{objective_ms} ms");
    }
}

/// Guards against a tail that seems to disappear because hedges end its runs.
#[test]
fn cancelled_runs_keep_the_tail() {
    let mut pool = pool_after(uneven_times_ms());
    for run in 0..6_000 {
        if run % 30 == 29 {
            run_for(&mut pool, 1_200, |_| SlotOutcome::Cancelled);
        } else {
            run_for(&mut pool, USUAL_MS, |latency| SlotOutcome::Answered { latency });
        }
    }
    assert!(plan(&mut pool, OBJECTIVE_MS).early.is_some());
}

/// Guards against a tail that is remembered for long after it has disappeared.
#[test]
fn tail_is_forgotten_when_no_run_is_long() {
    let mut pool = pool_after(uneven_times_ms());
    (0..2_000)
        .for_each(|_| run_for(&mut pool, USUAL_MS, |latency| SlotOutcome::Answered { latency }));
    assert_eq!(plan(&mut pool, OBJECTIVE_MS).early, None);
}

/// Guards against a cancelled attempt that is recorded as a fault of its target.
#[test]
fn cancelled_attempts_eject_no_target() {
    let mut pool = pool_after(uneven_times_ms());
    (0..100).for_each(|_| run_for(&mut pool, LONG_MS, |_| SlotOutcome::Cancelled));
    assert!(pool.take_state_changes().is_empty());
    assert_eq!(pool.summary(at(LONG_MS)).ejected, 0);
}

/// Guards against hedges that delay waiting requests or slow down other runs.
#[test]
fn early_hedge_needs_an_unsaturated_target_and_an_empty_queue() {
    let mut pool = pool_after(uneven_times_ms());
    // Of two slots one can be in use without saturating the target.
    let Admission::Send(first) = pool.admit(request(OBJECTIVE_MS), at(0)) else {
        panic!("a slot is free");
    };
    let hedge = pool.assign_early_hedge(&request(OBJECTIVE_MS), at(0)).unwrap();
    assert_eq!(pool.assign_early_hedge(&request(OBJECTIVE_MS), at(0)), None);
    assert!(pool.assign_hedge(&request(OBJECTIVE_MS), at(0)).is_some());
    pool.finish(hedge.attempt, SlotOutcome::Cancelled, None, at(0));
    while let Admission::Send(_) = pool.admit(request(OBJECTIVE_MS), at(0)) {}
    assert_eq!(pool.queued(), 1);
    pool.finish(first.attempt, SlotOutcome::Cancelled, None, at(0));
    assert_eq!(pool.assign_early_hedge(&request(OBJECTIVE_MS), at(0)), None);
}

/// Guards against early hedges that go on although they only occupy slots.
#[test]
fn early_hedges_stop_if_they_lose_long_runs() {
    let mut pool = pool_after(uneven_times_ms());
    let lost = Duration::from_millis(LONG_MS);
    let count_early =
        |pool: &mut SlotPool| (0..160).filter(|_| plan(pool, OBJECTIVE_MS).early.is_some()).count();
    assert_eq!(count_early(&mut pool), 160);
    (0..20).for_each(|_| pool.record_early_hedge(&class(), HedgeResult::Lost, lost));
    assert_eq!(count_early(&mut pool), 10);
    (0..200).for_each(|_| pool.record_early_hedge(&class(), HedgeResult::Won, lost));
    assert_eq!(count_early(&mut pool), 160);
}

/// Guards against early hedges that leave nothing of the allowance to retries.
#[test]
fn early_hedges_leave_a_part_of_the_allowance_to_retries() {
    let now = Mono::from_millis(1_000);
    let mut window = RetryWindow::new(Duration::from_secs(10));
    (0..WINDOW_REQUESTS).for_each(|_| window.record_request(now));
    let count = |acquire: &mut dyn FnMut() -> bool| (0..100).filter(|_| acquire()).count();
    let early = count(&mut || window.try_acquire_early_hedge(WINDOW_ALLOWANCE, now));
    assert_eq!(early, WINDOW_EARLY_HEDGES);
    let retries = count(&mut || window.try_acquire(WINDOW_ALLOWANCE, now));
    assert_eq!(retries, WINDOW_REPEATS - WINDOW_EARLY_HEDGES);
    assert!(!window.try_acquire_early_hedge(WINDOW_ALLOWANCE, now));
}

quickcheck! {
    /// Guards against any change of hedges for work without a long tail. The longest of these runs
    /// takes less than three times as long as the shortest.
    fn plan_without_a_long_tail_is_the_old_one(
        times: Vec<u8>, usual_ms: u16, repeats: u8, objective_ms: u16
    ) -> bool {
        let usual_ms = u64::from(usual_ms % 2_000) + 100;
        let runs = times.iter().map(|time| usual_ms + usual_ms * u64::from(*time) * 19 / 2_550);
        let mut pool = pool_after((0..repeats % 32).flat_map(|_| runs.clone()));
        let plan = plan(&mut pool, u64::from(objective_ms) % TIMEOUT_MS);
        plan == old_plan(&pool)
    }

    /// Guards against decisions by few samples, whatever these are.
    fn plan_with_few_samples_is_the_old_one(times_ms: Vec<u16>, objective_ms: u16) -> bool {
        let times_ms = times_ms.into_iter().take(127).map(|time_ms| u64::from(time_ms) + 1);
        let mut pool = pool_after(times_ms);
        let plan = plan(&mut pool, u64::from(objective_ms) % TIMEOUT_MS);
        plan == old_plan(&pool)
    }
}
