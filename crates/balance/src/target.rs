//! What a pool knows of one target.

use std::collections::BTreeSet;
use std::time::Duration;

use shallotfork_measure::LoadReport;
use shallotfork_types::{FailureDomain, Mono, TargetId};

use crate::{AttemptId, TargetConfig};

/// Weight of a new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.15;
/// Weight of a new report in the moving average.
const REPORT_WEIGHT: f64 = 0.02;
/// Weight of a new outcome in the moving share of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Expected cost of a failure, as a multiple of the usual latency.
const FAILURE_COST: f64 = 10.0;
/// Part of its share that a target gets at the start of its ramp.
const RAMP_START: f64 = 0.1;
/// Occupancy that a refusal for overload stands for, as a multiple of the target's slots.
const SHED_OCCUPANCY: f64 = 2.0;
const EJECTION_DOUBLINGS_MAX: u32 = 16;

/// Whether a target takes new work, as published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// It takes new work.
    Serving,
    /// It ends what runs and takes nothing new.
    Draining,
}

/// A target as published, with this process's part of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolTarget {
    /// The target.
    pub id: TargetId,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections this process may hold to it, which bounds requests in flight.
    pub connections_share: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Whether this process sends it most of its work (see `ServiceGroup::home_targets`).
    pub home: bool,
}

impl PoolTarget {
    /// A serving home target with any number of connections.
    pub fn new(id: TargetId, failure_domain: FailureDomain, slots: u32) -> Self {
        let (connections_share, state) = (u32::MAX, TargetState::Serving);
        Self { id, failure_domain, slots, connections_share, state, home: true }
    }

    /// Sets how many connections this process may hold to it.
    #[must_use]
    pub fn with_connections_share(mut self, connections: u32) -> Self {
        self.connections_share = connections;
        self
    }

    /// Sets whether it takes new work.
    #[must_use]
    pub fn with_state(mut self, state: TargetState) -> Self {
        self.state = state;
        self
    }

    /// Sets whether this process sends it most of its work.
    #[must_use]
    pub fn with_home(mut self, home: bool) -> Self {
        self.home = home;
        self
    }
}

/// What a pool thinks of a target, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetStatus {
    /// The target.
    pub id: TargetId,
    /// Whether it takes new work, as published.
    pub state: TargetState,
    /// Requests in flight to it from this process.
    pub running: u32,
    /// Usual latency without waiting; `None` before the first answer.
    pub latency: Option<Duration>,
    /// Whether it is left out for failures.
    pub ejected: bool,
    /// When its last load report came.
    pub reported_at: Option<Mono>,
    /// When it last answered a request.
    pub last_seen_at: Option<Mono>,
}

/// The pool's averages, against which one target is judged.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolView {
    /// Median of the targets' latencies, in microseconds.
    pub(crate) median_us: f64,
    /// Latency that few requests exceed, in microseconds.
    pub(crate) tail_us: f64,
    /// Mean number of requests of other processes at a target, per slot.
    pub(crate) others_per_slot: f64,
}

impl PoolView {
    /// Before the first answers and reports.
    pub(crate) fn guess() -> Self {
        Self { median_us: 10_000.0, tail_us: 100_000.0, others_per_slot: 0.7 }
    }
}

/// Why a target gets less than its share for a time.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RampKind {
    /// It is new or was drained.
    Cold,
    /// It was left out for failures.
    Returning,
}

/// A time over which a target's share grows to its whole.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ramp {
    pub(crate) from: Mono,
    pub(crate) kind: RampKind,
}

#[derive(Debug)]
struct Reported {
    /// Requests of other processes on average; below zero when reports are behind own requests.
    others: f64,
    at: Mono,
}

#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) published: PoolTarget,
    /// Attempts in flight from this process, by the time they were sent.
    started: BTreeSet<(Mono, AttemptId)>,
    latency_us: Option<f64>,
    latency_at: Mono,
    failure_share: f64,
    failures_in_row: u32,
    ejected_until: Option<Mono>,
    ejections: u32,
    /// Until when its word that it is leaving counts.
    leaving_until: Option<Mono>,
    /// The ramp; `None` when it gets its whole share.
    ramp: Option<Ramp>,
    reported: Option<Reported>,
    last_seen_at: Option<Mono>,
    /// When it last refused for overload.
    shed_at: Option<Mono>,
}

impl Target {
    pub(crate) fn new(
        published: PoolTarget,
        started: BTreeSet<(Mono, AttemptId)>,
        ramp: Option<Ramp>,
    ) -> Self {
        Self {
            published,
            started,
            latency_us: None,
            latency_at: Mono::ZERO,
            failure_share: 0.0,
            failures_in_row: 0,
            ejected_until: None,
            ejections: 0,
            leaving_until: None,
            ramp,
            reported: None,
            last_seen_at: None,
            shed_at: None,
        }
    }

