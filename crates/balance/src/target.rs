//! State of one target in a pool.

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
/// Share of its load that a target gets at the start of its ramp.
const RAMP_START: f64 = 0.1;
/// Occupancy assumed after a target rejected a request for overload, as a multiple of its slots.
const SHED_OCCUPANCY: f64 = 2.0;
const EJECTION_DOUBLINGS_MAX: u32 = 16;

/// Published state of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// The target accepts new requests.
    Serving,
    /// The target finishes running requests and accepts no new ones.
    Draining,
}

/// A target as published, with the share of this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolTarget {
    /// The id of the target.
    pub id: TargetId,
    /// Failure domain in which the target runs.
    pub failure_domain: FailureDomain,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Number of connections that this process may open to it, which bounds the requests in flight.
    pub connections_share: u32,
    /// Whether it accepts new requests.
    pub state: TargetState,
    /// Whether it is a home target of this process, which sends it most of its work (see
    /// `ServiceGroup::home_targets`).
    pub home: bool,
}

impl PoolTarget {
    /// Creates a serving home target with an unlimited number of connections.
    pub fn new(id: TargetId, failure_domain: FailureDomain, slots: u32) -> Self {
        let (connections_share, state) = (u32::MAX, TargetState::Serving);
        Self { id, failure_domain, slots, connections_share, state, home: true }
    }

    /// Sets the number of connections that this process may open to it.
    #[must_use]
    pub fn with_connections_share(mut self, connections: u32) -> Self {
        self.connections_share = connections;
        self
    }

    /// Sets whether it accepts new requests.
    #[must_use]
    pub fn with_state(mut self, state: TargetState) -> Self {
        self.state = state;
        self
    }

    /// Sets whether it is a home target of this process.
    #[must_use]
    pub fn with_home(mut self, home: bool) -> Self {
        self.home = home;
        self
    }
}

/// State of a target in a pool, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetStatus {
    /// The id of the target.
    pub id: TargetId,
    /// Whether it accepts new requests, as published.
    pub state: TargetState,
    /// Requests in flight to it from this process.
    pub running: u32,
    /// Usual latency without waiting; `None` before the first answer.
    pub latency: Option<Duration>,
    /// Whether it is ejected because of failures.
    pub ejected: bool,
    /// When its last load report arrived.
    pub reported_at: Option<Mono>,
    /// When it last answered or rejected a request.
    pub last_seen_at: Option<Mono>,
}

/// Statistics over the targets of a pool, against which each target is compared.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolStats {
    /// Median of the latencies of the targets, in microseconds.
    pub(crate) median_us: f64,
    /// Latency that few requests exceed, in microseconds.
    pub(crate) tail_us: f64,
    /// Mean number of requests of other processes at a target, per slot.
    pub(crate) others_per_slot: f64,
}

impl PoolStats {
    /// Returns the values used before the first answers and reports.
    pub(crate) fn initial() -> Self {
        Self { median_us: 10_000.0, tail_us: 100_000.0, others_per_slot: 0.7 }
    }
}

/// The reason for which a target ramps up.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RampKind {
    /// The target is new or was draining.
    Cold,
    /// The target was ejected because of failures.
    Returning,
}

/// A period over which the load of a target rises to its full share.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ramp {
    pub(crate) from: Mono,
    pub(crate) kind: RampKind,
}

#[derive(Debug)]
struct ReportedLoad {
    /// Mean number of requests of other processes; below zero when reports lag behind own requests.
    others_in_flight: f64,
    at: Mono,
}

