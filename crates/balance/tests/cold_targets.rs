//! What cold targets get from a whole fleet of processes.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

#[path = "support/slots.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod fleet;

use std::time::{Duration, Instant};

use shallotfork_balance::{Admission, SlotPool, SlotTarget};
use shallotfork_types::{Permille, RequestRate, Warmup};

use fleet::{Fleet, WHOLE};
use support::{answered, ask, at, figures, id, named_pool, queued, sent, target};

const TARGET: &str = "mill";
const SEEDS: std::ops::Range<u64> = 1..4;
/// Quick work, of which six slots could take 46 a second.
const QUICK_MS: u64 = 130;
const SIMULATED_MS: u64 = 20_000;
const WINDOW_MS: u64 = 1_000;
const RATE: RequestRate = RequestRate::from_milli_per_s(5_800);

/// What a cold target may get in a second: 1.5 times what it bears, plus 8.
fn allowed_in_window() -> usize {
    (1.5 * RATE.per_s()) as usize + 8
}

fn warmup(cold_ms: u64) -> Option<Warmup> {
    Some(Warmup { duration: Duration::from_millis(cold_ms), rate: RATE })
}

fn cold(name: &str, cold_ms: u64) -> SlotTarget {
    SlotTarget { slots: 6, cold_for: Duration::from_millis(cold_ms), ..target(name) }
}

/// A pool whose targets stay cold.
fn cold_pool(name: &str, targets: &[&str]) -> SlotPool {
    let mut pool = named_pool(name, &[]);
    pool.set_warmup(warmup(SIMULATED_MS), at(0));
    pool.set_targets(targets.iter().map(|name| cold(name, SIMULATED_MS)).collect(), at(0));
    pool
}

/// Guards against processes that each send what a cold target bears, and more in total.
#[test]
fn all_processes_together_send_what_a_cold_target_bears_while_the_fleet_changes() {
    for seed in SEEDS {
        for (count, sharers) in [(1, 1), (3, 3), (15, 3), (15, 15), (472, 40)] {
            let mut fleet =
                Fleet::new(seed, count, sharers, QUICK_MS, |name| cold_pool(name, &[TARGET]));
            fleet.run(SIMULATED_MS, 1_000);
            let max = fleet.max_sends_in_window(0, WINDOW_MS);
            assert!(max <= allowed_in_window(), "seed {seed}, {sharers} of {count}: {max}");
            let sends = fleet.sends.len() as f64;
            let borne = RATE.per_s() * SIMULATED_MS as f64 / 1000.0;
            assert!(sends >= 0.5 * borne, "seed {seed}, {sharers} of {count}: {sends} of {borne}");
        }
    }
}

