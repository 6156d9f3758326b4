//! Targets with several slots that slow down if most of them are in use.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

#[path = "support/slots.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use shallotfork_balance::{Admission, Assignment, SlotOutcome, SlotPool, SlotTarget};

use support::{at, load, named_pool, request_at, target};

const TARGETS: usize = 24;
const SLOTS: u32 = 6;
/// Number of runs above which a target slows down.
const UNSATURATED_RUNS_MAX: usize = 4;
const WORK_MS: f64 = 160.0;
const STEP_MS: u64 = 10;
/// Requests per step under normal load and under overload.
const NORMAL_REQUESTS: usize = 2;
const OVERLOAD_REQUESTS: usize = 12;
const NORMAL_MS: u64 = 4_000;
const SIMULATED_MS: u64 = 16_000;
/// Time from which the use of slots is measured, after the start of the overload.
const MEASURED_FROM_MS: u64 = 10_000;

struct Run {
    assignment: Assignment,
    started_at_ms: u64,
    remaining_ms: f64,
}

/// Result of a simulated overload.
struct Outcome {
    /// Mean number of runs per target.
    mean_running: f64,
    /// Requests answered.
    answered: usize,
}

/// Simulates normal load followed by overload on targets that take `slowdown` times as long while
/// they are saturated.
fn simulate(slowdown: f64) -> Outcome {
    let names: Vec<String> = (0..TARGETS).map(|number| format!("mill-{number}")).collect();
    let mut pool: SlotPool = named_pool("vm-0", &[]);
    let with_slots = |name: &String| SlotTarget { slots: SLOTS, ..target(name) };
    pool.set_targets(names.iter().map(with_slots).collect(), at(0));
    let mut running: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    let (mut answered, mut running_sum, mut samples) = (0, 0, 0);
    for now_ms in (0..SIMULATED_MS).step_by(STEP_MS as usize) {
        let now = at(now_ms);
        for (name, runs) in &mut running {
            let rate = if runs.len() > UNSATURATED_RUNS_MAX { 1.0 / slowdown } else { 1.0 };
            runs.iter_mut().for_each(|run| run.remaining_ms -= STEP_MS as f64 * rate);
            let count = u32::try_from(runs.len()).unwrap();
            for run in runs.extract_if(.., |run| run.remaining_ms <= 0.0) {
                let latency = Duration::from_millis(now_ms - run.started_at_ms);
                let outcome = SlotOutcome::Answered { latency };
                let load = Some(load(count, support::USUAL_PERMILLE));
                pool.finish(run.assignment.attempt, outcome, load, now);
                answered += usize::from(now_ms >= MEASURED_FROM_MS);
            }
            pool.record_load(
                &support::id(name),
                load(u32::try_from(runs.len()).unwrap(), 1000),
                now,
            );
        }
        let arrivals = if now_ms < NORMAL_MS { NORMAL_REQUESTS } else { OVERLOAD_REQUESTS };
        for _ in 0..arrivals {
            let assignment = match pool.admit(request_at(now_ms), now) {
                Admission::Send(assignment) => assignment,
                Admission::Queued(ticket) => {
                    pool.cancel(ticket);
                    break;
                }
                Admission::Shed(_) => break,
            };
            pool.mark_sent(assignment.attempt, now);
            let run = Run { started_at_ms: now_ms, remaining_ms: WORK_MS, assignment };
            running.entry(run.assignment.target.to_string()).or_default().push(run);
        }
        if now_ms >= MEASURED_FROM_MS {
            running_sum += running.values().map(Vec::len).sum::<usize>();
            samples += TARGETS;
        }
    }
    Outcome { mean_running: running_sum as f64 / samples as f64, answered }
}

/// Guards against filling all slots of targets that serve fewer requests when they are full, which
/// makes answers late and an overload last longer.
#[test]
fn slots_stay_free_if_saturation_costs_more_than_it_adds() {
    let outcome = simulate(1.7);
    assert!(outcome.mean_running < 4.4, "{} runs at a target", outcome.mean_running);
    let unsaturated_per_s = TARGETS as f64 * UNSATURATED_RUNS_MAX as f64 * 1000.0 / WORK_MS;
    let simulated_s = (SIMULATED_MS - MEASURED_FROM_MS) as f64 / 1000.0;
    let answered_per_s = outcome.answered as f64 / simulated_s;
    assert!(answered_per_s > 0.85 * unsaturated_per_s, "{answered_per_s} of {unsaturated_per_s}");
}

/// Guards against leaving slots free on targets that don't slow down.
#[test]
fn all_slots_are_used_without_saturation_slowdown() {
    let outcome = simulate(1.0);
    assert!(outcome.mean_running > 5.0, "{} runs at a target", outcome.mean_running);
}
