//! When requests come and how much work each one is.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::scenario::Scenario;

/// One request, planned before the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// When it is sent, from the start of the run.
    pub at: Duration,
    /// How long it holds a slot of a healthy target.
    pub work: Duration,
    /// Number of the caller that sends it.
    pub caller: usize,
}

/// Poisson arrivals for the whole run; the same for every system with this scenario.
pub fn arrivals(scenario: &Scenario) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let mean_gap_s = 1.0 / scenario.service.rate_a_second();
    let mut planned = Vec::new();
    let mut at_s = 0.0;
    loop {
        at_s += exponential(&mut rng, mean_gap_s);
        if at_s >= scenario.length.as_secs_f64() {
            return planned;
        }
        let work = work(&mut rng, scenario);
        let caller = rng.random_range(0..scenario.callers);
        planned.push(Arrival { at: Duration::from_secs_f64(at_s), work, caller });
    }
}

/// The mean is the same for every spread.
fn work(rng: &mut StdRng, scenario: &Scenario) -> Duration {
    let service = &scenario.service;
    let mean_s = service.work.as_secs_f64();
    if service.spread == 0.0 {
        return Duration::from_secs_f64(exponential(rng, mean_s));
    }
    // Box and Muller's way to a normally distributed number.
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    let normal = exponential(rng, 2.0).sqrt() * angle.cos();
    let spread = service.spread;
    Duration::from_secs_f64(mean_s * (spread * normal - spread * spread / 2.0).exp())
}

fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}
