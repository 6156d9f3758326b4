//! Tells targets that reject requests at random from targets that lack capacity.
//!
//! Load: for some seconds all targets of a service reject half of their requests or more, each at
//! random and with slots free. Ejections then take healthy targets away from the requests that they
//! would have served, and a retry-after time derived from the queue keeps callers away from free
//! slots.
//!
//! Condition: most of the targets that were tried recently have rejected requests although they
//! reported free slots, and few rejections came from targets without. Until it holds, rejections
//! count as lack of capacity.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use shallotfork_types::{Mono, TargetId, rendezvous_weight};

use super::SlotPool;
use super::published::{SlotOutcome, TargetLoad, TargetStateChange};
use super::target::{FailureRecord, RunningAttempt, Target};

/// Number of latest attempts that are considered. A service with a hundred requests a second in this
/// process shows a change within half a second.
const ATTEMPTS_MAX: usize = 64;
/// Age beyond which an attempt is no longer considered. With ten requests a second, enough
/// rejections for a decision still fall into this time.
const ATTEMPT_MAX_AGE: Duration = Duration::from_secs(2);
/// Number of rejections below which nothing is concluded.
const REJECTIONS_MIN: usize = 8;
/// Numbers of rejecting targets of which at least half of a service's targets are required, within
/// these bounds. A single rejecting target is the fault of that target.
const REJECTING_TARGETS_BOUNDS: (usize, usize) = (2, 4);
/// The condition begins if at least one in this many tried targets rejects with free slots.
const BEGIN_TARGETS_DIVISOR: usize = 2;
/// The condition begins if at least one in this many attempts is rejected with free slots.
const BEGIN_ATTEMPTS_DIVISOR: usize = 4;
/// The condition lasts while at least one in this many tried targets rejects with free slots. Twice
/// the divisor of the beginning, so that chance does not switch it off and on.
const LAST_TARGETS_DIVISOR: usize = 4;
/// The condition lasts while at least one in this many attempts is rejected with free slots.
const LAST_ATTEMPTS_DIVISOR: usize = 8;
/// The condition requires this many rejections with free slots for each one without.
const FREE_REJECTIONS_FACTOR: usize = 3;
/// Age up to which a target's earlier report counts for a rejection that carries none. A target is
/// probed before each send, so the report is at most a probe, a send and their delays old.
const REPORT_MAX_AGE: Duration = Duration::from_millis(50);
/// Free slots that an earlier report must show. A single one may have been taken by another process
/// since then.
const REPORTED_FREE_SLOTS_MIN: u32 = 2;
/// Shortest retry-after time under the condition. Slots are free, so the time is only long enough
/// for the next entry to recognise a returning caller, which takes 50 ms, and for the rounding of
/// its deadline. It exceeds the transit time between callers and entries many times.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(55);
/// Range above the shortest retry-after time over which the times are spread, so that callers that
/// were rejected together do not return together.
const RETRY_AFTER_SPREAD_MS: u64 = 30;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptKind {
    /// The target ran the request.
    Run,
    /// The target rejected the request although it had free slots.
    RejectedFree,
    /// The target rejected the request, and it is not known that it had free slots.
    RejectedFull,
}

#[derive(Debug)]
struct Attempt {
    ended_at: Mono,
    target: TargetId,
    kind: AttemptKind,
}

/// Counts over the recent attempts of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RejectionCounts {
    /// Attempts that were run or rejected.
    pub attempts: usize,
    /// Rejections by targets with free slots.
    pub rejected_free: usize,
    /// Other rejections.
    pub rejected_full: usize,
    /// Targets tried.
    pub tried_targets: usize,
    /// Targets that rejected a request with free slots.
    pub rejecting_targets: usize,
}

impl RejectionCounts {
    fn begins(&self, serving_targets: usize) -> bool {
        let (min, max) = REJECTING_TARGETS_BOUNDS;
        self.rejected_free >= REJECTIONS_MIN
            && self.rejecting_targets >= serving_targets.div_ceil(2).clamp(min, max)
            && self.rejecting_targets * BEGIN_TARGETS_DIVISOR >= self.tried_targets
            && self.rejected_free * BEGIN_ATTEMPTS_DIVISOR >= self.attempts
            && self.shows_free_slots()
    }

    fn lasts(&self) -> bool {
        self.rejected_free > 0
            && self.rejecting_targets * LAST_TARGETS_DIVISOR >= self.tried_targets
            && self.rejected_free * LAST_ATTEMPTS_DIVISOR >= self.attempts
            && self.shows_free_slots()
    }

    fn shows_free_slots(&self) -> bool {
        self.rejected_free >= self.rejected_full * FREE_REJECTIONS_FACTOR
    }
}

/// Recent attempts of a service, and whether its targets reject at random.
#[derive(Debug, Default)]
pub(super) struct RejectionMonitor {
    attempts: VecDeque<Attempt>,
    is_random: bool,
    /// Failures of targets before their rejections with free slots. Restored when the condition
    /// begins, because the first rejections are counted as failures until then.
    before: BTreeMap<TargetId, FailureRecord>,
}

