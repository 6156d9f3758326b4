//! Distributions of work times by class.
//!
//! Handles work of which a small part takes several times as long as the rest. Times are divided by
//! the slowdown that the target reported and by the usual cost of saturation before they are
//! recorded, because slow phases of targets are not a long tail of the work. A class has a long tail
//! if more than two in a hundred of its runs take more than three times its median. Without a long
//! tail, or with few samples, nothing depends on the distribution.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::WorkClass;

/// Resolution of the distribution, in microseconds.
const RESOLUTION_US: f64 = 100.0;
/// Precision of the distribution in decimal digits; two give an error of at most one percent.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Longer work times count as this one, in microseconds. Ten times the longest timeout of callers
/// bounds the memory of a distribution to a few kilobytes.
const WORK_TIME_MAX_US: f64 = 100e6;
/// Number of classes whose distribution is kept, a bound on memory only.
const CLASSES_MAX: usize = 256;
/// Samples below which a distribution is not used; about four of them are long if one in thirty is.
const SAMPLES_MIN: u64 = 128;
/// Samples below which a cancelled run is not recorded, as the median is not known well enough.
const CANCELLED_SAMPLES_MIN: u64 = 16;
/// Number of samples at which the weight of all samples is halved.
const SAMPLES_MAX: u64 = 2048;
/// Number of samples after which the figures of a distribution are computed anew.
const REFRESH_SAMPLES: u64 = 16;
/// Multiple of the median above which work counts as long. A run in a slow phase that its target
/// did not report, or an ordinary spread of work times, stays below it or is rare.
const LONG_WORK_RATIO: f64 = 3.0;
/// Multiple of the time after which a run has taken longer than most, above which a cancelled run
/// seems to be long work. An early hedge that wins cancels the first attempt after more than that.
const CANCELLED_LONG_RATIO: f64 = 1.5;
/// Quantile that is long work in a distribution with a long tail.
const TAIL_QUANTILE: f64 = 0.98;
/// Quantile at which a run has taken longer than most. It bounds the share of hedged requests to 15
/// in 100, within the usual limit on repeats of 20 in 100.
const SLOWER_THAN_MOST_QUANTILE: f64 = 0.85;
/// Quantile up to which long work is usual; a longer run seems to hang.
const LONGEST_QUANTILE: f64 = 0.999;
/// Factor by which usual long work may exceed the longest of the samples.
const LONGEST_MARGIN: f64 = 1.25;

/// Figures of a distribution with a long tail, in microseconds at usual speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LongTail {
    pub(super) median_us: f64,
    /// Time after which a run has taken longer than most.
    pub(super) slower_than_most_us: f64,
    /// Time up to which long work is usual.
    pub(super) longest_us: f64,
}

/// Distributions of work times by class.
#[derive(Debug, Default)]
pub(super) struct WorkTimes {
    classes: BTreeMap<WorkClass, Distribution>,
}

#[derive(Debug)]
struct Distribution {
    /// Work times in units of the resolution.
    times: Histogram<u16>,
    samples_until_refresh: u64,
    long_tail: Option<LongTail>,
}

impl WorkTimes {
    /// Records the time of a complete run at usual speed. Returns whether it is long work of a class
    /// with a long tail.
    pub(super) fn record(&mut self, class: &WorkClass, time_us: f64) -> bool {
        if !time_us.is_finite() {
            return false;
        }
        let has_room = self.classes.len() < CLASSES_MAX;
        let distribution = match self.classes.get_mut(class) {
            Some(distribution) => distribution,
            None if !has_room => return false,
            None => self.classes.entry(class.clone()).or_insert_with(Distribution::new),
        };
        let is_long = distribution
            .long_tail
            .is_some_and(|long_tail| time_us > long_tail.median_us * LONG_WORK_RATIO);
        distribution.record(in_units(time_us));
        is_long
    }

