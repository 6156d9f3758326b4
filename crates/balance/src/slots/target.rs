//! What a [`SlotPool`](super::SlotPool) knows of one target.

use std::time::Duration;

use shallotfork_types::{Mono, RequestRate, rendezvous_weight};

use super::config::SlotPoolConfig;
use super::estimate::{Learnt, PaceReport, uncrowded_slots};
use super::published::{SlotOutcome, SlotTarget, StateChange, TargetLoad};
use super::rate_share::RateShare;
use super::{SlotRequest, WorkClass};
use crate::AttemptId;

/// Weight of a new sample in a target's own speed.
const SPEED_WEIGHT: f64 = 0.15;
/// Weight of a new report in the mean pace of a target.
const PACE_WEIGHT: f64 = 0.05;
/// Bounds of a target's speed as a factor of time.
const SPEED_BOUNDS: (f64, f64) = (0.5, 10.0);
/// A single sample counts at most this much; it is one hang or one phase of noise.
const SPEED_SAMPLE_MAX: f64 = 6.0;
/// Weight of a new outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// What a failure costs a caller, as a multiple of the time of an answer.
const FAILURE_COST: f64 = 6.0;
/// Part of a far target's slots that a process may fill which has its share already, as a divisor. With
/// less, spare slots stay unused; with more, one failure domain takes slots that another needs.
const FAR_SLOTS_DIVISOR: u32 = 2;
/// Fewest slots of a target that may be kept uncrowded. Of two, one would be left.
const SPARED_SLOTS_MIN: u32 = 3;
/// Of so many targets one is always filled and one is always kept uncrowded, whatever pays, so that
/// both can be compared and a change shows.
const COMPARED_DIVISOR: u64 = 8;
/// How long a target's account of requests from other processes counts.
const OTHERS_MEMORY: Duration = Duration::from_millis(500);
/// How much slower a target is for some seconds after its start, until it has been measured.
const COLD_FACTOR: f64 = 2.0;
/// How much of a slow pace that is only guessed counts against a target; asking costs a hundredth
/// of the work, and orders targets that are equal otherwise.
const UNKNOWN_PACE_WEIGHT: f64 = 0.05;
/// A request waits for a quicker slot only if this multiple of its usual time is left.
const WAIT_MARGIN: f64 = 1.2;
/// Probes in a row that fail after which a target is left out. One can be lost with a packet.
const PROBES_FAILED_MAX: u32 = 2;
/// Doublings of the time for which a target is left out.
const DOUBLINGS_MAX: u32 = 6;

#[derive(Debug, Clone)]
pub(super) struct Running {
    pub(super) attempt: AttemptId,
    pub(super) class: WorkClass,
    pub(super) started: Mono,
    /// The pace at which it was sent; `None` when it was not known.
    pub(super) pace: Option<f64>,
    pub(super) crowded: bool,
    /// Whether the target was crowded at any time since.
    met_crowd: bool,
    /// Whether it has left for the target; until then it holds a slot here only.
    pub(super) sent: bool,
    /// Whether the target has turned cold since the slot was assigned.
    pub(super) assigned_warm: bool,
    pub(super) expected_us: f64,
}

#[derive(Debug)]
struct Others {
    count: u32,
    at: Mono,
}

#[derive(Debug)]
pub(super) struct Target {
    pub(super) published: SlotTarget,
    pub(super) running: Vec<Running>,
    /// Its place among targets that are equal otherwise.
    pub(super) turn: u64,
    pace: Option<PaceReport>,
    /// Mean of the paces that it has told.
    mean_pace: Option<f64>,
    speed: f64,
    failures: f64,
    failures_in_row: u32,
    ejections: u32,
    ejected_until: Option<Mono>,
    others: Option<Others>,
    pub(super) cold_until: Mono,
    /// Whether the target itself said in a health answer that it is cold. What is published may be
    /// older than that.
    pub(super) cold_by_own_word: bool,
    /// When it last told in a health answer how much longer it is cold, if at all.
    pub(super) cold_told_at: Option<Mono>,
    probed_at: Option<Mono>,
    /// Whether it owes an answer to a question about its load that should have come by now.
    pub(super) is_silent: bool,
    /// This process's share of the target's rate limit; `None` if the target has no limit.
    pub(super) rate_share: Option<RateShare>,
    /// This process's share of what the target bears while it is cold.
    pub(super) warmup_share: Option<RateShare>,
}