#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) published: PoolTarget,
    /// Attempts in flight from this process, ordered by the time they were sent.
    started: BTreeSet<(Mono, AttemptId)>,
    latency_us: Option<f64>,
    latency_at: Mono,
    failure_share: f64,
    consecutive_failures: u32,
    ejected_until: Option<Mono>,
    ejections: u32,
    /// Time until which its report that it is draining counts.
    reported_draining_until: Option<Mono>,
    /// The current ramp; `None` when the target gets its full share.
    ramp: Option<Ramp>,
    reported: Option<ReportedLoad>,
    last_seen_at: Option<Mono>,
    /// When it last rejected a request for overload.
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
            consecutive_failures: 0,
            ejected_until: None,
            ejections: 0,
            reported_draining_until: None,
            ramp,
            reported: None,
            last_seen_at: None,
            shed_at: None,
        }
    }

    /// Applies a newly published definition; a target that returns from draining ramps up.
    pub(crate) fn with_published(mut self, published: PoolTarget, now: Mono) -> Self {
        let is_returning = !self.is_serving() && published.state == TargetState::Serving;
        if is_returning {
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

    /// Returns whether the target recently reported that it is draining.
    pub(crate) fn reports_draining(&self, now: Mono) -> bool {
        self.reported_draining_until.is_some_and(|until| now < until)
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

    /// Returns the number of requests that this process may have in flight to the target now.
    pub(crate) fn concurrency_limit(
        &self,
        now: Mono,
        stats: &PoolStats,
        config: &TargetConfig,
    ) -> u32 {
        let full_limit = self.full_concurrency_limit(config);
        let reduced_limit = f64::from(full_limit) / self.slowdown(now, stats, config);
        let limit = (reduced_limit * self.ramp_share(now, config)).ceil() as u32;
        limit.min(self.published.connections_share).max(1)
    }

    /// Returns the number of requests that this process may have in flight to a healthy target.
    ///
    /// For home targets of other processes it is only `non_home_concurrency`: all processes
    /// together could otherwise fill the queue of a target far beyond what its slots can serve in
    /// time.
    pub(crate) fn full_concurrency_limit(&self, config: &TargetConfig) -> u32 {
        if !self.published.home {
            return config.non_home_concurrency;
        }
        self.published.slots.saturating_add(config.extra_concurrency).max(1)
    }

    /// Returns the expected cost of one more request, expressed as a time in microseconds.
    pub(crate) fn cost_us(&self, now: Mono, stats: &PoolStats, config: &TargetConfig) -> f64 {
        let service_us = stats.median_us * self.slowdown(now, stats, config);
        let wait = self.wait_factor(now, stats, config);
        let failure_us = self.failure_share * FAILURE_COST * stats.median_us;
        service_us * wait / self.ramp_share(now, config) + failure_us
    }

    /// Returns the expected time of one more request as a multiple of the service time, given the
    /// requests before it.
    pub(crate) fn wait_factor(&self, now: Mono, stats: &PoolStats, config: &TargetConfig) -> f64 {
        let occupancy = f64::from(self.running()) + self.others_in_flight(now, stats, config) + 1.0;
        (occupancy / self.slots()).max(1.0)
    }

    /// Returns the assumed number of requests of other processes in flight: for home targets none,
    /// for others the average that recent reports have shown, or else the mean of the pool.
    ///
    /// For its home targets, a process knows most of the requests in flight exactly and at once. A
    /// report there only adds an outdated difference, and processes that all follow it oscillate
    /// together.
    pub(crate) fn others_in_flight(
        &self,
        now: Mono,
        stats: &PoolStats,
        config: &TargetConfig,
    ) -> f64 {
        if self.published.home {
            return self.shed_occupancy(now, stats);
        }
        let pool_mean = stats.others_per_slot * self.slots();
        let Some(reported) = &self.reported else { return pool_mean };
        let weight = decay(now.since(reported.at), config.report_decay);
        reported.others_in_flight.max(0.0) * weight
            + pool_mean * (1.0 - weight)
            + self.shed_occupancy(now, stats)
    }

    /// Returns the number of requests of other processes assumed to be in flight after a recent
    /// rejection for overload.
    fn shed_occupancy(&self, now: Mono, stats: &PoolStats) -> f64 {
        let Some(shed_at) = self.shed_at else { return 0.0 };
        let scale = Duration::from_micros(stats.median_us as u64);
        SHED_OCCUPANCY * self.slots() * decay(now.since(shed_at), scale)
    }

    /// Returns the latency of the target as a multiple of the median of the pool; 1 unless it is
    /// clearly slower.
    ///
    /// The evidence decays, so that a target that was slow is tried again.
    fn slowdown(&self, now: Mono, stats: &PoolStats, config: &TargetConfig) -> f64 {
        let from_answers = self.slowdown_from_answers(now, stats, config);
        self.slowdown_from_pending(now, stats).max(from_answers)
    }

    /// Returns the slowdown shown by the oldest request in flight. A target that hangs gives no
    /// answers; the requests it holds are the only sign before they time out.
    fn slowdown_from_pending(&self, now: Mono, stats: &PoolStats) -> f64 {
        let Some((oldest, _)) = self.started.first() else { return 1.0 };
        let age_us = now.since(*oldest).as_micros() as f64;
        if age_us <= stats.tail_us { 1.0 } else { age_us / stats.median_us.max(1.0) }
    }

    fn slowdown_from_answers(&self, now: Mono, stats: &PoolStats, config: &TargetConfig) -> f64 {
        let Some(latency_us) = self.latency_us else { return 1.0 };
        let ratio = latency_us / stats.median_us.max(1.0);
        let age =
            now.since(self.latency_at).as_secs_f64() / config.slowdown_half_life.as_secs_f64();
        let decayed = 1.0 + (ratio - 1.0) * (-age).exp2();
        if decayed < config.slow_factor { 1.0 } else { decayed }
    }

    fn ramp_share(&self, now: Mono, config: &TargetConfig) -> f64 {
        let Some(ramp) = &self.ramp else { return 1.0 };
        let duration = match ramp.kind {
            RampKind::Cold => config.cold_ramp,
            RampKind::Returning => config.return_ramp,
        };
        let share =
            now.since(ramp.from).as_secs_f64() / duration.as_secs_f64().max(f64::MIN_POSITIVE);
        share.clamp(RAMP_START, 1.0)
    }

    fn slots(&self) -> f64 {
        f64::from(self.published.slots.max(1))
    }

    /// Records a load report; returns the requests of other processes per slot that it shows.
    ///
    /// A report may describe an earlier state of the target, and its age is unknown. Therefore only
    /// the average counts, in which own requests in flight, counted at the same moments, cancel
    /// out; a single report says nothing.
    pub(crate) fn record_report(
        &mut self,
        report: LoadReport,
        now: Mono,
        config: &TargetConfig,
    ) -> Option<f64> {
        self.reported_draining_until = report.draining.then(|| now.plus(config.drain_report_ttl));
        let slots = self.slots();
        let from_utilisation =
            report.utilisation.map(|utilisation| f64::from(utilisation.value()) / 1000.0 * slots);
        let in_flight = report.in_flight.map(f64::from).or(from_utilisation)?;
        let others_in_flight = in_flight - f64::from(self.running());
        let known =
            self.reported.as_ref().map_or(others_in_flight, |reported| reported.others_in_flight);
        let average = known + (others_in_flight - known) * REPORT_WEIGHT;
        self.reported = Some(ReportedLoad { others_in_flight: average, at: now });
        Some(average.max(0.0) / slots)
    }

    pub(crate) fn record_answer(&mut self, service_us: f64, now: Mono) {
        self.last_seen_at = Some(now);
        self.consecutive_failures = 0;
        self.ejections = 0;
        self.failure_share *= 1.0 - FAILURE_WEIGHT;
        self.update_latency(service_us, now);
    }

    /// Records a lower bound of a latency, which may raise the average but not lower it.
    pub(crate) fn record_min(&mut self, service_us: f64, now: Mono) {
        if self.latency_us.is_some_and(|known| service_us > known) {
            self.update_latency(service_us, now);
        }
    }

    fn update_latency(&mut self, service_us: f64, now: Mono) {
        let known = self.latency_us.unwrap_or(service_us);
        self.latency_us = Some(known + (service_us - known) * LATENCY_WEIGHT);
        self.latency_at = now;
    }

    /// Records a failure. Fast failures never improve the latency: a target that fails at once
    /// would otherwise look like the best one and attract all requests.
    pub(crate) fn record_failure(&mut self, now: Mono, jitter: f64, config: &TargetConfig) {
        self.failure_share += (1.0 - self.failure_share) * FAILURE_WEIGHT;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures >= config.failures_max {
            self.eject(now, jitter, config);
        }
    }

    pub(crate) fn record_shed(&mut self, now: Mono, jitter: f64, config: &TargetConfig) {
        self.last_seen_at = Some(now);
        self.shed_at = Some(now);
        self.record_failure(now, jitter, config);
    }

    /// Ejects the target for a duration that doubles with each ejection and differs between
    /// processes, so that they do not all return at once.
    fn eject(&mut self, now: Mono, jitter: f64, config: &TargetConfig) {
        let doublings = self.ejections.min(EJECTION_DOUBLINGS_MAX);
        let wait = config.ejection_first.saturating_mul(1 << doublings).min(config.ejection_max);
        let until = now.plus(wait.mul_f64(1.0 + jitter / 2.0));
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(until);
        self.ramp = Some(Ramp { from: until, kind: RampKind::Returning });
    }
}

/// Returns a weight that decays exponentially from one at age zero; about a third at `scale`.
fn decay(age: Duration, scale: Duration) -> f64 {
    (-age.as_secs_f64() / scale.as_secs_f64().max(f64::MIN_POSITIVE)).exp()
}