impl RejectionMonitor {
    fn record(&mut self, target: &TargetId, kind: AttemptKind, serving_targets: usize, now: Mono) {
        if self.attempts.len() == ATTEMPTS_MAX {
            self.attempts.pop_front();
        }
        self.attempts.push_back(Attempt { ended_at: now, target: target.clone(), kind });
        if kind == AttemptKind::Run && !self.is_random {
            return;
        }
        let counts = self.counts(now);
        self.is_random =
            if self.is_random { counts.lasts() } else { counts.begins(serving_targets) };
    }

    fn counts(&self, now: Mono) -> RejectionCounts {
        let is_recent = |attempt: &&Attempt| now.since(attempt.ended_at) < ATTEMPT_MAX_AGE;
        let recent = || self.attempts.iter().filter(is_recent);
        let of_kind = |kind| recent().filter(move |attempt| attempt.kind == kind);
        let targets: BTreeSet<&TargetId> = recent().map(|attempt| &attempt.target).collect();
        let rejecting: BTreeSet<&TargetId> =
            of_kind(AttemptKind::RejectedFree).map(|attempt| &attempt.target).collect();
        RejectionCounts {
            attempts: recent().count(),
            rejected_free: of_kind(AttemptKind::RejectedFree).count(),
            rejected_full: of_kind(AttemptKind::RejectedFull).count(),
            tried_targets: targets.len(),
            rejecting_targets: rejecting.len(),
        }
    }

    fn is_random(&self, now: Mono) -> bool {
        let is_recent = |attempt: &Attempt| now.since(attempt.ended_at) < ATTEMPT_MAX_AGE;
        self.is_random && self.attempts.back().is_some_and(is_recent)
    }
}

impl SlotPool {
    /// Returns whether most targets reject requests at random although they have free slots.
    pub fn rejects_at_random(&self, now: Mono) -> bool {
        self.rejections.is_random(now)
    }

    /// Returns counts over the recent attempts, on which [`Self::rejects_at_random`] is based.
    pub fn rejection_counts(&self, now: Mono) -> RejectionCounts {
        self.rejections.counts(now)
    }

    /// Records the outcome of an attempt that has ended. `load` is the target's report in its
    /// answer.
    ///
    /// While targets reject at random, a rejection with free slots changes nothing at its target.
    pub(super) fn record_attempt_outcome(
        &mut self,
        id: &TargetId,
        running: &RunningAttempt,
        outcome: SlotOutcome,
        load: Option<TargetLoad>,
        now: Mono,
    ) {
        let serving = self.slot_counts.serving_targets;
        let Some(target) = self.targets.get_mut(id) else { return };
        let kind = attempt_kind(target, outcome, load, now);
        if let Some(kind) = kind {
            let was_random = self.rejections.is_random(now);
            self.rejections.record(id, kind, serving, now);
            if self.rejections.is_random && !was_random {
                let before = std::mem::take(&mut self.rejections.before);
                restore_failures(&mut self.targets, before);
            }
        }
        let Some(target) = self.targets.get_mut(id) else { return };
        if kind != Some(AttemptKind::RejectedFree) {
            self.rejections.before.remove(id);
        } else if self.rejections.is_random {
            return;
        } else {
            self.rejections.before.entry(id.clone()).or_insert_with(|| FailureRecord::of(target));
        }
        let Self { config, estimates, state_changes, .. } = self;
        let change = target.record_outcome(running, outcome, config, estimates, now);
        let change = change.map(|change| TargetStateChange { target: id.clone(), change });
        state_changes.extend(change);
    }

    /// Returns the time after which a rejected caller may return, if targets reject at random and
    /// a slot is free.
    pub(super) fn random_rejection_retry_after(&self, now: Mono) -> Option<Duration> {
        if !self.rejects_at_random(now) || self.free_slots(now) == 0 {
            return None;
        }
        let seed = rendezvous_weight(&self.config.name, &now.as_micros().to_string());
        Some(RETRY_AFTER_MIN + Duration::from_millis(seed % (RETRY_AFTER_SPREAD_MS + 1)))
    }
}

fn restore_failures(
    targets: &mut BTreeMap<TargetId, Target>,
    before: BTreeMap<TargetId, FailureRecord>,
) {
    for (id, failures) in before {
        if let Some(target) = targets.get_mut(&id) {
            failures.restore(target);
        }
    }
}

/// Returns what the outcome of an attempt says about the capacity of its target; `None` if nothing.
fn attempt_kind(
    target: &Target,
    outcome: SlotOutcome,
    load: Option<TargetLoad>,
    now: Mono,
) -> Option<AttemptKind> {
    match outcome {
        SlotOutcome::Answered { .. } | SlotOutcome::Failed => Some(AttemptKind::Run),
        SlotOutcome::Full => {
            let has_free_slot = load.map_or_else(
                || target.reported_free_slots(now, REPORT_MAX_AGE) >= REPORTED_FREE_SLOTS_MIN,
                |load| load.running.saturating_add(load.waiting) < load.slots,
            );
            Some(if has_free_slot { AttemptKind::RejectedFree } else { AttemptKind::RejectedFull })
        }
        SlotOutcome::Unreachable
        | SlotOutcome::Misdirected
        | SlotOutcome::TimedOut
        | SlotOutcome::Cancelled => None,
    }
}