impl Target {
    pub(super) fn new(published: SlotTarget, config: &SlotPoolConfig, now: Mono) -> Self {
        let turn = rendezvous_weight(&config.name, published.id.as_str());
        let cold_until = now.plus(published.cold_for);
        Self {
            published,
            running: Vec::new(),
            turn,
            pace: None,
            mean_pace: None,
            speed: 1.0,
            failures: 0.0,
            failures_in_row: 0,
            ejections: 0,
            ejected_until: None,
            others: None,
            cold_until,
            cold_by_own_word: false,
            cold_told_at: None,
            probed_at: None,
            is_silent: false,
            rate_share: None,
            warmup_share: None,
        }
    }

    /// The same target as published now.
    pub(super) fn with_published(self, published: SlotTarget, now: Mono) -> Self {
        let told_anew = published.cold_for != self.published.cold_for;
        let mut target = Self { published, ..self };
        let cold_for = target.published.cold_for;
        if told_anew && (cold_for > Duration::ZERO || !target.cold_by_own_word) {
            target.set_cold_for(cold_for, now);
        }
        target
    }

    pub(super) fn is_ejected(&self, now: Mono) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Whether nothing speaks against choosing it: it is not left out, answers questions, and no attempt
    /// seems to hang there.
    pub(super) fn looks_sound(&self, now: Mono, config: &SlotPoolConfig) -> bool {
        !self.is_ejected(now) && !self.is_silent && !self.is_overdue(now, config)
    }

    pub(super) fn ejected_until(&self) -> Option<Mono> {
        self.ejected_until
    }

    /// Whether an attempt runs so much longer than expected that the target seems to hang.
    pub(super) fn is_overdue(&self, now: Mono, config: &SlotPoolConfig) -> bool {
        self.running.iter().any(|running| {
            let passed_us = now.since(running.started).as_micros() as f64;
            passed_us > running.expected_us * config.overdue_factor
        })
    }

    /// Slots that are used at a time. Those that slow down all runs of a target by more than they add
    /// are left free.
    pub(super) fn usable_slots(&self, learnt: &Learnt) -> u32 {
        let slots = self.published.slots;
        let fills = slots < SPARED_SLOTS_MIN
            || match self.turn % COMPARED_DIVISOR {
                0 => true,
                1 => false,
                _ => learnt.crowded_slots_pay(slots),
            };
        if fills { slots } else { uncrowded_slots(slots) }
    }

    pub(super) fn free_slots(&self, now: Mono, learnt: &Learnt) -> u32 {
        self.usable_slots(learnt).saturating_sub(self.used(now))
    }

    /// Whether this process may send requests to the target, now or later.
    pub(super) fn accepts_work(&self, now: Mono) -> bool {
        self.published.serving && self.shares(now).all(|share| share.share() > RequestRate::ZERO)
    }

    /// Free slots that this process may fill; zero until its shares of the target's limits allow the
    /// next request. One that has its share already takes those of a target in another failure domain
    /// only as long as half of them are free.
    pub(super) fn open_slots(
        &self,
        now: Mono,
        config: &SlotPoolConfig,
        learnt: &Learnt,
        has_share: bool,
    ) -> u32 {
        if !self.may_send(now) {
            return 0;
        }
        if !has_share || !self.is_far(config) {
            return self.free_slots(now, learnt);
        }
        let open_to_far = (self.published.slots / FAR_SLOTS_DIVISOR).max(1);
        open_to_far.saturating_sub(self.used(now))
    }

    /// Requests of this and other processes there, as far as known.
    fn used(&self, now: Mono) -> u32 {
        let own = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        own.saturating_add(self.others(now))
    }

    /// Requests of other processes there, by its last report.
    fn others(&self, now: Mono) -> u32 {
        let fresh = self.others.as_ref().filter(|others| now.since(others.at) < OTHERS_MEMORY);
        fresh.map_or(0, |others| others.count)
    }

    /// Whether its last report shows more requests there than it has slots, with those of this
    /// process that have not left yet.
    pub(super) fn is_overfull(&self, now: Mono) -> bool {
        self.used(now) > self.published.slots
    }

    /// Whether one more request crowds the target.
    pub(super) fn would_crowd(&self, now: Mono) -> bool {
        self.published.slots > 1 && self.used(now) >= uncrowded_slots(self.published.slots)
    }

    /// The pace by a report that is fresh enough to be relied on.
    fn fresh_pace(&self, now: Mono, config: &SlotPoolConfig) -> Option<f64> {
        let fresh = |report: &PaceReport| now.since(report.at) < config.load_max_age;
        self.pace.filter(fresh).map(|report| report.pace.factor())
    }

    fn pace(&self, now: Mono, config: &SlotPoolConfig, learnt: &Learnt) -> f64 {
        let mean = self.mean_pace.unwrap_or(learnt.mean_pace());
        let report = self.pace;
        report.map_or(mean, |report| report.expected(now, config.slowdown_decay, mean))
    }

