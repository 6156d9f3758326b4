//! Requests that cold targets receive from a whole fleet of processes.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

#[path = "support/slots.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod fleet;

use std::time::{Duration, Instant};

use shallotfork_balance::{Admission, Sharer, SlotPool, SlotTarget};
use shallotfork_types::{Permille, RequestRate, Warmup};

use fleet::{FULL_SHARE, Fleet};
use support::{answered, at, expect_queued, expect_sent, id, load, named_pool, request_at, target};

const TARGET: &str = "mill";
const SEEDS: std::ops::Range<u64> = 1..4;
/// Time of a short request; six slots could serve 46 of them a second.
const QUICK_MS: u64 = 130;
const SIMULATED_MS: u64 = 20_000;
const WINDOW_MS: u64 = 1_000;
const RATE: RequestRate = RequestRate::from_milli_per_s(5_800);

/// Returns the number of requests that a cold target may receive in a second: 1.5 times the warm-up
/// rate, plus 8.
fn allowed_in_window() -> usize {
    (1.5 * RATE.per_s()) as usize + 8
}

fn warmup(cold_ms: u64) -> Option<Warmup> {
    Some(Warmup { duration: Duration::from_millis(cold_ms), rate: RATE })
}

fn cold_target(name: &str, cold_ms: u64) -> SlotTarget {
    SlotTarget { slots: 6, cold_for: Duration::from_millis(cold_ms), ..target(name) }
}

/// Returns a pool whose targets stay cold.
fn cold_pool(name: &str, targets: &[&str]) -> SlotPool {
    let mut pool = named_pool(name, &[]);
    pool.set_warmup(warmup(SIMULATED_MS), at(0));
    pool.set_targets(targets.iter().map(|name| cold_target(name, SIMULATED_MS)).collect(), at(0));
    pool
}

/// Guards against processes that each keep the warm-up rate of a cold target but exceed it in
/// total.
#[test]
fn fleet_keeps_warm_up_rate_while_sharers_change() {
    for seed in SEEDS {
        for (count, sharers) in [(1, 1), (3, 3), (15, 3), (15, 15), (472, 40)] {
            let mut fleet =
                Fleet::new(seed, count, sharers, QUICK_MS, |name| cold_pool(name, &[TARGET]));
            fleet.run(SIMULATED_MS, 1_000);
            let max = fleet.max_sends_in_window(0, WINDOW_MS);
            assert!(max <= allowed_in_window(), "seed {seed}, {sharers} of {count}: {max}");
            let sends = fleet.sends.len() as f64;
            let allowed = RATE.per_s() * SIMULATED_MS as f64 / 1000.0;
            assert!(
                sends >= 0.5 * allowed,
                "seed {seed}, {sharers} of {count}: {sends} of {allowed}"
            );
        }
    }
}

