//! Scheduling of probes within the budget.

use std::collections::BTreeMap;
use std::time::Duration;

use shallotfork_types::{Mono, TargetId, rendezvous_weight};

use crate::{FleetShare, MeasuredTarget, ProbeBudget};

/// Window over which the budget is counted: one second, with a margin for clocks that run at
/// different speeds.
pub(crate) const BUDGET_WINDOW: Duration = Duration::from_millis(1050);

/// Permit to send one probe immediately; return it with [`ProbeScheduler::release`].
///
/// This process sends no other probe to the target until the permit is returned. A permit that is
/// dropped instead ends probing of its target, so that an aborted task cannot exceed the budget.
#[derive(Debug, PartialEq, Eq)]
pub struct ProbePermit {
    target: TargetId,
}

impl ProbePermit {
    /// Returns the target that may be probed.
    pub fn target(&self) -> &TargetId {
        &self.target
    }
}

/// Outcome of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The probe was answered, or no connection could be established: no work is left at the
    /// target.
    Settled,
    /// The probe timed out; the target may still process it.
    Unanswered,
}

#[derive(Debug)]
struct TargetSchedule {
    slots: u32,
    spacing: Duration,
    /// Earliest time of the next probe.
    next_at: Mono,
    is_outstanding: bool,
    /// Set while the target has sent no answer since it was added or since a probe of it went
    /// unanswered: the time of that event.
    silent_since: Option<Mono>,
    /// Time of the last answer with a load report.
    reported_at: Option<Mono>,
}

/// Spaces the probes of this process so that those of the whole fleet stay within the budget in
/// every second.
///
/// - A process probes at the rate of its share, regardless of its view of the fleet. Neither a
///   partition nor an outdated VM list affects the fleet's total rate.
/// - A new process waits for one full spacing, because the process that it replaces may have sent a
///   probe just before it ended.
/// - A process may be paused between `try_acquire` and sending the first byte. The spacing is
///   therefore counted from the end of the probe, when the target has received it. Probes that were
///   missed during a pause are skipped.
/// - A paused target may have buffered all probes sent to it in the meantime. A target that left a
///   probe unanswered is therefore not probed again until it answers a request (`record_answer`). A
///   new process does not know which probes of its predecessor are unanswered, so it waits for a
///   first answer, too.
///
/// Two live processes with the same share exceed the budget; settings must prevent that.
#[derive(Debug)]
pub struct ProbeScheduler {
    budget: ProbeBudget,
    share: FleetShare,
    fresh_for: Duration,
    targets: BTreeMap<TargetId, TargetSchedule>,
}

impl ProbeScheduler {
    /// Creates a scheduler without targets. A target is not probed while its last load report is
    /// younger than `fresh_for`.
    pub fn new(budget: ProbeBudget, share: FleetShare, fresh_for: Duration) -> Self {
        Self { budget, share, fresh_for, targets: BTreeMap::new() }
    }

    /// Sets the list of targets. New and changed ones are due one full spacing after their first
    /// answer, so that a flapping list cannot shorten a spacing.
    pub fn set_targets(&mut self, targets: &[MeasuredTarget], now: Mono) {
        let removed: Vec<TargetId> = self
            .targets
            .keys()
            .filter(|known| !targets.iter().any(|target| target.id == **known))
            .cloned()
            .collect();
        self.change_targets(&removed, targets, now);
    }

    /// Updates the list of targets: those of `removed` are deleted, and those of `present` that are
    /// new or changed are scheduled. The running time does not depend on the number of other
    /// targets.
    pub fn change_targets(&mut self, removed: &[TargetId], present: &[MeasuredTarget], now: Mono) {
        for target in removed {
            self.targets.remove(target);
        }
        for target in present {
            let known = self.targets.get(&target.id);
            if known.is_some_and(|known| known.slots == target.slots) {
                continue;
            }
            match self.spacing(target) {
                Some(spacing) => {
                    let schedule = TargetSchedule::new(target.slots, spacing, now);
                    self.targets.insert(target.id.clone(), schedule);
                }
                None => {
                    self.targets.remove(&target.id);
                }
            }
        }
    }