    /// The pace to reckon with when targets are compared. One that is not known is asked for before
    /// anything is sent, and a slow target is then passed over, so that it counts little.
    fn pace_for_choice(&self, now: Mono, config: &SlotPoolConfig, learnt: &Learnt) -> f64 {
        let known = self.fresh_pace(now, config);
        let guess = 1.0 + (self.pace(now, config, learnt) - 1.0) * UNKNOWN_PACE_WEIGHT;
        known.unwrap_or(guess)
    }

    /// Whether its own word is that it works so slowly now that waiting for the end of that phase
    /// would be quicker. A run keeps the pace at which it began, so that a slot which is given away
    /// in a slow phase is lost for several times as long.
    ///
    /// A short request may be quicker in a slow phase than after it, and yet too slow for its
    /// objective; then it waits as well, if the wait leaves it time enough.
    pub(super) fn is_slow(
        &self,
        ask: &SlotRequest,
        now: Mono,
        config: &SlotPoolConfig,
        learnt: &Learnt,
    ) -> bool {
        if self.pace.is_none() {
            return false;
        }
        let usual_us = learnt.work_us(&ask.class);
        let now_us = usual_us * self.pace(now, config, learnt);
        let phase_us = config.slowdown_decay.as_micros() as f64;
        let left_us = ask.objective.since(now).as_micros() as f64;
        let too_late = now_us > left_us && usual_us * WAIT_MARGIN < left_us;
        now_us - usual_us > phase_us || too_late
    }

    /// Expected time of a request of this class at the usual pace, in microseconds.
    fn unhindered_us(&self, class: &WorkClass, crowded: bool, now: Mono, learnt: &Learnt) -> f64 {
        let cold = if self.is_cold(now) { COLD_FACTOR } else { 1.0 };
        learnt.work_us(class) * self.speed.max(cold) * learnt.crowding(crowded)
    }

    /// The expected time with the risk of a failure added, by which targets are compared.
    pub(super) fn cost_us(
        &self,
        ask: &SlotRequest,
        now: Mono,
        config: &SlotPoolConfig,
        learnt: &Learnt,
    ) -> f64 {
        let risk = 1.0 + self.failures * FAILURE_COST;
        let pace = self.pace_for_choice(now, config, learnt);
        let time_us = self.unhindered_us(&ask.class, self.would_crowd(now), now, learnt) * pace;
        time_us * risk + self.far_cost_us(&ask.class, config, learnt)
    }

    fn far_cost_us(&self, class: &WorkClass, config: &SlotPoolConfig, learnt: &Learnt) -> f64 {
        let cost = f64::from(config.cross_domain_cost_permille) / 1000.0;
        if self.is_far(config) { learnt.work_us(class) * cost } else { 0.0 }
    }

    /// Whether it stands in another failure domain than this process.
    pub(super) fn is_far(&self, config: &SlotPoolConfig) -> bool {
        config.failure_domain.as_ref().is_some_and(|near| *near != self.published.failure_domain)
    }

    pub(super) fn start(&mut self, attempt: AttemptId, class: &WorkClass, now: Mono) {
        let crowded = self.would_crowd(now);
        let running = Running {
            attempt,
            class: class.clone(),
            started: now,
            pace: None,
            crowded,
            met_crowd: false,
            sent: false,
            assigned_warm: false,
            expected_us: f64::INFINITY,
        };
        self.running.push(running);
        if crowded {
            self.running.iter_mut().for_each(|running| running.met_crowd = true);
        }
    }

    /// The attempt leaves now, at the pace that the target reported last.
    pub(super) fn sending(
        &mut self,
        attempt: AttemptId,
        now: Mono,
        config: &SlotPoolConfig,
        learnt: &Learnt,
    ) {
        let known = self.fresh_pace(now, config);
        let pace = known.unwrap_or_else(|| self.pace(now, config, learnt));
        let place = self.running.iter().position(|running| running.attempt == attempt);
        let Some(place) = place else { return };
        let (class, crowded) = (self.running[place].class.clone(), self.running[place].crowded);
        let expected_us = self.unhindered_us(&class, crowded, now, learnt) * pace;
        let running = &mut self.running[place];
        let first = !running.sent;
        running.started = now;
        running.sent = true;
        running.pace = known;
        running.expected_us = expected_us;
        if first {
            let shares = self.rate_share.iter_mut().chain(&mut self.warmup_share);
            shares.for_each(|share| share.record_send(now));
        }
    }

    pub(super) fn end(&mut self, attempt: AttemptId) -> Option<Running> {
        let place = self.running.iter().position(|running| running.attempt == attempt)?;
        Some(self.running.swap_remove(place))
    }