/// Guards against overloading a whole failure domain that restarts at once: all of its targets are
/// cold, idle and preferred by every process while there are no other targets.
#[test]
fn returning_cold_domain_keeps_warm_up_rate_per_target() {
    let names: Vec<String> = (0..20).map(|number| format!("mill-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed, 15, 3, QUICK_MS, |name| cold_pool(name, &names));
        fleet.run(3_000, 1_000);
        let max = fleet.max_sends_in_window(0, WINDOW_MS);
        assert!(max <= allowed_in_window(), "seed {seed}: {max}");
        assert!(fleet.sends.len() > 150, "seed {seed}: only {} sends", fleet.sends.len());
    }
}

/// Guards against the groups of a partitioned fleet each using the full warm-up rate of a cold
/// target.
#[test]
fn partitioned_fleet_keeps_warm_up_rate() {
    let mut fleet = Fleet::new(1, 15, 3, QUICK_MS, |name| cold_pool(name, &[TARGET]));
    for (number, process) in fleet.processes.iter_mut().enumerate() {
        let (group, share) = match number {
            0..8 => (0..8, FULL_SHARE),
            8..12 => (8..12, Permille::new(266)),
            _ => (12..15, Permille::new(200)),
        };
        let names = group.map(|number| Sharer::new(&format!("vm-{number}"))).collect();
        process.pool.set_sharers(names, share, at(0));
    }
    fleet.run(SIMULATED_MS, SIMULATED_MS);
    let max = fleet.max_sends_in_window(0, WINDOW_MS);
    assert!(max <= allowed_in_window(), "{max}");
}

/// Guards against processes that have just started and each consider themselves the only one.
#[test]
fn processes_without_fleet_view_send_nothing_to_cold_targets() {
    for count in [3, 15, 472] {
        let mut fleet = Fleet::new(1, count, 3, QUICK_MS, |name| cold_pool(name, &[TARGET]));
        let own_view = |name: &str| (vec![Sharer::new(name)], Permille::new(0));
        for process in &mut fleet.processes {
            let (names, share) = own_view(&process.name);
            process.pool.set_sharers(names, share, at(0));
        }
        fleet.schedule_view_updates(1_000);
        fleet.run(4_000, 4_000);
        let max = fleet.max_sends_in_window(0, WINDOW_MS);
        assert!(max <= allowed_in_window(), "{count}: {max}");
        assert!(fleet.sends.iter().all(|(at_ms, _)| *at_ms >= 1_000), "{count}");
        assert!(!fleet.sends.is_empty(), "{count}");
    }
}

/// Guards against sending a request on a slot that was assigned before the target turned cold.
#[test]
fn slot_is_unfit_after_target_turns_cold() {
    let mut pool = named_pool("vm-0", &[TARGET]);
    pool.set_sharers(vec![Sharer::new("vm-0")], FULL_SHARE, at(0));
    pool.set_warmup(warmup(3_000), at(0));
    let assignment = expect_sent(pool.admit(request_at(0), at(0)));
    assert!(!pool.is_unfit(&assignment, &request_at(0), at(1)));
    assert!(pool.record_cold_report(&id(TARGET), Duration::from_millis(900), at(1)));
    assert!(pool.is_unfit(&assignment, &request_at(0), at(1)));
    pool.finish(assignment.attempt, shallotfork_balance::SlotOutcome::Cancelled, None, at(2));
    // The first request waits until the share allows it; its slot is then fit.
    expect_queued(pool.admit(request_at(2), at(2)));
    let second = expect_sent(pool.admit(request_at(400), at(400)));
    assert!(!pool.is_unfit(&second, &request_at(400), at(401)));
    pool.mark_sent(second.attempt, at(401));
    pool.finish(second.attempt, answered(), None, at(420));
    assert!(!pool.is_cold(&id(TARGET), at(902)));
    for now_ms in 902..906 {
        let warm = expect_sent(pool.admit(request_at(now_ms), at(now_ms)));
        pool.mark_sent(warm.attempt, at(now_ms));
        pool.finish(warm.attempt, answered(), None, at(now_ms));
    }
}

/// Guards against a busy target turning cold unnoticed: its answers report its load so often that
/// it is never probed, but only probe answers report that it is cold.
#[test]
fn busy_target_is_probed_for_cold_report() {
    let mut pool = named_pool("vm-0", &[TARGET]);
    pool.set_sharers(vec![Sharer::new("vm-0")], FULL_SHARE, at(0));
    pool.set_warmup(warmup(3_000), at(0));
    pool.record_cold_report(&id(TARGET), Duration::ZERO, at(0));
    let mut unprobed = 0;
    for now_ms in (0..1_000).step_by(8) {
        let assignment = expect_sent(pool.admit(request_at(now_ms), at(now_ms)));
        if pool.needs_probe(&id(TARGET), at(now_ms)) {
            pool.record_cold_report(&id(TARGET), Duration::ZERO, at(now_ms));
            unprobed = 0;
        }
        pool.mark_sent(assignment.attempt, at(now_ms));
        unprobed += 1;
        pool.finish(assignment.attempt, answered(), Some(load(1, 100)), at(now_ms + 5));
        assert!(unprobed <= allowed_in_window() / 2, "{unprobed} requests since the last probe");
    }
}

/// Guards against an outdated published list ending the cold time that the target itself reported.
#[test]
fn published_list_does_not_end_reported_cold_time() {
    let mut pool = named_pool("vm-0", &[]);
    pool.set_warmup(warmup(3_000), at(0));
    pool.set_targets(vec![cold_target(TARGET, 500)], at(0));
    assert!(pool.is_cold(&id(TARGET), at(499)));
    pool.record_cold_report(&id(TARGET), Duration::from_millis(2_800), at(300));
    pool.set_targets(vec![cold_target(TARGET, 0)], at(600));
    assert!(pool.is_cold(&id(TARGET), at(3_000)));
    // A target that is published as cold again later is cold again.
    pool.set_targets(vec![cold_target(TARGET, 3_000)], at(5_000));
    assert!(pool.is_cold(&id(TARGET), at(7_999)));
    assert!(!pool.is_cold(&id(TARGET), at(8_000)));
}

/// Guards against a published or reported cold time longer than the warm-up of the service.
#[test]
fn cold_time_is_capped_by_warmup_duration() {
    let mut pool = named_pool("vm-0", &[]);
    pool.set_warmup(warmup(3_000), at(0));
    pool.set_targets(vec![cold_target(TARGET, 3_600_000)], at(0));
    assert!(!pool.is_cold(&id(TARGET), at(3_000)));
    pool.record_cold_report(&id(TARGET), Duration::from_secs(3_600), at(4_000));
    assert!(!pool.is_cold(&id(TARGET), at(7_000)));
}

/// Guards against requests that wait until they are late for free slots of a cold target that they
/// may not use.
#[test]
fn requests_beyond_warm_up_rate_are_shed_at_once() {
    let mut pool = cold_pool("vm-0", &[TARGET]);
    pool.set_sharers(vec![Sharer::new("vm-0"), Sharer::new("vm-1")], FULL_SHARE, at(0));
    let mut refused = Vec::new();
    for _ in 0..10 {
        if let Admission::Shed(shed) = pool.admit(request_at(0), at(0)) {
            refused.push(shed.retry_after);
        }
    }
    assert!(refused.len() >= 8, "{refused:?}");
    assert!(refused.iter().all(|wait| *wait >= Duration::from_millis(300)), "{refused:?}");
}

/// Guards against using the latencies of cold targets as estimates for the service.
#[test]
fn cold_target_latency_does_not_change_usual_time() {
    let mut pool = cold_pool("vm-0", &[TARGET]);
    pool.set_sharers(vec![Sharer::new("vm-0")], FULL_SHARE, at(0));
    let before = pool.usual_time(&request_at(0).class);
    pool.record_load(&id(TARGET), load(0, 1000), at(1_000));
    let assignment = expect_sent(pool.admit(request_at(1_000), at(1_000)));
    pool.mark_sent(assignment.attempt, at(1_000));
    pool.finish(assignment.attempt, answered(), Some(load(1, 1000)), at(1_400));
    assert_eq!(pool.usual_time(&request_at(0).class), before);
}

/// Guards against small VMs being busy for seconds with the shares of warm targets whenever the set
/// of advertised entries changes.
#[test]
fn sharers_change_is_cheap_while_targets_are_warm() {
    let mut pool = named_pool("vm-0", &[]);
    pool.set_warmup(warmup(3_000), at(0));
    pool.set_targets(
        (0..1000).map(|number| cold_target(&format!("mill-{number}"), 0)).collect(),
        at(0),
    );
    let began = Instant::now();
    for round in 0..20 {
        let names =
            (round..round + 100).map(|number| Sharer::new(&format!("vm-{number}"))).collect();
        pool.set_sharers(names, FULL_SHARE, at(0));
    }
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
}
