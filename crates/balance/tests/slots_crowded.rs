//! Targets of several slots that slow down when most of them are in use.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

#[path = "support/slots.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use shallotfork_balance::{Admission, Assignment, SlotOutcome, SlotPool, SlotTarget};

use support::{ask, at, figures, named_pool, target};

const TARGETS: usize = 24;
const SLOTS: u32 = 6;
/// Runs above which a target slows down.
const UNCROWDED: usize = 4;
const WORK_MS: f64 = 160.0;
const STEP_MS: u64 = 10;
/// Requests in each step of calm and of overload.
const CALM: usize = 2;
const OVERLOAD: usize = 12;
const CALM_MS: u64 = 4_000;
const SIMULATED_MS: u64 = 16_000;
/// Time after the start of the overload from which the use of slots is measured.
const MEASURED_FROM_MS: u64 = 10_000;

struct Run {
    assignment: Assignment,
    began_ms: u64,
    left_ms: f64,
}

/// What came of an overload.
struct Outcome {
    /// Mean number of runs of a target.
    used: f64,
    /// Requests answered.
    answered: usize,
}

/// Plays a calm time and an overload on targets that take `slowdown` times as long while crowded.
fn play(slowdown: f64) -> Outcome {
    let names: Vec<String> = (0..TARGETS).map(|number| format!("mill-{number}")).collect();
    let mut pool: SlotPool = named_pool("vm-0", &[]);
    let slotted = |name: &String| SlotTarget { slots: SLOTS, ..target(name) };
    pool.set_targets(names.iter().map(slotted).collect(), at(0));
    let mut running: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    let (mut answered, mut used, mut samples) = (0, 0, 0);
    for now_ms in (0..SIMULATED_MS).step_by(STEP_MS as usize) {
        let now = at(now_ms);
        for (name, runs) in &mut running {
            let rate = if runs.len() > UNCROWDED { 1.0 / slowdown } else { 1.0 };
            runs.iter_mut().for_each(|run| run.left_ms -= STEP_MS as f64 * rate);
            let count = u32::try_from(runs.len()).unwrap();
            for run in runs.extract_if(.., |run| run.left_ms <= 0.0) {
                let latency = Duration::from_millis(now_ms - run.began_ms);
                let outcome = SlotOutcome::Answered { latency };
                let load = Some(figures(count, support::USUAL));
                pool.finish(run.assignment.attempt, outcome, load, now);
                answered += usize::from(now_ms >= MEASURED_FROM_MS);
            }
            pool.record_load(
                &support::id(name),
                figures(u32::try_from(runs.len()).unwrap(), 1000),
                now,
            );
        }
        let arrivals = if now_ms < CALM_MS { CALM } else { OVERLOAD };
        for _ in 0..arrivals {
            let assignment = match pool.admit(ask(now_ms), now) {
                Admission::Send(assignment) => assignment,
                Admission::Queued(ticket) => {
                    pool.cancel(ticket);
                    break;
                }
                Admission::Shed(_) => break,
            };
            pool.mark_sent(assignment.attempt, now);
            let run = Run { began_ms: now_ms, left_ms: WORK_MS, assignment };
            running.entry(run.assignment.target.to_string()).or_default().push(run);
        }
        if now_ms >= MEASURED_FROM_MS {
            used += running.values().map(Vec::len).sum::<usize>();
            samples += TARGETS;
        }
    }
    Outcome { used: used as f64 / samples as f64, answered }
}

/// Guards against filling the slots of targets that serve less when they are full, so that an
/// overload is answered late and lasts longer.
#[test]
fn slots_that_cost_more_than_they_add_are_left_free() {
    let crowded = play(1.7);
    assert!(crowded.used < 4.4, "{} runs at a target", crowded.used);
    let uncrowded_per_s = TARGETS as f64 * UNCROWDED as f64 * 1000.0 / WORK_MS;
    let simulated_s = (SIMULATED_MS - MEASURED_FROM_MS) as f64 / 1000.0;
    let answered_per_s = crowded.answered as f64 / simulated_s;
    assert!(answered_per_s > 0.85 * uncrowded_per_s, "{answered_per_s} of {uncrowded_per_s}");
}

/// Guards against leaving slots free on targets that don't slow down.
#[test]
fn slots_that_add_more_than_they_cost_are_used() {
    let plain = play(1.0);
    assert!(plain.used > 5.0, "{} runs at a target", plain.used);
}
