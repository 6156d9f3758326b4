//! Arrival times and service times of the requests of a run.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::scenario::Scenario;

/// A request planned before the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Time at which the request is sent, from the start of the run.
    pub at: Duration,
    /// How long the request holds a slot of a healthy target.
    pub work: Duration,
    /// Index of the caller that sends the request.
    pub caller: usize,
}

/// Returns Poisson arrivals for the whole run; the same scenario always gives the same arrivals.
pub fn arrivals(scenario: &Scenario) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let mean_gap_s = 1.0 / scenario.service.arrivals_per_second();
    let mut planned = Vec::new();
    let mut at_s = 0.0;
    loop {
        at_s += draw_exponential(&mut rng, mean_gap_s);
        if at_s >= scenario.length.as_secs_f64() {
            return planned;
        }
        let work = draw_work(&mut rng, scenario);
        let caller = rng.random_range(0..scenario.callers);
        planned.push(Arrival { at: Duration::from_secs_f64(at_s), work, caller });
    }
}

/// Draws the work of one request; its mean does not depend on the spread.
fn draw_work(rng: &mut StdRng, scenario: &Scenario) -> Duration {
    let service = &scenario.service;
    let mean_s = service.work.as_secs_f64();
    if service.spread == 0.0 {
        return Duration::from_secs_f64(draw_exponential(rng, mean_s));
    }
    // Box-Muller transform for a normally distributed number.
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    let normal = draw_exponential(rng, 2.0).sqrt() * angle.cos();
    let spread = service.spread;
    Duration::from_secs_f64(mean_s * (spread * normal - spread * spread / 2.0).exp())
}

fn draw_exponential(rng: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}