    /// Takes a newly published form; a target that returns from drain ramps up.
    pub(crate) fn with_published(mut self, published: PoolTarget, now: Mono) -> Self {
        let returns = !self.is_serving() && published.state == TargetState::Serving;
        if returns {
            self.ramp = Some(Ramp { from: now, kind: RampKind::Cold });
        }
        self.published = published;
        self
    }

    pub(crate) fn running(&self) -> u32 {
        u32::try_from(self.started.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn start(&mut self, attempt: AttemptId, now: Mono) {
        self.started.insert((now, attempt));
    }

    pub(crate) fn end(&mut self, attempt: AttemptId, started: Mono) {
        self.started.remove(&(started, attempt));
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.published.state == TargetState::Serving
    }

    pub(crate) fn is_ejected(&self, now: Mono) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the target said lately that it is leaving.
    pub(crate) fn says_leaving(&self, now: Mono) -> bool {
        self.leaving_until.is_some_and(|until| now < until)
    }

    pub(crate) fn ejected_until(&self) -> Option<Mono> {
        self.ejected_until
    }

    pub(crate) fn latency_us(&self) -> Option<f64> {
        self.latency_us
    }

    pub(crate) fn status(&self, now: Mono) -> TargetStatus {
        TargetStatus {
            id: self.published.id.clone(),
            state: self.published.state,
            running: self.running(),
            latency: self.latency_us.map(|us| Duration::from_micros(us as u64)),
            ejected: self.is_ejected(now),
            reported_at: self.reported.as_ref().map(|reported| reported.at),
            last_seen_at: self.last_seen_at,
        }
    }

    /// Requests in flight that this process may have at the target.
    pub(crate) fn gate(&self, now: Mono, view: &PoolView, config: &TargetConfig) -> u32 {
        let whole = self.whole_gate(config);
        let slowed = f64::from(whole) / self.slowness(now, view, config);
        let gate = (slowed * self.ramp(now, config)).ceil() as u32;
        gate.min(self.published.connections_share).max(1)
    }

    /// Requests in flight that this process may have at the target when nothing is wrong with it.
    ///
    /// One at targets that are other processes' homes: all of them together could otherwise fill
    /// a target's queue far beyond what its slots can serve in time.
    pub(crate) fn whole_gate(&self, config: &TargetConfig) -> u32 {
        if !self.published.home {
            return config.non_home_concurrency;
        }
        self.published.slots.saturating_add(config.extra_concurrency).max(1)
    }

    /// Expected time of one more request, in microseconds.
    pub(crate) fn cost_us(&self, now: Mono, view: &PoolView, config: &TargetConfig) -> f64 {
        let service_us = view.median_us * self.slowness(now, view, config);
        let wait = self.crowding(now, view, config);
        let failure_us = self.failure_share * FAILURE_COST * view.median_us;
        service_us * wait / self.ramp(now, config) + failure_us
    }

    /// How many times the service time one more request takes, for the requests before it.
    pub(crate) fn crowding(&self, now: Mono, view: &PoolView, config: &TargetConfig) -> f64 {
        let occupancy = f64::from(self.running()) + self.others(now, view, config) + 1.0;
        (occupancy / self.slots()).max(1.0)
    }

    /// Requests of other processes: none at this process's own targets, at others what reports have
    /// shown on average, as far as they are recent, else the pool's mean.
    ///
    /// At its own targets a process knows most of what is in flight exactly and at once. There a
    /// report only adds what it is behind by, and processes that all follow it swing together.
    pub(crate) fn others(&self, now: Mono, view: &PoolView, config: &TargetConfig) -> f64 {
        if self.published.home {
            return self.refusing(now, view);
        }
        let usual = view.others_per_slot * self.slots();
        let Some(reported) = &self.reported else { return usual };
        let weight = fade(now.since(reported.at), config.report_decay);
        reported.others.max(0.0) * weight + usual * (1.0 - weight) + self.refusing(now, view)
    }

    /// Requests that a refusal for overload just now stands for.
    fn refusing(&self, now: Mono, view: &PoolView) -> f64 {
        let Some(shed_at) = self.shed_at else { return 0.0 };
        let lasts = Duration::from_micros(view.median_us as u64);
        SHED_OCCUPANCY * self.slots() * fade(now.since(shed_at), lasts)
    }

    /// The target's latency as a multiple of the pool's median; 1 when it isn't clearly slower.
    ///
    /// Evidence fades, so that a target that once was slow is tried again.
    fn slowness(&self, now: Mono, view: &PoolView, config: &TargetConfig) -> f64 {
        let answered = self.answered_slowness(now, view, config);
        self.unanswered_slowness(now, view).max(answered)
    }

    /// Slowness by the oldest request in flight. A target that hangs gives no answers to learn
    /// from; the requests that it keeps are the only sign before they time out.
    fn unanswered_slowness(&self, now: Mono, view: &PoolView) -> f64 {
        let Some((oldest, _)) = self.started.first() else { return 1.0 };
        let age_us = now.since(*oldest).as_micros() as f64;
        if age_us <= view.tail_us { 1.0 } else { age_us / view.median_us.max(1.0) }
    }

    fn answered_slowness(&self, now: Mono, view: &PoolView, config: &TargetConfig) -> f64 {
        let Some(latency_us) = self.latency_us else { return 1.0 };
        let ratio = latency_us / view.median_us.max(1.0);
        let age =
            now.since(self.latency_at).as_secs_f64() / config.slowness_half_life.as_secs_f64();
        let faded = 1.0 + (ratio - 1.0) * (-age).exp2();
        if faded < config.slow_factor { 1.0 } else { faded }
    }

    fn ramp(&self, now: Mono, config: &TargetConfig) -> f64 {
        let Some(ramp) = &self.ramp else { return 1.0 };
        let length = match ramp.kind {
            RampKind::Cold => config.cold_ramp,
            RampKind::Returning => config.return_ramp,
        };
        let part = now.since(ramp.from).as_secs_f64() / length.as_secs_f64().max(f64::MIN_POSITIVE);
        part.clamp(RAMP_START, 1.0)
    }

    fn slots(&self) -> f64 {
        f64::from(self.published.slots.max(1))
    }

    /// Takes a load report; returns the requests of other processes per slot that it shows.
    ///
    /// A report may describe the target as it was a while ago, and how long ago is not known. So
    /// only the average counts, from which own requests in flight, taken at the same moments,
    /// cancel out; a single report says nothing.
    pub(crate) fn report(
        &mut self,
        report: LoadReport,
        now: Mono,
        config: &TargetConfig,
    ) -> Option<f64> {
        self.leaving_until = report.draining.then(|| now.plus(config.drain_report_ttl));
        let slots = self.slots();
        let by_use = report.utilisation.map(|used| f64::from(used.value()) / 1000.0 * slots);
        let all = report.in_flight.map(f64::from).or(by_use)?;
        let others = all - f64::from(self.running());
        let known = self.reported.as_ref().map_or(others, |reported| reported.others);
        let average = known + (others - known) * REPORT_WEIGHT;
        self.reported = Some(Reported { others: average, at: now });
        Some(average.max(0.0) / slots)
    }

    pub(crate) fn answered(&mut self, service_us: f64, now: Mono) {
        self.last_seen_at = Some(now);
        self.failures_in_row = 0;
        self.ejections = 0;
        self.failure_share *= 1.0 - FAILURE_WEIGHT;
        self.observe_latency(service_us, now);
    }

    /// Notes a latency; one that is only known to be at least `service_us` may raise the average
    /// but not lower it.
    pub(crate) fn at_least(&mut self, service_us: f64, now: Mono) {
        if self.latency_us.is_some_and(|known| service_us > known) {
            self.observe_latency(service_us, now);
        }
    }

    fn observe_latency(&mut self, service_us: f64, now: Mono) {
        let known = self.latency_us.unwrap_or(service_us);
        self.latency_us = Some(known + (service_us - known) * LATENCY_WEIGHT);
        self.latency_at = now;
    }

    /// Notes a failure. Fast failures never improve the latency: a target that fails at once
    /// would look like the best one and draw all requests to it.
    pub(crate) fn failed(&mut self, now: Mono, spread: f64, config: &TargetConfig) {
        self.failure_share += (1.0 - self.failure_share) * FAILURE_WEIGHT;
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        if self.failures_in_row >= config.failures_max {
            self.eject(now, spread, config);
        }
    }

    pub(crate) fn shed(&mut self, now: Mono, spread: f64, config: &TargetConfig) {
        self.last_seen_at = Some(now);
        self.shed_at = Some(now);
        self.failed(now, spread, config);
    }

    /// Leaves the target out for a time that doubles each time and differs between processes, so
    /// that they don't all return at once.
    fn eject(&mut self, now: Mono, spread: f64, config: &TargetConfig) {
        let doublings = self.ejections.min(EJECTION_DOUBLINGS_MAX);
        let wait = config.ejection_first.saturating_mul(1 << doublings).min(config.ejection_max);
        let until = now.plus(wait.mul_f64(1.0 + spread / 2.0));
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(until);
        self.ramp = Some(Ramp { from: until, kind: RampKind::Returning });
    }
}

/// From one at no age towards zero; a third at `scale`.
fn fade(age: Duration, scale: Duration) -> f64 {
    (-age.as_secs_f64() / scale.as_secs_f64().max(f64::MIN_POSITIVE)).exp()
}