    pub(super) fn learn(
        &mut self,
        running: &Running,
        outcome: SlotOutcome,
        config: &SlotPoolConfig,
        learnt: &mut Learnt,
        now: Mono,
    ) -> Option<StateChange> {
        match outcome {
            SlotOutcome::Answered { latency } => self.answered(running, latency, learnt),
            SlotOutcome::Cancelled => None,
            SlotOutcome::Failed => self.failed(config.failures_max, config, now),
            SlotOutcome::Unreachable | SlotOutcome::TimedOut | SlotOutcome::Misdirected => {
                self.failed(1, config, now)
            }
            // With a slot free by our count it either serves somebody else or refuses on its own
            // account; both call for a pause.
            SlotOutcome::Full => self.failed(2, config, now),
        }
    }

    fn answered(
        &mut self,
        running: &Running,
        latency: Duration,
        learnt: &mut Learnt,
    ) -> Option<StateChange> {
        let returned = self.ejections > 0;
        self.failures -= self.failures * FAILURE_WEIGHT;
        self.failures_in_row = 0;
        self.ejections = 0;
        self.ejected_until = None;
        // Without the pace it can't be told whether the target or its neighbours took the time.
        if let Some(pace) = running.pace {
            self.measure(running, latency, pace, learnt);
        }
        returned.then_some(StateChange::Returned)
    }

    fn measure(&mut self, running: &Running, latency: Duration, pace: f64, learnt: &mut Learnt) {
        if self.is_cold(running.started) {
            return;
        }
        let time_us = latency.as_micros() as f64;
        let usual_us = learnt.work_us(&running.class) * pace * learnt.crowding(running.crowded);
        let ratio = (time_us / usual_us).min(SPEED_SAMPLE_MAX);
        self.speed += (ratio - self.speed) * SPEED_WEIGHT;
        self.speed = self.speed.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1);
        learnt.saw_crowd(time_us / (learnt.work_us(&running.class) * pace), running.met_crowd);
        learnt.saw_time(&running.class, time_us, pace, running.crowded);
    }

    fn failed(
        &mut self,
        tolerated: u32,
        config: &SlotPoolConfig,
        now: Mono,
    ) -> Option<StateChange> {
        self.failures += (1.0 - self.failures) * FAILURE_WEIGHT;
        self.failures_in_row += 1;
        // Attempts that were under way when it was left out say nothing new.
        if self.failures_in_row < tolerated || self.is_ejected(now) {
            return None;
        }
        let pause = config.ejection_initial * 2u32.pow(self.ejections.min(DOUBLINGS_MAX));
        let pause = pause.min(config.ejection_max);
        self.ejections += 1;
        self.ejected_until = Some(now.plus(pause));
        Some(StateChange::Ejected { failures: self.failures_in_row, pause })
    }

    /// Takes a report of a moment at which only the requests counted here were at the target.
    pub(super) fn report(&mut self, figures: TargetLoad, learnt: &mut Learnt, now: Mono) {
        if let Some(pace) = figures.slowdown {
            self.pace = Some(PaceReport { pace, at: now });
            let mean = self.mean_pace.unwrap_or(learnt.mean_pace());
            self.mean_pace = Some(mean + (pace.factor() - mean) * PACE_WEIGHT);
            learnt.saw_pace(pace);
        }
        let own = self.running.iter().filter(|running| running.sent).count();
        let own = u32::try_from(own).unwrap_or(u32::MAX);
        let there = figures.running.saturating_add(figures.waiting);
        self.others = Some(Others { count: there.saturating_sub(own), at: now });
    }

    pub(super) fn pace_is_stale(&self, now: Mono, after: Duration) -> bool {
        self.pace.is_none_or(|report| now.since(report.at) >= after)
    }

    pub(super) fn probe_failed(
        &mut self,
        config: &SlotPoolConfig,
        now: Mono,
    ) -> Option<StateChange> {
        self.failed(PROBES_FAILED_MAX, config, now)
    }

    /// Whether a probe would tell something: its pace would be guessed otherwise. A target that bears
    /// few requests is not probed, because a probe is itself a request.
    pub(super) fn wants_probe(
        &self,
        now: Mono,
        config: &SlotPoolConfig,
        learnt: &Learnt,
        has_share: bool,
    ) -> bool {
        let stale = |at: Mono| now.since(at) >= config.probe_interval;
        let unknown = self.pace_is_stale(now, config.probe_interval);
        let due = self.probed_at.is_none_or(stale);
        unknown
            && due
            && !self.is_limited(now)
            && !self.is_ejected(now)
            && !self.is_silent
            && self.open_slots(now, config, learnt, has_share) > 0
    }

    /// When it was heard of last; before all others if it never was.
    pub(super) fn told_at(&self) -> Mono {
        self.pace.map_or(Mono::ZERO, |report| report.at)
    }

    pub(super) fn probed(&mut self, now: Mono) {
        self.probed_at = Some(now);
    }
}
