//! Decides when a second attempt of a request in flight, a hedge, is sent.
//!
//! Handles work of which a small part takes several times as long as the rest. There a hedge that is
//! sent while its answer can still meet the objective replaces a long run by a usual one. It is sent
//! early only if the class has a long tail, the objective leaves time for it, and early hedges of
//! the class are worth the slots that they use. Otherwise a hedge is sent after three times the
//! usual time, which helps requests at targets that hang.

use std::collections::BTreeMap;
use std::time::Duration;

use shallotfork_types::Mono;

use super::assign::TargetFilter;
use super::work_times::LongTail;
use super::{SlotPool, SlotRequest, WorkClass};
use crate::{Assignment, AttemptId};

/// Multiple of the usual request time after which a hedge is sent that is not an early one.
const HEDGE_DELAY_FACTOR: f64 = 3.0;
/// Lower bound of that delay, for use while few requests have been measured.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(200);
/// Number of runs, each slower than most, that fit between an early hedge and the objective if the
/// objective leaves time for them. Waiting longer spares hedges of runs that end in time.
const RUNS_BEFORE_OBJECTIVE: f64 = 2.0;
/// Slot time, in medians of the work time, that lost hedges may take for each one that wins. A long
/// run takes about as much, and a hedge that wins ends one.
const LOST_MEDIANS_PER_WIN: f64 = 5.0;
/// Wins credited in advance, so that few results don't stop early hedges.
const CREDITED_WINS: f64 = 4.0;
/// Number of results at which the weight of all results is halved.
const RESULTS_MAX: u32 = 128;
/// While early hedges are not worth their slots, one request out of this many may still be hedged
/// early, so that a change is noticed.
const TRIAL_DIVISOR: u32 = 16;

/// When a request in flight is hedged, counted from the time at which it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HedgePlan {
    /// Early hedge; `None` if only the usual rule applies.
    pub early: Option<EarlyHedge>,
    /// Delay after which the request is hedged if no early hedge was sent.
    pub usual_delay: Duration,
}

/// Period in which an early hedge may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EarlyHedge {
    /// Delay after which the hedge is sent.
    pub delay: Duration,
    /// Last delay at which a run of median length still meets the objective.
    pub latest: Duration,
}

/// Result of a hedge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeResult {
    /// The hedge was answered first.
    Won,
    /// The first attempt was answered first, and the hedge was cancelled.
    Lost,
    /// The hedge ended without an answer.
    Failed,
}

impl HedgeResult {
    /// Returns the name of the result in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Won => "won",
            Self::Lost => "lost",
            Self::Failed => "failed",
        }
    }
}

/// Results of early hedges by class, which tell whether these are worth the slots that they use.
///
/// If the long work belongs to the request, a hedge takes as long as the first attempt and only
/// occupies a second slot.
#[derive(Debug, Default)]
pub(super) struct EarlyHedges {
    classes: BTreeMap<WorkClass, HedgeResults>,
}

#[derive(Debug, Default)]
struct HedgeResults {
    results: u32,
    wins: f64,
    /// Slot time of hedges that did not win, in medians of the work time.
    lost_medians: f64,
    /// Number of requests since the last one that could be hedged early as a trial.
    since_trial: u32,
}

impl EarlyHedges {
    /// Returns whether the next request of a class may be hedged early.
    fn may_send(&mut self, class: &WorkClass) -> bool {
        let Some(results) = self.classes.get_mut(class) else { return true };
        if results.lost_medians <= LOST_MEDIANS_PER_WIN * (results.wins + CREDITED_WINS) {
            return true;
        }
        results.since_trial = (results.since_trial + 1) % TRIAL_DIVISOR;
        results.since_trial == 0
    }

    fn record(&mut self, class: &WorkClass, result: HedgeResult, medians: f64) {
        let results = self.classes.entry(class.clone()).or_default();
        match result {
            HedgeResult::Won => results.wins += 1.0,
            HedgeResult::Lost | HedgeResult::Failed => results.lost_medians += medians,
        }
        results.results += 1;
        if results.results >= RESULTS_MAX {
            results.results /= 2;
            results.wins /= 2.0;
            results.lost_medians /= 2.0;
        }
    }
}

/// Plans an early hedge of a request whose first attempt takes `first_cost` times as long as at
/// usual speed, with `left_us` until its objective.
fn plan_early(long_tail: &LongTail, first_cost: f64, left_us: f64) -> Option<EarlyHedge> {
    let LongTail { median_us, slower_than_most_us, .. } = *long_tail;
    let latest_us = left_us - median_us;
    if latest_us < slower_than_most_us {
        return None;
    }
    let slower_us = slower_than_most_us * first_cost.max(1.0);
    let spare_us = left_us - slower_than_most_us * RUNS_BEFORE_OBJECTIVE;
    let delay_us = slower_us.max(spare_us).min(latest_us);
    let duration = |us: f64| Duration::from_micros(us as u64);
    Some(EarlyHedge { delay: duration(delay_us), latest: duration(latest_us) })
}

impl SlotPool {
    /// Plans the hedge of a request whose first attempt is sent now.
    pub fn plan_hedge(&mut self, first: AttemptId, request: &SlotRequest, now: Mono) -> HedgePlan {
        let usual_time = self.usual_time(&request.class);
        let usual_delay = usual_time.mul_f64(HEDGE_DELAY_FACTOR).max(HEDGE_DELAY_MIN);
        let early = self.estimates.work_times.long_tail(&request.class).and_then(|long_tail| {
            let left_us = request.objective.since(now).as_micros() as f64;
            plan_early(&long_tail, self.run_cost(first, now), left_us)
        });
        let early = early
            .filter(|early| early.delay < usual_delay)
            .filter(|_| self.early_hedges.may_send(&request.class));
        HedgePlan { early, usual_delay }
    }

    /// Assigns a second target for a request that is hedged early, if one is free that stays
    /// unsaturated, no request waits and this process has not reached its share of the slots.
    ///
    /// A hedge takes a second slot. It must neither delay other requests nor slow down other runs.
    pub fn assign_early_hedge(&mut self, request: &SlotRequest, now: Mono) -> Option<Assignment> {
        if !self.queue.is_empty() || self.has_reached_share() {
            return None;
        }
        self.assign(request, TargetFilter::UnsaturatedNotSlow, now)
    }

    /// Records the result of an early hedge that was in flight for `duration`.
    pub fn record_early_hedge(
        &mut self,
        class: &WorkClass,
        result: HedgeResult,
        duration: Duration,
    ) {
        let Some(long_tail) = self.estimates.work_times.long_tail(class) else { return };
        let medians = duration.as_micros() as f64 / long_tail.median_us;
        self.early_hedges.record(class, result, medians);
    }

    /// Returns the factor by which an attempt that is sent now is expected to take longer than at
    /// usual speed.
    fn run_cost(&self, attempt: AttemptId, now: Mono) -> f64 {
        let target = self.attempts.get(&attempt).and_then(|id| self.targets.get(id));
        target.map_or(1.0, |target| target.run_cost(attempt, now, &self.config, &self.estimates))
    }
}
