//! How a pool of slots stands up to load.

mod support;

use support::{Load, Second, Simulation};

/// One of three entries of a large deployment; its slots are two fifths used on a quiet day.
const READS: Load = Load {
    targets: 76,
    work_ms: 210.0,
    objective_ms: 500,
    deadline_ms: 6000,
    deadline_spread_ms: 900,
    timeout_ms: 3000,
    rate: 175.0,
};

/// Shares of requests in time, by the second in which they were first sent.
fn in_time_shares(simulation: &Simulation) -> Vec<f64> {
    simulation.seconds.values().map(Second::in_time_share).collect()
}

#[test]
fn a_quiet_day_is_served_in_time() {
    let mut simulation = Simulation::new(READS, 1);
    simulation.arrivals(0, 10, 1.0);
    simulation.run(14);
    let shares = in_time_shares(&simulation);
    assert!(shares.iter().all(|share| *share > 0.97), "{shares:?}");
}

/// All entries lose power; when they are back, everybody who has waited asks at once. Those who
/// come a second later must not wait behind a queue of requests that are late already.
#[test]
fn a_crowd_does_not_delay_those_who_come_after_it() {
    let mut simulation = Simulation::new(READS, 2);
    simulation.crowd(0, 400);
    simulation.arrivals(0, 10, 1.0);
    simulation.run(14);
    let shares = in_time_shares(&simulation);
    assert!(shares[1] > 0.9, "{shares:?}");
    assert!(shares[2..].iter().all(|share| *share > 0.97), "{shares:?}");
    let given_up: u32 = simulation.seconds.values().map(|second| second.given_up).sum();
    assert!(given_up < 60, "{given_up} of the crowd never got an answer");
}

/// Nearly twice as many callers for five seconds: two thirds of all slots that are not slowed down.
#[test]
fn a_burst_is_served_in_time() {
    let mut simulation = Simulation::new(READS, 3);
    simulation.arrivals(0, 4, 1.0);
    simulation.arrivals(4, 9, 1.8);
    simulation.arrivals(9, 14, 1.0);
    simulation.run(18);
    let shares = in_time_shares(&simulation);
    assert!(shares.iter().all(|share| *share > 0.95), "{shares:?}");
}

/// All entries lose power. At the targets, requests of many entries that did not know of each other
/// yet take every slot for a while; everybody who has waited asks at once, with deadlines that
/// differ from the start. Requests that come two seconds later must be in time: they once waited
/// for seconds behind late ones, which took slots in slow phases and held them five times as long.
#[test]
fn a_loss_of_all_entries_is_over_two_seconds_later() {
    for seed in 4..8 {
        let mut simulation = Simulation::new(READS, seed);
        simulation.foreign_requests(1500);
        simulation.crowd(0, 300);
        simulation.arrivals(0, 8, 1.0);
        simulation.run(12);
        let shares = in_time_shares(&simulation);
        assert!(shares[1] > 0.4, "seed {seed}: {shares:?}");
        assert!(shares[2..].iter().all(|share| *share > 0.95), "seed {seed}: {shares:?}");
    }
}
