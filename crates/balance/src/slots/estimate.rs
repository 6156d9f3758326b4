//! Estimates of how long a request takes at a target.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use shallotfork_types::{Mono, ParseError};

use super::WorkClass;
use super::work_times::WorkTimes;

/// Weight of a new sample in the mean work time of a class.
const WORK_WEIGHT: f64 = 0.05;
/// Weight of a new sample in the estimated cost of saturation.
const SATURATION_WEIGHT: f64 = 0.02;
/// Initial cost of running on a saturated target, as a multiple of the time on an unsaturated one.
const SATURATION_COST_INITIAL: f64 = 1.4;
/// Initial slowdown of runs on saturated targets; high enough to keep targets unsaturated until it
/// has been measured.
const SATURATION_SLOWDOWN_INITIAL: f64 = 1.5;
/// Smallest fraction of a run during which its target is assumed to be saturated, if it is at all.
/// The slowdown by saturation is measured over complete runs.
const SATURATED_FRACTION_MIN: f64 = 0.5;
/// Fraction of a target's slots, in thousandths, that can be in use without saturating it.
const UNSATURATED_PERMILLE: u32 = 667;
/// Bounds of the measured saturation cost; noise must not turn it into a gain.
const SATURATION_COST_BOUNDS: (f64, f64) = (1.0, 3.0);
/// Weight of a new report in the mean slowdown of all targets.
const SLOWDOWN_WEIGHT: f64 = 0.01;
/// Divisor that gives the smallest fraction of prompt probe answers at which targets count as
/// answering promptly. The fraction is smaller while all targets are full.
const PROMPT_PROBES_DIVISOR: u64 = 4;
/// Samples are capped at this multiple of the estimate, so that a single hang doesn't shift the
/// mean.
const SAMPLE_RATIO_MAX: f64 = 4.0;

/// Returns the number of requests that a target with `slots` slots is expected to run without
/// slowing down.
pub(super) fn unsaturated_slots(slots: u32) -> u32 {
    (slots * UNSATURATED_PERMILLE / 1000).max(1)
}

/// Time that work takes at a target now, in thousandths of the usual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slowdown(u32);

impl Slowdown {
    /// Usual speed.
    pub const NONE: Self = Self(1000);

    /// Creates a slowdown from thousandths of the usual time.
    pub fn new(permille: u32) -> Self {
        Self(permille)
    }

    /// Returns the slowdown as a factor; 1.0 is the usual speed.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

impl fmt::Display for Slowdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}‰", self.0)
    }
}

impl FromStr for Slowdown {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let digits = text.strip_suffix('‰').unwrap_or(text);
        digits.parse().map(Self).map_err(|_| ParseError::new("thousandths", text))
    }
}

/// Estimates over all targets of a pool.
#[derive(Debug)]
pub(super) struct Estimates {
    initial_work_us: f64,
    /// Mean work time by class, for a target of average speed without slowdown or saturation.
    work_us: BTreeMap<WorkClass, f64>,
    /// Distribution of work times by class.
    pub(super) work_times: WorkTimes,
    /// Mean over all classes, used for a class without samples.
    mean_work_us: Option<f64>,
    /// Cost of running on a saturated target, as a multiple of the time on an unsaturated one.
    saturation_cost: f64,
    /// Mean times of runs whose target was saturated meanwhile, and of all other runs, as multiples
    /// of the time expected on an unsaturated target. Both are measured over the same period, so
    /// that a slowdown of all targets affects both alike.
    saturated_ratio: f64,
    unsaturated_ratio: f64,
    /// Mean of the slowdowns that targets report.
    mean_slowdown: f64,
    /// Whether any target has reported its slowdown; `None` before the first probe.
    reports_slowdown: Option<bool>,
    /// Number of load probes that were answered promptly, and of all load probes.
    prompt_probes: u64,
    probes: u64,
}

impl Estimates {
    pub(super) fn new(initial_work_time: Duration) -> Self {
        Self {
            initial_work_us: initial_work_time.as_micros() as f64,
            work_us: BTreeMap::new(),
            work_times: WorkTimes::default(),
            mean_work_us: None,
            saturation_cost: SATURATION_COST_INITIAL,
            saturated_ratio: SATURATION_SLOWDOWN_INITIAL,
            unsaturated_ratio: 1.0,
            mean_slowdown: 1.0,
            reports_slowdown: None,
            prompt_probes: 0,
            probes: 0,
        }
    }

    pub(super) fn work_us(&self, class: &WorkClass) -> f64 {
        let mean_us = self.mean_work_us.unwrap_or(self.initial_work_us);
        self.work_us.get(class).copied().unwrap_or(mean_us)
    }

