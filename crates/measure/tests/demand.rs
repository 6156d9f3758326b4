//! Smoothed demand and its noise.

use std::time::Duration;

use shallotfork_measure::{DEMAND_SMOOTHING, DemandMeter, demand_noise_per_s};
use shallotfork_types::Mono;

fn at(ms: u64) -> Mono {
    Mono::from_millis(ms)
}

/// Guards against a demand that is off by a factor, or that reacts too late to a shift.
#[test]
fn rate_follows_arrivals_within_seconds() {
    let mut meter = DemandMeter::default();
    assert_eq!(meter.rate(at(0)).milli_per_s(), 0);
    (0..20_000).step_by(20).for_each(|ms| meter.record_request(at(ms)));
    let steady = meter.rate(at(20_000)).per_s();
    assert!((steady - 50.0).abs() < 0.5, "{steady}");
    let after_three_s = meter.rate(at(23_000)).per_s();
    assert!((after_three_s - 50.0 / std::f64::consts::E).abs() < 0.5, "{after_three_s}");
    assert!(meter.rate(at(50_000)).per_s() < 0.01);
}

/// Guards against thresholds that take chance for a change of demand.
#[test]
fn noise_is_that_of_independent_arrivals() {
    assert_eq!(DEMAND_SMOOTHING, Duration::from_secs(3));
    assert!((demand_noise_per_s(24.0) - 2.0).abs() < 1e-9);
    assert_eq!(demand_noise_per_s(0.0), 0.0);
}