    /// Records a run that was cancelled after this time at usual speed.
    ///
    /// Hedges cancel most of the long runs. If these were left out, the tail would seem to disappear
    /// as soon as hedges are sent. A run cancelled after less than the median says nothing new.
    ///
    /// Returns the time that the run would probably have taken if it seems to be long work of a class
    /// with a long tail.
    pub(super) fn record_cancelled(&mut self, class: &WorkClass, time_us: f64) -> Option<f64> {
        let distribution = self.classes.get_mut(class)?;
        if !time_us.is_finite() || distribution.times.len() < CANCELLED_SAMPLES_MIN {
            return None;
        }
        let units = in_units(time_us);
        if units <= distribution.times.value_at_quantile(0.5) {
            return None;
        }
        let expected_units = distribution.median_beyond(units);
        distribution.record(expected_units);
        let seems_long = distribution.long_tail.is_some_and(|long_tail| {
            time_us > long_tail.slower_than_most_us * CANCELLED_LONG_RATIO
        });
        seems_long.then_some(expected_units as f64 * RESOLUTION_US)
    }

    /// Returns the time up to which long work of a class with a long tail is usual; zero without a
    /// long tail.
    pub(super) fn longest_us(&self, class: &WorkClass) -> f64 {
        self.long_tail(class).map_or(0.0, |long_tail| long_tail.longest_us)
    }

    /// Returns the figures of a class with a long tail; `None` if it has none or few samples.
    pub(super) fn long_tail(&self, class: &WorkClass) -> Option<LongTail> {
        self.classes.get(class)?.long_tail
    }
}

impl Distribution {
    fn new() -> Self {
        let times = Histogram::new(SIGNIFICANT_DIGITS).expect("the number of digits is valid");
        Self { times, samples_until_refresh: REFRESH_SAMPLES, long_tail: None }
    }

    fn record(&mut self, units: u64) {
        self.times.record(units).expect("the histogram grows with its values");
        if self.times.len() >= SAMPLES_MAX {
            self.halve_weights();
        }
        self.samples_until_refresh -= 1;
        if self.samples_until_refresh == 0 {
            self.samples_until_refresh = REFRESH_SAMPLES;
            self.long_tail = self.find_long_tail();
        }
    }

    /// Halves the weight of all samples. The cumulative counts are halved, since most values of the
    /// tail have a count of one.
    fn halve_weights(&mut self) {
        let (mut seen, mut kept) = (0, 0);
        let halved: Vec<(u64, u64)> = self
            .times
            .iter_recorded()
            .map(|value| {
                seen += value.count_since_last_iteration();
                let count = seen / 2 - kept;
                kept = seen / 2;
                (value.value_iterated_to(), count)
            })
            .collect();
        self.times.reset();
        for (units, count) in halved {
            let count = u16::try_from(count).unwrap_or(u16::MAX);
            self.times.record_n(units, count).expect("the histogram grows with its values");
        }
    }

    /// Returns the median of the samples beyond `units`; `units` if there are none.
    fn median_beyond(&self, units: u64) -> u64 {
        let beyond =
            || self.times.iter_recorded().filter(|value| value.value_iterated_to() > units);
        let total: u64 = beyond().map(|value| value.count_since_last_iteration()).sum();
        let mut seen = 0;
        let median = beyond().find(|value| {
            seen += value.count_since_last_iteration();
            seen * 2 >= total
        });
        median.map_or(units, |value| value.value_iterated_to())
    }

    fn find_long_tail(&self) -> Option<LongTail> {
        if self.times.len() < SAMPLES_MIN {
            return None;
        }
        let quantile_us = |quantile| self.times.value_at_quantile(quantile) as f64 * RESOLUTION_US;
        let median_us = quantile_us(0.5);
        (quantile_us(TAIL_QUANTILE) > median_us * LONG_WORK_RATIO).then(|| LongTail {
            median_us,
            slower_than_most_us: quantile_us(SLOWER_THAN_MOST_QUANTILE),
            longest_us: quantile_us(LONGEST_QUANTILE) * LONGEST_MARGIN,
        })
    }
}

fn in_units(time_us: f64) -> u64 {
    (time_us.clamp(0.0, WORK_TIME_MAX_US) / RESOLUTION_US).round() as u64
}