    /// Returns the mean time of a request in a slot over all classes.
    pub(super) fn mean_work_us(&self) -> f64 {
        self.mean_work_us.unwrap_or(self.initial_work_us)
    }

    /// Returns whether targets report their slowdown; true while this is unknown.
    pub(super) fn may_report_slowdown(&self) -> bool {
        self.reports_slowdown.unwrap_or(true)
    }

    pub(super) fn record_missing_load(&mut self) {
        self.reports_slowdown.get_or_insert(false);
    }

    pub(super) fn record_probe(&mut self, is_prompt: bool) {
        self.probes += 1;
        self.prompt_probes += u64::from(is_prompt);
    }

    /// Returns whether targets usually answer load probes promptly.
    pub(super) fn are_probes_prompt(&self) -> bool {
        self.prompt_probes * PROMPT_PROBES_DIVISOR > self.probes
    }

    pub(super) fn saturation_cost(&self, is_saturated: bool) -> f64 {
        if is_saturated { self.saturation_cost } else { 1.0 }
    }

    /// Returns whether a target with `slots` slots serves more requests when all of them are in use
    /// than when it is kept unsaturated.
    pub(super) fn is_saturation_worthwhile(&self, slots: u32) -> bool {
        let gain = f64::from(slots) / f64::from(unsaturated_slots(slots)) - 1.0;
        self.saturation_slowdown() - 1.0 < gain * SATURATED_FRACTION_MIN
    }

    /// Returns how much longer runs take if their target is saturated meanwhile.
    pub(super) fn saturation_slowdown(&self) -> f64 {
        self.saturated_ratio / self.unsaturated_ratio
    }

    /// Records the time of a run, as a multiple of the expected time, by whether its target was
    /// saturated meanwhile.
    pub(super) fn record_run_ratio(&mut self, ratio: f64, is_saturated: bool) {
        let mean_ratio =
            if is_saturated { &mut self.saturated_ratio } else { &mut self.unsaturated_ratio };
        *mean_ratio += (ratio.min(SAMPLE_RATIO_MAX) - *mean_ratio) * SATURATION_WEIGHT;
    }

    pub(super) fn mean_slowdown(&self) -> f64 {
        self.mean_slowdown
    }

    pub(super) fn record_slowdown(&mut self, slowdown: Slowdown) {
        self.reports_slowdown = Some(true);
        self.mean_slowdown += (slowdown.factor() - self.mean_slowdown) * SLOWDOWN_WEIGHT;
    }

    /// Records the time of a run at a target with the given slowdown and saturation.
    pub(super) fn record_work_time(
        &mut self,
        class: &WorkClass,
        time_us: f64,
        slowdown: f64,
        is_saturated: bool,
    ) {
        let known = self.work_us.contains_key(class);
        let work_us = self.work_us(class);
        let expected_us = work_us * slowdown * self.saturation_cost(is_saturated);
        let ratio = (time_us / expected_us).min(if known { SAMPLE_RATIO_MAX } else { f64::MAX });
        if is_saturated && known {
            let saturation_cost = self.saturation_cost * (1.0 + (ratio - 1.0) * SATURATION_WEIGHT);
            self.saturation_cost =
                saturation_cost.clamp(SATURATION_COST_BOUNDS.0, SATURATION_COST_BOUNDS.1);
        }
        let sample_us = work_us * ratio;
        let weight = if known { WORK_WEIGHT } else { 1.0 };
        self.work_us.insert(class.clone(), work_us + (sample_us - work_us) * weight);
        self.record_mean(sample_us);
    }

    /// Records long work, whose time at usual speed is not the usual time of its class. It counts in
    /// the mean over all classes, since it occupies slots like other work.
    pub(super) fn record_long_work(&mut self, class: &WorkClass, time_us: f64) {
        self.record_mean(time_us.min(self.work_us(class) * SAMPLE_RATIO_MAX));
    }

    fn record_mean(&mut self, sample_us: f64) {
        let mean_us = self.mean_work_us.get_or_insert(sample_us);
        *mean_us += (sample_us - *mean_us) * WORK_WEIGHT;
    }
}

/// Last slowdown reported by a target.
#[derive(Debug, Clone, Copy)]
pub(super) struct SlowdownReport {
    pub(super) slowdown: Slowdown,
    pub(super) reported_at: Mono,
}

impl SlowdownReport {
    /// Returns the slowdown expected now. With age, the report loses weight in favour of the mean of
    /// all targets.
    pub(super) fn expected(self, now: Mono, decay: Duration, mean: f64) -> f64 {
        let age_us = now.since(self.reported_at).as_micros() as f64;
        let weight = (-age_us / decay.as_micros() as f64).exp();
        mean + (self.slowdown.factor() - mean) * weight
    }
}
