//! How long a request would take at a target.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use shallotfork_types::{Mono, ParseError};

use super::WorkClass;

/// Weight of a new sample in the mean work of a class.
const WORK_WEIGHT: f64 = 0.05;
/// Weight of a new sample in what a second request beside the first one costs.
const CROWDING_WEIGHT: f64 = 0.02;
/// What a run on a crowded target costs before it has been measured, as a multiple of the time on one
/// with slots to spare.
const CROWDING_GUESS: f64 = 1.4;
/// How much longer runs take on crowded targets before that has been measured; so much that these are
/// kept uncrowded.
const SLOWDOWN_GUESS: f64 = 1.5;
/// The part of a run for which its target is crowded at least, if it is at all. What a crowd costs is
/// measured over whole runs.
const CROWDED_PART: f64 = 0.5;
/// Part of a target's slots that can be in use without crowding it, in thousandths.
const UNCROWDED_PERMILLE: u32 = 667;
/// Bounds of the measured cost; noise must not turn it into a gain.
const CROWDING_BOUNDS: (f64, f64) = (1.0, 3.0);
/// Weight of a new report in the mean pace.
const PACE_WEIGHT: f64 = 0.01;
/// Part of all questions that are answered soon at least where targets answer soon, as a divisor. Fewer
/// are while all targets are full.
const SOON_DIVISOR: u64 = 4;
/// Samples are cut at this multiple of the estimate, so that a single hang moves no mean.
const SAMPLE_MAX: f64 = 4.0;

/// Requests that a target of so many slots is expected to run without slowing down.
pub(super) fn uncrowded_slots(slots: u32) -> u32 {
    (slots * UNCROWDED_PERMILLE / 1000).max(1)
}

/// How long work takes at a target now, in thousandths of the usual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slowdown(u32);

impl Slowdown {
    /// The usual pace.
    pub const NONE: Self = Self(1000);

    /// Wraps thousandths of the usual time.
    pub fn new(permille: u32) -> Self {
        Self(permille)
    }

    /// As a factor of time.
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

/// What the pool has learnt about all its targets together.
#[derive(Debug)]
pub(super) struct Learnt {
    first_guess_us: f64,
    /// Mean time of a class at a target of usual speed and pace with a slot to spare.
    work_us: BTreeMap<WorkClass, f64>,
    /// Mean over all classes, for one that is new.
    any_work_us: Option<f64>,
    /// What a run on a crowded target costs.
    crowding: f64,
    /// Mean times of runs on targets that were crowded meanwhile, and on others, as multiples of the
    /// time expected of an uncrowded one. Both are measured at the same time, so that what slows down
    /// all targets alike shows in both.
    crowded_time: f64,
    uncrowded_time: f64,
    /// Mean of the paces that targets report.
    pace: f64,
    /// Whether any target has told its pace; `None` before one was asked.
    has_paces: Option<bool>,
    /// Questions about a target's load that were answered soon, and all of them.
    answered_soon: u64,
    asked: u64,
}

impl Learnt {
    pub(super) fn new(first_guess: Duration) -> Self {
        Self {
            first_guess_us: first_guess.as_micros() as f64,
            work_us: BTreeMap::new(),
            any_work_us: None,
            crowding: CROWDING_GUESS,
            crowded_time: SLOWDOWN_GUESS,
            uncrowded_time: 1.0,
            pace: 1.0,
            has_paces: None,
            answered_soon: 0,
            asked: 0,
        }
    }

    pub(super) fn work_us(&self, class: &WorkClass) -> f64 {
        let any = self.any_work_us.unwrap_or(self.first_guess_us);
        self.work_us.get(class).copied().unwrap_or(any)
    }

    /// Mean time of a request in a slot, whatever its class.
    pub(super) fn usual_us(&self) -> f64 {
        self.any_work_us.unwrap_or(self.first_guess_us)
    }

    /// Whether targets tell their pace, as far as is known.
    pub(super) fn may_have_paces(&self) -> bool {
        self.has_paces.unwrap_or(true)
    }

    pub(super) fn untold(&mut self) {
        self.has_paces.get_or_insert(false);
    }

    pub(super) fn saw_question(&mut self, answered_soon: bool) {
        self.asked += 1;
        self.answered_soon += u64::from(answered_soon);
    }

    /// Whether targets usually answer questions about their load soon.
    pub(super) fn answers_soon(&self) -> bool {
        self.answered_soon * SOON_DIVISOR > self.asked
    }

    pub(super) fn crowding(&self, crowded: bool) -> f64 {
        if crowded { self.crowding } else { 1.0 }
    }

    /// Whether a target of so many slots serves more when all of them are filled than when it is kept
    /// uncrowded.
    pub(super) fn crowded_slots_pay(&self, slots: u32) -> bool {
        let gain = f64::from(slots) / f64::from(uncrowded_slots(slots)) - 1.0;
        self.slowdown() - 1.0 < gain * CROWDED_PART
    }

    /// How much longer runs take that met a crowd.
    pub(super) fn slowdown(&self) -> f64 {
        self.crowded_time / self.uncrowded_time
    }

    /// Takes the time of a run, as a multiple of the expected one, on a target that was crowded
    /// meanwhile or was not.
    pub(super) fn saw_crowd(&mut self, ratio: f64, crowded: bool) {
        let time = if crowded { &mut self.crowded_time } else { &mut self.uncrowded_time };
        *time += (ratio.min(SAMPLE_MAX) - *time) * CROWDING_WEIGHT;
    }

    pub(super) fn mean_pace(&self) -> f64 {
        self.pace
    }

    pub(super) fn saw_pace(&mut self, pace: Slowdown) {
        self.has_paces = Some(true);
        self.pace += (pace.factor() - self.pace) * PACE_WEIGHT;
    }

    /// Takes a time measured at a target whose speed and pace were believed to be these.
    pub(super) fn saw_time(&mut self, class: &WorkClass, time_us: f64, pace: f64, crowded: bool) {
        let known = self.work_us.contains_key(class);
        let work_us = self.work_us(class);
        let expected_us = work_us * pace * self.crowding(crowded);
        let ratio = (time_us / expected_us).min(if known { SAMPLE_MAX } else { f64::MAX });
        if crowded && known {
            let crowding = self.crowding * (1.0 + (ratio - 1.0) * CROWDING_WEIGHT);
            self.crowding = crowding.clamp(CROWDING_BOUNDS.0, CROWDING_BOUNDS.1);
        }
        let sample_us = work_us * ratio;
        let weight = if known { WORK_WEIGHT } else { 1.0 };
        self.work_us.insert(class.clone(), work_us + (sample_us - work_us) * weight);
        let any = self.any_work_us.get_or_insert(sample_us);
        *any += (sample_us - *any) * WORK_WEIGHT;
    }
}

/// A target's last word on its pace.
#[derive(Debug, Clone, Copy)]
pub(super) struct PaceReport {
    pub(super) pace: Slowdown,
    pub(super) at: Mono,
}

impl PaceReport {
    /// The pace to expect now: the report counts less with age, the mean of all targets more.
    pub(super) fn expected(self, now: Mono, memory: Duration, mean: f64) -> f64 {
        let age_us = now.since(self.at).as_micros() as f64;
        let trust = (-age_us / memory.as_micros() as f64).exp();
        mean + (self.pace.factor() - mean) * trust
    }
}
