//! Fleet model in which callers repeat a request that crashes every target it runs on.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

mod support;

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallotfork_types::Mono;
use support::{LARGE_CAPACITY, Model, SMALL_CAPACITY};

const SEEDS: std::ops::Range<u64> = 1..5;
/// Time from the third crash until all entries must reject the request. Entries with a shorter
/// uptime may still send it.
const PROPAGATION_MAX: Duration = Duration::from_millis(3_000);
/// Number of later sends that are tolerated.
const LATE_SENDS_MAX: usize = 3;
const REPEAT_DURATION_MS: u64 = 12_000;

fn fleet(seed: u64) -> Model {
    start(Model::new(seed, 3, &[(15, LARGE_CAPACITY), (60, SMALL_CAPACITY)]))
}

fn large_fleet(seed: u64) -> Model {
    start(Model::new(seed, 5, &[(15, LARGE_CAPACITY), (457, SMALL_CAPACITY)]))
}

fn start(mut model: Model) -> Model {
    model.start_all();
    model.run_for(5_000);
    model
}

/// Repeats the request with pauses of up to `pause_ms`, mostly at advertised entries.
fn repeat_crashing_request(
    model: &mut Model,
    seed: u64,
    pause_ms: u64,
    mut after_each: impl FnMut(&mut Model, u64),
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut elapsed_ms = 0;
    let advertised = model.expected_advertised();
    while elapsed_ms < REPEAT_DURATION_MS {
        let wait_ms = rng.random_range(1..=pause_ms);
        model.run_for(wait_ms);
        elapsed_ms += wait_ms;
        let index = if rng.random_bool(0.9) {
            model.index_of(&advertised[rng.random_range(0..advertised.len())])
        } else {
            rng.random_range(0..75)
        };
        model.submit_crashing_request(index);
        after_each(model, elapsed_ms);
    }
}

fn late_sends(model: &Model) -> usize {
    assert!(model.crashes.len() >= 3, "{} crashes", model.crashes.len());
    let third = model.crashes[2];
    let deadline: Mono = third.plus(PROPAGATION_MAX);
    let late = model.crashing_sends.iter().filter(|send| send.at > deadline);
    late.filter(|send| send.sender_uptime >= PROPAGATION_MAX).count()
}

fn check_rejected(mut model: Model, seed: u64, pause_ms: u64) {
    repeat_crashing_request(&mut model, seed, pause_ms, |_, _| {});
    let (late, crashes) = (late_sends(&model), model.crashes.len());
    let summary = format!("seed {seed}, pause {pause_ms}: {late} late sends, {crashes} crashes");
    assert!(late <= LATE_SENDS_MAX, "{summary}");
    assert_eq!(model.entries_without_quarantine(), 0, "{summary}");
}

/// Guards against continued crashes because entries do not share their crash records.
#[test]
fn all_entries_reject_a_crashing_request_after_the_third_crash() {
    for seed in SEEDS {
        for pause_ms in [20, 200, 2_000] {
            check_rejected(fleet(seed), seed, pause_ms);
        }
    }
}

/// Guards against slow or displaced reports in a fleet where most entries call only a few others.
#[test]
fn all_entries_of_a_large_fleet_reject_a_crashing_request() {
    for pause_ms in [20, 2_000] {
        check_rejected(large_fleet(1), 1, pause_ms);
    }
}

/// Guards against losing the quarantine with a dropped message or a restarted process.
#[test]
fn the_quarantine_survives_lost_messages_and_restarts() {
    for seed in SEEDS {
        let mut model = fleet(seed);
        model.loss_rate = 0.1;
        let mut restarts = 0;
        repeat_crashing_request(&mut model, seed, 200, |model, elapsed_ms| {
            if elapsed_ms / 1_000 > restarts {
                restarts = elapsed_ms / 1_000;
                model.kill(|index, _| index as u64 % 5 == restarts % 5);
                model.start_all();
            }
        });
        let late = late_sends(&model);
        assert!(late <= LATE_SENDS_MAX, "seed {seed}: {late} late sends");
    }
}

/// Guards against unbounded crashes after all entries have lost their records at once.
#[test]
fn a_fully_restarted_fleet_quarantines_the_request_again() {
    for seed in SEEDS {
        let mut model = fleet(seed);
        repeat_crashing_request(&mut model, seed, 200, |_, _| {});
        model.kill(|_, _| true);
        model.run_for(1_000);
        model.start_all();
        model.run_for(500);
        repeat_crashing_request(&mut model, seed + 100, 200, |_, _| {});
        let late = late_sends(&model);
        assert!(late <= LATE_SENDS_MAX, "seed {seed}: {late} late sends");
    }
}

/// Guards against a failure domain that sends the request after a network partition has healed.
#[test]
fn a_healed_partition_receives_the_quarantine() {
    for seed in SEEDS {
        let mut model = fleet(seed);
        model.partitioned_domains.insert("hall-1".parse().unwrap());
        model.run_for(2_000);
        // Only entries outside the partitioned failure domain receive the request.
        for index in [0, 3, 6, 9, 0, 3, 6, 9] {
            model.submit_crashing_request(index);
            model.run_for(500);
        }
        model.run_for(4_000);
        assert!(model.entries_without_quarantine() > 0, "seed {seed}");
        model.partitioned_domains.clear();
        model.run_for(3_000);
        assert_eq!(model.entries_without_quarantine(), 0, "seed {seed}");
    }
}

/// Guards against heartbeats that repeat reports for the whole duration of a quarantine.
#[test]
fn a_quarantine_known_to_all_entries_is_not_reported() {
    let mut model = fleet(1);
    repeat_crashing_request(&mut model, 1, 200, |_, _| {});
    model.run_for(5_000);
    model.crash_reports = 0;
    model.run_for(5_000);
    assert_eq!(model.crash_reports, 0);
}
