//! When this process may probe which target.

use std::collections::BTreeMap;
use std::time::Duration;

use shallotfork_types::{Mono, TargetId, rendezvous_weight};

use crate::{FleetShare, MeasuredTarget, ProbeBudget};

/// The second that the budget is counted over, and a margin for clocks of different speeds.
pub(crate) const WINDOW: Duration = Duration::from_millis(1050);

/// Leave to send one probe now; give it back with `ProbeScheduler::release`.
///
/// While it is out, the target gets no other probe from this process. A permit that is dropped
/// ends probing of its target, so a lost task can't break the budget.
#[derive(Debug, PartialEq, Eq)]
pub struct ProbePermit {
    target: TargetId,
}

impl ProbePermit {
    /// The target that may be probed.
    pub fn target(&self) -> &TargetId {
        &self.target
    }
}

/// How a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// An answer came, or no connection could be made: the target has no work left from it.
    Settled,
    /// It was given up; the target may still have it before it.
    Unanswered,
}

#[derive(Debug)]
struct Planned {
    slots: u32,
    spacing: Duration,
    /// No probe before this time.
    next: Mono,
    outstanding: bool,
    /// Since when nothing is known to be heard from the target: since it came into the list, or
    /// since a probe of it went unanswered.
    silent_since: Option<Mono>,
    /// When an answer last carried a load report.
    reported: Option<Mono>,
}

/// Spaces this process's probes so that the fleet's sum keeps the budget in every second.
///
/// - A process probes at its share's rate whatever it believes about its peers, so neither a
///   partition nor a lagging VM list changes the sum.
/// - A process that starts waits one whole spacing first: the process that it replaces may have
///   probed just before it died.
/// - A process may be paused between `try_acquire` and the first byte, so the spacing to the next probe
///   counts from the end of the probe, when the target has surely received it. Probes missed
///   while paused are not caught up.
/// - A target may be paused and later find all probes of that time in its buffers. So one that
///   left a probe unanswered gets no other until it answers something (`record_answer`). A new process
///   can't know what its predecessor left unanswered, so it too waits until it has heard.
///
/// Two live processes with the same share break the budget; settings must prevent that.
#[derive(Debug)]
pub struct ProbeScheduler {
    budget: ProbeBudget,
    share: FleetShare,
    fresh_for: Duration,
    targets: BTreeMap<TargetId, Planned>,
}

impl ProbeScheduler {
    /// A plan without targets. A target is not probed while its last report is younger than
    /// `fresh_for`.
    pub fn new(budget: ProbeBudget, share: FleetShare, fresh_for: Duration) -> Self {
        Self { budget, share, fresh_for, targets: BTreeMap::new() }
    }

    /// Takes the list of targets. New and changed ones are first due one whole spacing after they
    /// are heard, so that a list that flaps can't shorten a spacing.
    pub fn set_targets(&mut self, targets: &[MeasuredTarget], now: Mono) {
        let gone: Vec<TargetId> = self
            .targets
            .keys()
            .filter(|known| !targets.iter().any(|target| target.id == **known))
            .cloned()
            .collect();
        self.change_targets(&gone, targets, now);
    }

    /// Takes a change of the list: targets that are gone, and targets that are new or may have
    /// changed. Its time does not depend on how many other targets there are.
    pub fn change_targets(&mut self, gone: &[TargetId], present: &[MeasuredTarget], now: Mono) {
        for target in gone {
            self.targets.remove(target);
        }
        for target in present {
            let known = self.targets.get(&target.id);
            if known.is_some_and(|known| known.slots == target.slots) {
                continue;
            }
            match self.spacing(target) {
                Some(spacing) => {
                    let planned = Planned::new(target.slots, spacing, now);
                    self.targets.insert(target.id.clone(), planned);
                }
                None => {
                    self.targets.remove(&target.id);
                }
            }
        }
    }

    /// Notes that the target answered a request at that time; with a load report, no probe is
    /// needed soon.
    pub fn record_answer(&mut self, target: &TargetId, with_report: bool, at: Mono) {
        let Some(planned) = self.targets.get_mut(target) else { return };
        if planned.silent_since.is_some_and(|since| at > since) {
            planned.silent_since = None;
            planned.next = planned.next.max(at.plus(planned.spacing));
        }
        if with_report {
            planned.reported = planned.reported.max(Some(at));
        }
    }

    /// Targets that may be probed now and whose load is not known from traffic.
    pub fn due(&self, now: Mono) -> Vec<TargetId> {
        let due = self.targets.iter().filter(|(_, planned)| self.is_due(planned, now));
        due.map(|(id, _)| id.clone()).collect()
    }

    /// When to look for due targets again; `None` while there is nothing to wait for.
    pub fn next_due(&self) -> Option<Mono> {
        let waiting = self.targets.values().filter(|planned| !planned.is_held());
        waiting.map(|planned| self.due_at(planned)).min()
    }

    /// Leave to probe the target at this moment, or `None`.
    ///
    /// Call it right before sending: the process may have been paused since `due`, and another
    /// task may have sent a probe meanwhile.
    pub fn try_acquire(&mut self, target: &TargetId, now: Mono) -> Option<ProbePermit> {
        let planned = self.targets.get(target)?;
        if !self.is_due(planned, now) {
            return None;
        }
        self.targets.get_mut(target)?.outstanding = true;
        Some(ProbePermit { target: target.clone() })
    }

    /// Notes that a probe ended; one given up must have its connection closed.
    pub fn release(&mut self, permit: ProbePermit, end: ProbeOutcome, now: Mono) {
        if let Some(planned) = self.targets.get_mut(&permit.target) {
            planned.outstanding = false;
            planned.silent_since = (end == ProbeOutcome::Unanswered).then_some(now);
            planned.next = now.plus(planned.spacing);
        }
    }

    fn is_due(&self, planned: &Planned, now: Mono) -> bool {
        !planned.is_held() && now >= self.due_at(planned)
    }

    fn due_at(&self, planned: &Planned) -> Mono {
        let stale_at = planned.reported.map_or(Mono::ZERO, |at| at.plus(self.fresh_for));
        planned.next.max(stale_at)
    }

    /// Time between two probes of this process, or `None` when its share gives it none.
    fn spacing(&self, target: &MeasuredTarget) -> Option<Duration> {
        let rate_milli = self.budget.milli_probes_a_second(target.slots);
        let whole = rate_milli / 1000;
        let shares = u64::from(self.share.count());
        if whole >= shares {
            let each = u32::try_from(whole / shares).unwrap_or(u32::MAX);
            return Some(WINDOW / each);
        }
        if rate_milli == 0 || self.rank(&target.id) >= whole.max(1) {
            return None;
        }
        if whole == 0 {
            return Some(WINDOW.mul_f64(1000.0 / rate_milli as f64));
        }
        Some(WINDOW)
    }

    /// How many shares come before this one for the target.
    fn rank(&self, target: &TargetId) -> u64 {
        let weight = |index: u32| (rendezvous_weight(target.as_str(), &index.to_string()), index);
        let own = weight(self.share.index());
        let before = (0..self.share.count()).filter(|index| weight(*index) > own);
        before.count() as u64
    }
}

impl Planned {
    fn new(slots: u32, spacing: Duration, now: Mono) -> Self {
        let next = now.plus(spacing);
        Self { slots, spacing, next, outstanding: false, silent_since: Some(now), reported: None }
    }

    /// Whether no probe may be sent however much time passes.
    fn is_held(&self) -> bool {
        self.outstanding || self.silent_since.is_some()
    }
}
