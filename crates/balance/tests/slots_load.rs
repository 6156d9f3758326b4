//! How a pool of slots stands up to load.

mod support;

use support::{Load, SecondOutcomes, Simulation};

/// One of three entries of a large deployment; its slots are two fifths used on a quiet day.
const READS: Load = Load {
    targets: 76,
    work_ms: 210.0,
    objective_ms: 500,
    deadline_ms: 6000,
    deadline_spread_ms: 900,
    timeout_ms: 3000,
    slow_targets: 0,
    rate: 175.0,
};

/// A small service.
const ORDERS: Load = Load {
    targets: 7,
    work_ms: 210.0,
    objective_ms: 500,
    deadline_ms: 4000,
    deadline_spread_ms: 0,
    timeout_ms: 2000,
    slow_targets: 0,
    rate: 18.0,
};

/// Shares of requests in time, by the second in which they were first sent.
fn in_time_shares(simulation: &Simulation) -> Vec<f64> {
    simulation.seconds.values().map(SecondOutcomes::in_time_share).collect()
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
    simulation.burst(0, 400);
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
        simulation.burst(0, 300);
        simulation.arrivals(0, 8, 1.0);
        simulation.run(12);
        let shares = in_time_shares(&simulation);
        assert!(shares[1] > 0.4, "seed {seed}: {shares:?}");
        assert!(shares[2..].iter().all(|share| *share > 0.95), "seed {seed}: {shares:?}");
    }
}

/// Three of seven servers work four times as long for some seconds, and tell so. The mean of all
/// that was told, mostly by these, was expected of the others as soon as their last word was a few
/// hundredths of a second old: requests waited for answers to questions while good slots were free.
#[test]
fn slow_targets_say_nothing_about_the_others() {
    let (mut in_time, mut probes) = (0, 0);
    for seed in 1..4 {
        let mut simulation = Simulation::new(Load { slow_targets: 3, ..ORDERS }, seed);
        simulation.arrivals(0, 30, 1.0);
        simulation.run(34);
        in_time += simulation.seconds.values().map(|second| second.in_time).sum::<u32>();
        probes += simulation.probes;
    }
    assert!(in_time > 1330, "{in_time} of 1620");
    assert!(probes < 5500, "{probes}");
}