/// Guards against overloading a whole failure domain that comes back cold at one moment, empty and
/// preferred by all, while all other targets are gone.
#[test]
fn a_failure_domain_that_comes_back_cold_is_spared_target_by_target() {
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

/// Guards against groups of a divided fleet that each send all that a cold target bears.
#[test]
fn the_parts_of_a_divided_fleet_together_spare_a_cold_target() {
    let mut fleet = Fleet::new(1, 15, 3, QUICK_MS, |name| cold_pool(name, &[TARGET]));
    for (number, process) in fleet.processes.iter_mut().enumerate() {
        let (group, part) = match number {
            0..8 => (0..8, WHOLE),
            8..12 => (8..12, Permille::new(266)),
            _ => (12..15, Permille::new(200)),
        };
        let names = group.map(|number| format!("vm-{number}")).collect();
        process.pool.set_sharers(names, part, at(0));
    }
    fleet.run(SIMULATED_MS, SIMULATED_MS);
    let max = fleet.max_sends_in_window(0, WINDOW_MS);
    assert!(max <= allowed_in_window(), "{max}");
}

/// Guards against processes that have all just started and each take themselves for the only one.
#[test]
fn processes_that_know_no_others_yet_send_cold_targets_nothing() {
    for count in [3, 15, 472] {
        let mut fleet = Fleet::new(1, count, 3, QUICK_MS, |name| cold_pool(name, &[TARGET]));
        let own_view = |name: &str| (vec![name.to_owned()], Permille::new(0));
        for process in &mut fleet.processes {
            let (names, part) = own_view(&process.name);
            process.pool.set_sharers(names, part, at(0));
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
fn a_slot_is_given_back_if_the_target_turns_out_to_be_cold() {
    let mut pool = named_pool("vm-0", &[TARGET]);
    pool.set_sharers(vec!["vm-0".to_owned()], WHOLE, at(0));
    pool.set_warmup(warmup(3_000), at(0));
    let assignment = sent(pool.admit(ask(0), at(0)));
    assert!(!pool.is_unfit(&assignment, &ask(0), at(1)));
    assert!(pool.record_cold_report(&id(TARGET), Duration::from_millis(900), at(1)));
    assert!(pool.is_unfit(&assignment, &ask(0), at(1)));
    pool.finish(assignment.attempt, shallotfork_balance::SlotOutcome::Cancelled, None, at(2));
    // Its first request waits until the share allows it, and needs no second thought then.
    queued(pool.admit(ask(2), at(2)));
    let again = sent(pool.admit(ask(400), at(400)));
    assert!(!pool.is_unfit(&again, &ask(400), at(401)));
    pool.mark_sent(again.attempt, at(401));
    pool.finish(again.attempt, answered(), None, at(420));
    assert!(!pool.is_cold(&id(TARGET), at(902)));
    for now_ms in 902..906 {
        let free = sent(pool.admit(ask(now_ms), at(now_ms)));
        pool.mark_sent(free.attempt, at(now_ms));
        pool.finish(free.attempt, answered(), None, at(now_ms));
    }
}

/// Guards against a busy target that turns cold unnoticed: its answers tell its load so often that it
/// is never asked, and only answers to questions tell that it is cold.
#[test]
fn a_busy_target_is_asked_whether_it_has_turned_cold() {
    let mut pool = named_pool("vm-0", &[TARGET]);
    pool.set_sharers(vec!["vm-0".to_owned()], WHOLE, at(0));
    pool.set_warmup(warmup(3_000), at(0));
    pool.record_cold_report(&id(TARGET), Duration::ZERO, at(0));
    let mut unasked = 0;
    for now_ms in (0..1_000).step_by(8) {
        let assignment = sent(pool.admit(ask(now_ms), at(now_ms)));
        if pool.needs_probe(&id(TARGET), at(now_ms)) {
            pool.record_cold_report(&id(TARGET), Duration::ZERO, at(now_ms));
            unasked = 0;
        }
        pool.mark_sent(assignment.attempt, at(now_ms));
        unasked += 1;
        pool.finish(assignment.attempt, answered(), Some(figures(1, 100)), at(now_ms + 5));
        assert!(unasked <= allowed_in_window() / 2, "{unasked} requests since it was asked");
    }
}

/// Guards against an old published entry that ends the cold time which the target itself told.
#[test]
fn a_published_entry_ends_no_cold_time_that_the_target_told_itself() {
    let mut pool = named_pool("vm-0", &[]);
    pool.set_warmup(warmup(3_000), at(0));
    pool.set_targets(vec![cold(TARGET, 500)], at(0));
    assert!(pool.is_cold(&id(TARGET), at(499)));
    pool.record_cold_report(&id(TARGET), Duration::from_millis(2_800), at(300));
    pool.set_targets(vec![cold(TARGET, 0)], at(600));
    assert!(pool.is_cold(&id(TARGET), at(3_000)));
    // Published as cold again later, it is cold again.
    pool.set_targets(vec![cold(TARGET, 3_000)], at(5_000));
    assert!(pool.is_cold(&id(TARGET), at(7_999)));
    assert!(!pool.is_cold(&id(TARGET), at(8_000)));
}

/// Guards against a cold time that is longer than any of the service, published or told.
#[test]
fn a_target_is_cold_for_no_longer_than_its_service_allows() {
    let mut pool = named_pool("vm-0", &[]);
    pool.set_warmup(warmup(3_000), at(0));
    pool.set_targets(vec![cold(TARGET, 3_600_000)], at(0));
    assert!(!pool.is_cold(&id(TARGET), at(3_000)));
    pool.record_cold_report(&id(TARGET), Duration::from_secs(3_600), at(4_000));
    assert!(!pool.is_cold(&id(TARGET), at(7_000)));
}

/// Guards against keeping requests waiting, until they are too late, for slots that a cold target
/// has free but may not fill.
#[test]
fn requests_beyond_what_cold_targets_bear_are_refused_at_once() {
    let mut pool = cold_pool("vm-0", &[TARGET]);
    pool.set_sharers(vec!["vm-0".to_owned(), "vm-1".to_owned()], WHOLE, at(0));
    let mut refused = Vec::new();
    for _ in 0..10 {
        if let Admission::Shed(shed) = pool.admit(ask(0), at(0)) {
            refused.push(shed.retry_after);
        }
    }
    assert!(refused.len() >= 8, "{refused:?}");
    assert!(refused.iter().all(|wait| *wait >= Duration::from_millis(300)), "{refused:?}");
}

/// Guards against learning the times of cold targets as those of the service.
#[test]
fn what_a_cold_target_takes_is_not_taken_for_the_usual_time() {
    let mut pool = cold_pool("vm-0", &[TARGET]);
    pool.set_sharers(vec!["vm-0".to_owned()], WHOLE, at(0));
    let before = pool.usual_time(&ask(0).class);
    pool.record_load(&id(TARGET), figures(0, 1000), at(1_000));
    let assignment = sent(pool.admit(ask(1_000), at(1_000)));
    pool.mark_sent(assignment.attempt, at(1_000));
    pool.finish(assignment.attempt, answered(), Some(figures(1, 1000)), at(1_400));
    assert_eq!(pool.usual_time(&ask(0).class), before);
}

/// Guards against a fleet of small VMs that is busy for seconds with the shares of targets that are not
/// cold, whenever a name changes among those that callers are sent to.
#[test]
fn a_change_of_sharers_is_cheap_while_targets_are_warm() {
    let mut pool = named_pool("vm-0", &[]);
    pool.set_warmup(warmup(3_000), at(0));
    pool.set_targets((0..1000).map(|number| cold(&format!("mill-{number}"), 0)).collect(), at(0));
    let began = Instant::now();
    for round in 0..20 {
        let names = (round..round + 100).map(|number| format!("vm-{number}")).collect();
        pool.set_sharers(names, WHOLE, at(0));
    }
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
}
