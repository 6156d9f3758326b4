//! Observed sizes of large answers by route.

use std::collections::HashMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use shallotfork_routes::RouteName;
use shallotfork_types::{Bytes, Mono};

/// Quantile of the observed sizes that is reserved for an answer. Of twenty answers one is larger;
/// its reservation is corrected when its size is known.
const RESERVED_QUANTILE: f64 = 0.95;
/// Size that is reserved for an answer of a route with too few samples.
const INITIAL_RESERVED: Bytes = Bytes::from_kib(512);
/// Mean size that is assumed for a route without samples.
const INITIAL_MEAN: Bytes = Bytes::from_kib(128);
/// Number of recent samples from which the observed quantile replaces the initial size.
const SAMPLES_MIN: u64 = 20;
/// Time after which the weight of a sample has halved. Sizes change with what operators release,
/// hence within minutes; at a few answers a second there are still hundreds of samples.
const HALF_LIFE: Duration = Duration::from_secs(120);
/// Weight of a new sample. Sample weights are whole numbers, so a sample counts for ten half-lives.
const SAMPLE_WEIGHT: u64 = 1024;
/// Largest size that is recorded; larger ones count as this size. It is the limit on buffered
/// answers.
const SIZE_MAX: Bytes = Bytes::from_mib(32);
/// Significant digits of a recorded size. One digit keeps a histogram at about 3 KiB and rounds a
/// size up by at most a sixteenth.
const SIGNIFICANT_DIGITS: u8 = 1;
/// Maximum number of routes with samples; the one without a sample for the longest time is evicted.
const ROUTES_MAX: usize = 256;

/// Expected size of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SizeEstimate {
    /// Size that few answers exceed, to be reserved.
    pub reserved: Bytes,
    /// Mean size, from which the duration of transfers is estimated.
    pub mean: Bytes,
}

#[derive(Debug)]
struct RouteSizes {
    /// Sizes with their weights.
    weights: Histogram<u64>,
    /// Number of half-lives until the weights were last reduced.
    half_lives: u64,
    recorded_at: Mono,
}

impl RouteSizes {
    fn new(now: Mono) -> Self {
        Self { weights: empty_histogram(), half_lives: half_lives(now), recorded_at: now }
    }

    /// Halves the weights once for each half-life that has passed.
    fn reduce_weights(&mut self, now: Mono) {
        let elapsed = half_lives(now).saturating_sub(self.half_lives);
        if elapsed == 0 {
            return;
        }
        self.half_lives += elapsed;
        let mut reduced = empty_histogram();
        for step in self.weights.iter_recorded() {
            let weight = step.count_at_value() >> elapsed.min(u64::from(u64::BITS) - 1);
            if weight > 0 {
                reduced.saturating_record_n(step.value_iterated_to(), weight);
            }
        }
        self.weights = reduced;
    }

    fn estimate(&self) -> SizeEstimate {
        if self.weights.is_empty() {
            return SizeEstimate { reserved: INITIAL_RESERVED, mean: INITIAL_MEAN };
        }
        let quantile = Bytes::new(self.weights.value_at_quantile(RESERVED_QUANTILE));
        let has_enough = self.weights.len() >= SAMPLES_MIN * SAMPLE_WEIGHT;
        let reserved = if has_enough { quantile } else { quantile.max(INITIAL_RESERVED) };
        let mean = Bytes::new(self.weights.mean() as u64).min(reserved);
        SizeEstimate { reserved, mean }
    }
}

/// Sizes of recent large answers by route. The weight of a sample decreases with its age.
#[derive(Debug, Default)]
pub struct AnswerSizes {
    by_route: HashMap<RouteName, RouteSizes>,
}

impl AnswerSizes {
    /// Creates an object without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the size of a complete answer.
    pub fn record(&mut self, route: &RouteName, size: Bytes, now: Mono) {
        if !self.by_route.contains_key(route) {
            self.evict_if_full();
            self.by_route.insert(route.clone(), RouteSizes::new(now));
        }
        let Some(sizes) = self.by_route.get_mut(route) else { return };
        sizes.reduce_weights(now);
        sizes.recorded_at = now;
        sizes.weights.saturating_record_n(size.value().max(1), SAMPLE_WEIGHT);
    }

    /// Returns the expected size of a route's next answer.
    pub fn estimate(&mut self, route: &RouteName, now: Mono) -> SizeEstimate {
        let Some(sizes) = self.by_route.get_mut(route) else {
            return SizeEstimate { reserved: INITIAL_RESERVED, mean: INITIAL_MEAN };
        };
        sizes.reduce_weights(now);
        sizes.estimate()
    }

    /// Returns the number of routes with samples.
    pub fn routes(&self) -> usize {
        self.by_route.len()
    }

    fn evict_if_full(&mut self) {
        if self.by_route.len() < ROUTES_MAX {
            return;
        }
        let oldest = self.by_route.iter().min_by_key(|(_, sizes)| sizes.recorded_at);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.by_route.remove(&name);
        }
    }
}

fn half_lives(now: Mono) -> u64 {
    now.as_micros() / HALF_LIFE.as_micros().max(1) as u64
}

fn empty_histogram() -> Histogram<u64> {
    Histogram::new_with_max(SIZE_MAX.value(), SIGNIFICANT_DIGITS)
        .expect("the bounds of the sizes are valid")
}
