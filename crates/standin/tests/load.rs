//! Tests of scenario files, planned arrivals and the computed baseline.

use std::time::Duration;

use shallotfork_standin::load::{FaultKind, Row, Scenario, arrivals, central_queue, table};

const SCENARIO_FILES: [&str; 4] = [
    include_str!("../../../scenarios/register-straggler.ini"),
    include_str!("../../../scenarios/register-healthy.ini"),
    include_str!("../../../scenarios/register-faults.ini"),
    include_str!("../../../scenarios/orders-straggler.ini"),
];

fn scenario(file: usize) -> Scenario {
    SCENARIO_FILES[file].parse().expect("a valid scenario")
}

#[test]
fn every_scenario_file_is_valid() {
    for file in 0..SCENARIO_FILES.len() {
        let scenario = scenario(file);
        assert!(scenario.warm_up < scenario.length, "{}", scenario.name);
        let targets = scenario.service.targets.max(scenario.entries);
        assert!(scenario.faults.iter().flat_map(|fault| &fault.hits).all(|hit| *hit < targets));
    }
    assert_eq!(FaultKind::Straggler(10_000), scenario(0).faults[0].kind);
}

#[test]
fn unknown_fault_kind_is_named_in_error() {
    let text = SCENARIO_FILES[0].replace("kind = straggler", "kind = strangler");
    let error = text.parse::<Scenario>().expect_err("no such fault");
    assert!(format!("{error:#}").contains("strangler"), "{error:#}");
}

#[test]
fn arrivals_are_reproducible_and_match_rate() {
    let scenario = scenario(0);
    let planned = arrivals(&scenario);
    assert_eq!(planned, arrivals(&scenario));
    let expected = scenario.service.arrivals_per_second() * scenario.length.as_secs_f64();
    let ratio = planned.len() as f64 / expected;
    assert!((0.95..1.05).contains(&ratio), "{ratio} of the expected arrivals");
    let work: Duration = planned.iter().map(|arrival| arrival.work).sum();
    let mean = work.as_secs_f64() / planned.len() as f64;
    let ratio = mean / scenario.service.work.as_secs_f64();
    assert!((0.95..1.05).contains(&ratio), "{ratio} of the expected work");
}

/// Guards against a baseline that a real system could beat: at low load no request may wait in it.
#[test]
fn central_queue_adds_no_wait_at_low_load() {
    let mut scenario = scenario(1);
    scenario.service.load = "100".parse().expect("a number");
    let planned = arrivals(&scenario);
    let measured = central_queue(&scenario, &planned).expect("a histogram");
    let longest = planned.iter().map(|arrival| arrival.work).max().expect("arrivals");
    assert_eq!(measured.requests, measured.good);
    assert!(measured.quantile_ms(1.0) <= longest.as_secs_f64() * 1010.0);
    let row = Row { name: "central".to_owned(), rounds: vec![measured], costs: Vec::new() };
    assert!(table(&scenario, &[row]).contains("| central | "));
}