    /// Records that the target answered a request at `at`. An answer with a load report postpones
    /// the next probe.
    pub fn record_answer(&mut self, target: &TargetId, has_report: bool, at: Mono) {
        let Some(schedule) = self.targets.get_mut(target) else { return };
        if schedule.silent_since.is_some_and(|since| at > since) {
            schedule.silent_since = None;
            schedule.next_at = schedule.next_at.max(at.plus(schedule.spacing));
        }
        if has_report {
            schedule.reported_at = schedule.reported_at.max(Some(at));
        }
    }

    /// Returns the targets that may be probed now and whose load is not known from traffic.
    pub fn due(&self, now: Mono) -> Vec<TargetId> {
        let due = self.targets.iter().filter(|(_, schedule)| self.is_due(schedule, now));
        due.map(|(id, _)| id.clone()).collect()
    }

    /// Returns when the next target is due; `None` if none will be due without a further answer.
    pub fn next_due(&self) -> Option<Mono> {
        let waiting = self.targets.values().filter(|schedule| !schedule.is_blocked());
        waiting.map(|schedule| self.due_at(schedule)).min()
    }

    /// Returns a permit to probe the target now, or `None` if it is not due.
    ///
    /// To be called immediately before sending, because the process may have been paused since the
    /// call of `due`, and another task may have sent a probe in the meantime.
    pub fn try_acquire(&mut self, target: &TargetId, now: Mono) -> Option<ProbePermit> {
        let schedule = self.targets.get(target)?;
        if !self.is_due(schedule, now) {
            return None;
        }
        self.targets.get_mut(target)?.is_outstanding = true;
        Some(ProbePermit { target: target.clone() })
    }

    /// Takes back the permit of a probe that has ended. The connection of a probe that timed out
    /// must have been closed.
    pub fn release(&mut self, permit: ProbePermit, outcome: ProbeOutcome, now: Mono) {
        if let Some(schedule) = self.targets.get_mut(&permit.target) {
            schedule.is_outstanding = false;
            schedule.silent_since = (outcome == ProbeOutcome::Unanswered).then_some(now);
            schedule.next_at = now.plus(schedule.spacing);
        }
    }

    fn is_due(&self, schedule: &TargetSchedule, now: Mono) -> bool {
        !schedule.is_blocked() && now >= self.due_at(schedule)
    }

    fn due_at(&self, schedule: &TargetSchedule) -> Mono {
        let stale_at =
            schedule.reported_at.map_or(Mono::ZERO, |reported_at| reported_at.plus(self.fresh_for));
        schedule.next_at.max(stale_at)
    }

    /// Returns the interval between two probes of this process, or `None` if its share allows no
    /// probes.
    fn spacing(&self, target: &MeasuredTarget) -> Option<Duration> {
        let milli_per_second = self.budget.milli_probes_per_second(target.slots);
        let per_second = milli_per_second / 1000;
        let shares = u64::from(self.share.count());
        if per_second >= shares {
            let each = u32::try_from(per_second / shares).unwrap_or(u32::MAX);
            return Some(BUDGET_WINDOW / each);
        }
        if milli_per_second == 0 || self.rank(&target.id) >= per_second.max(1) {
            return None;
        }
        if per_second == 0 {
            return Some(BUDGET_WINDOW.mul_f64(1000.0 / milli_per_second as f64));
        }
        Some(BUDGET_WINDOW)
    }

    /// Returns the number of shares that rank before this one for the target.
    fn rank(&self, target: &TargetId) -> u64 {
        let weight = |index: u32| (rendezvous_weight(target.as_str(), &index.to_string()), index);
        let own = weight(self.share.index());
        let before = (0..self.share.count()).filter(|index| weight(*index) > own);
        before.count() as u64
    }
}

impl TargetSchedule {
    fn new(slots: u32, spacing: Duration, now: Mono) -> Self {
        let next_at = now.plus(spacing);
        Self {
            slots,
            spacing,
            next_at,
            is_outstanding: false,
            silent_since: Some(now),
            reported_at: None,
        }
    }

    /// Returns whether no probe may be sent until an answer or the end of a probe is recorded.
    fn is_blocked(&self) -> bool {
        self.is_outstanding || self.silent_since.is_some()
    }
}
