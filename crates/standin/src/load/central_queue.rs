//! Computed baseline: a single queue in front of all slots, with immediate knowledge of their
//! state.

use std::time::Duration;

use super::arrivals::Arrival;
use super::outcome::Measured;
use super::scenario::{FaultKind, Scenario};

struct Slot {
    target: usize,
    free_at: Duration,
}

/// Computes the result of the same arrivals and stragglers if each request goes, in order of
/// arrival, to the slot that finishes it first, without any cost of connections, network or proxy.
///
/// Other faults are ignored, so that the baseline is at least as good as with them.
///
/// # Errors
/// Returns an error if the histogram cannot be created.
pub fn central_queue(scenario: &Scenario, planned: &[Arrival]) -> anyhow::Result<Measured> {
    let service = &scenario.service;
    let slot = |number: usize| Slot { target: number / service.slots, free_at: Duration::ZERO };
    let mut slots: Vec<Slot> = (0..service.targets * service.slots).map(slot).collect();
    let mut measured = Measured::new(scenario.length - scenario.warm_up)?;
    for arrival in planned {
        let finishes_at = |slot: &Slot| {
            let start = slot.free_at.max(arrival.at);
            start + arrival.work.mul_f64(slowdown(scenario, slot.target, start))
        };
        let Some(best) = slots.iter_mut().min_by_key(|slot| finishes_at(slot)) else { continue };
        let end = finishes_at(best);
        let latency = end - arrival.at;
        let is_in_time = latency <= scenario.deadline;
        if is_in_time {
            best.free_at = end;
        }
        if arrival.at < scenario.warm_up {
            continue;
        }
        measured.requests += 1;
        if is_in_time {
            measured.good += 1;
            measured.record(latency);
        } else {
            measured.refused += 1;
        }
    }
    Ok(measured)
}

fn slowdown(scenario: &Scenario, target: usize, at: Duration) -> f64 {
    let is_active = |fault: &&super::scenario::Fault| {
        fault.hits.contains(&target) && at >= fault.from && at < fault.from + fault.lasts
    };
    let permille = scenario.faults.iter().filter(is_active).find_map(|fault| match fault.kind {
        FaultKind::Straggler(permille) => Some(permille),
        _ => None,
    });
    permille.unwrap_or(1000) as f64 / 1000.0
}
