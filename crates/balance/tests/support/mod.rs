//! Simulation of the targets and callers of a service in virtual time, served by one pool.
//!
//! Targets share hosts with neighbours that slow them down for 150 ms at a time. A request keeps
//! the speed at which it started, and two requests at once take longer than one. Rejected callers
//! come back twice.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

mod random_numbers;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shallotfork_balance::{
    Admission, Assignment, PriorWaitEstimator, Resolution, ResolvedTicket, Shed, SlotOutcome,
    SlotPool, SlotPoolConfig, SlotRequest, SlotTarget, Slowdown, TargetLoad, Ticket, WorkClass,
};
use shallotfork_types::{FailureDomain, Mono, TargetId};

use random_numbers::RandomNumbers;

/// Round-trip time of a probe to a target, including its load report.
const PROBE_ROUND_TRIP_MS: u64 = 2;
/// Interval at which waits are expired and probes are sent.
const TICK_MS: u64 = 12;
const PHASE_MS: u64 = 150;
const SLOW_SHARE: f64 = 0.3;
const SLOW_FACTOR: f64 = 5.0;
const STEADY_SLOW_FACTOR: f64 = 4.0;
/// Factor by which work takes longer when both slots are in use.
const CONTENTION_FACTOR: f64 = 1.7;
const PROBES_MAX: u32 = 4;
const RETRIES: u32 = 2;
/// Minimum prior wait of a resubmitted request, the same as in the entry; shorter waits are network
/// time.
const RESUBMITTED_AFTER: Duration = Duration::from_millis(50);

fn target_name(number: usize) -> String {
    format!("target-{number}")
}

/// Load and timing of the callers of a service.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub targets: usize,
    pub work_ms: f64,
    pub objective_ms: u64,
    /// Longest timeout of a first attempt.
    pub deadline_ms: u64,
    /// Maximum amount by which other timeouts are shorter, evenly distributed.
    pub deadline_spread_ms: u64,
    /// Longest timeout that the route allows.
    pub timeout_ms: u64,
    /// Number of targets that always take four times as long.
    pub slow_targets: usize,
    /// Requests per second.
    pub rate: f64,
}

/// Outcomes of the requests that were first sent in one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SecondOutcomes {
    pub requests: u32,
    pub in_time: u32,
    pub late: u32,
    pub given_up: u32,
}

impl SecondOutcomes {
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests.max(1))
    }
}

#[derive(Debug, Clone, Copy)]
struct Request {
    first_sent_ms: u64,
    /// Time at which its caller gives up.
    gives_up_at_ms: u64,
    arrived_ms: u64,
    retries: u32,
    probes: u32,
    attempt_ms: f64,
    /// Time that its caller waited before the request arrived, as estimated by the entry.
    waited: Duration,
}

#[derive(Debug, Clone)]
enum Event {
    Arrive(Request),
    FinishProbe(Request, Assignment),
    FinishAttempt(Request, Assignment),
    ReceiveLoad(TargetId),
    FinishForeign(TargetId),
    Tick,
}

/// Simulated targets and callers with the pool between them.
pub struct Simulation {
    load: Load,
    pool: SlotPool,
    prior_wait: PriorWaitEstimator,
    random: RandomNumbers,
    now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    running: BTreeMap<TargetId, u32>,
    waiting: BTreeMap<Ticket, Request>,
    slow_phases: BTreeSet<(TargetId, u64)>,
    sampled_phases: BTreeSet<(TargetId, u64)>,
    pub seconds: BTreeMap<u64, SecondOutcomes>,
    pub probes: u64,
}

impl Simulation {
    pub fn new(load: Load, seed: u64) -> Self {
        let mut pool = SlotPool::new(SlotPoolConfig::default());
        let targets = (0..load.targets).map(|number| SlotTarget {
            id: TargetId::new(&target_name(number)).unwrap(),
            failure_domain: FailureDomain::new("hall").unwrap(),
            slots: 2,
            serving: true,
            cold_for: Duration::ZERO,
        });
        pool.set_targets(targets.collect(), Mono::ZERO);
        let mut simulation = Self {
            load,
            pool,
            prior_wait: PriorWaitEstimator::new(Duration::from_millis(load.deadline_ms)),
            random: RandomNumbers::new(seed),
            now_ms: 0,
            events: BTreeMap::new(),
            event_count: 0,
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            slow_phases: BTreeSet::new(),
            sampled_phases: BTreeSet::new(),
            seconds: BTreeMap::new(),
            probes: 0,
        };
        simulation.schedule(0, Event::Tick);
        simulation
    }

    /// Schedules arrivals at random times within a range of seconds, at a multiple of the usual
    /// rate.
    pub fn arrivals(&mut self, from_s: u64, to_s: u64, factor: f64) {
        let count = ((to_s - from_s) as f64 * self.load.rate * factor) as u64;
        for _ in 0..count {
            let at = from_s as f64 + self.random.next() * (to_s - from_s) as f64;
            self.schedule_arrival((at * 1000.0) as u64);
        }
    }

    /// Schedules `count` arrivals at one time.
    pub fn burst(&mut self, at_ms: u64, count: u32) {
        (0..count).for_each(|_| self.schedule_arrival(at_ms));
    }

    /// Fills all slots with requests of other processes, which end one by one until the given time.
    pub fn foreign_requests(&mut self, until_ms: u64) {
        for number in 0..self.load.targets * 2 {
            let target = TargetId::new(&target_name(number / 2)).unwrap();
            *self.running.entry(target.clone()).or_default() += 1;
            let ends_ms = (self.random.next() * until_ms as f64) as u64;
            self.schedule(ends_ms, Event::FinishForeign(target));
        }
    }

    fn schedule_arrival(&mut self, at_ms: u64) {
        let spread_ms = (self.random.next() * self.load.deadline_spread_ms as f64) as u64;
        let request = Request {
            first_sent_ms: at_ms,
            gives_up_at_ms: at_ms + self.load.deadline_ms - spread_ms,
            arrived_ms: at_ms,
            retries: 0,
            probes: 0,
            attempt_ms: 0.0,
            waited: Duration::ZERO,
        };
        self.seconds.entry(at_ms / 1000).or_default().requests += 1;
        self.schedule(at_ms, Event::Arrive(request));
    }

    pub fn run(&mut self, until_s: u64) {
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            if at_ms > until_s * 1000 {
                return;
            }
            self.now_ms = at_ms;
            self.handle(event);
        }
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((at_ms, self.event_count), event);
    }

    fn now(&self) -> Mono {
        Mono::from_millis(self.now_ms)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => {
                let deadline = Duration::from_millis(request.gives_up_at_ms - request.arrived_ms);
                let waited = self.prior_wait.estimate(deadline);
                self.admit(Request { waited, ..request });
            }
            Event::FinishProbe(request, assignment) => self.finish_probe(request, assignment),
            Event::FinishAttempt(request, assignment) => self.finish_attempt(request, &assignment),
            Event::ReceiveLoad(target) => {
                let load_report = self.load_report(&target);
                let resolved = self.pool.record_load(&target, load_report, self.now());
                self.resolve(resolved);
            }
            Event::FinishForeign(target) => *self.running.get_mut(&target).unwrap() -= 1,
            Event::Tick => self.tick(),
        }
    }

    fn slot_request(&self, request: &Request) -> SlotRequest {
        let at = Mono::from_millis;
        let objective = Duration::from_millis(self.load.objective_ms);
        let objective = at(request.arrived_ms).plus(objective.saturating_sub(request.waited));
        let deadline = request.gives_up_at_ms.min(request.arrived_ms + self.load.timeout_ms);
        SlotRequest::new(WorkClass::new("reads"), at(request.arrived_ms), objective, at(deadline))
            .with_resubmitted(request.waited > RESUBMITTED_AFTER)
    }

    fn admit(&mut self, request: Request) {
        match self.pool.admit(self.slot_request(&request), self.now()) {
            Admission::Send(assignment) => self.probe_or_send(request, assignment),
            Admission::Shed(shed) => self.retry_or_give_up(request, shed),
            Admission::Queued(ticket) => {
                self.waiting.insert(ticket, request);
            }
        }
    }

    fn probe_or_send(&mut self, request: Request, assignment: Assignment) {
        let needs_probe = self.pool.needs_probe(&assignment.target, self.now());
        if needs_probe && request.probes < PROBES_MAX {
            self.schedule(
                self.now_ms + PROBE_ROUND_TRIP_MS,
                Event::FinishProbe(request, assignment),
            );
        } else {
            self.send(request, assignment);
        }
    }

    fn finish_probe(&mut self, request: Request, assignment: Assignment) {
        let request = Request { probes: request.probes + 1, ..request };
        let load_report = self.load_report(&assignment.target);
        let resolved = self.pool.record_load(&assignment.target, load_report, self.now());
        self.resolve(resolved);
        let slot_request = self.slot_request(&request);
        if !self.pool.is_unfit(&assignment, &slot_request, self.now()) {
            return self.send(request, assignment);
        }
        let resolved =
            self.pool.finish(assignment.attempt, SlotOutcome::Cancelled, None, self.now());
        self.resolve(resolved);
        self.admit(request);
    }

    fn send(&mut self, request: Request, assignment: Assignment) {
        self.pool.mark_sent(assignment.attempt, self.now());
        let running = self.running.entry(assignment.target.clone()).or_default();
        *running += 1;
        let contended = *running > 1;
        let slowdown = self.slowdown(&assignment.target);
        let spread = 0.6 + 0.8 * self.random.next();
        let contention = if contended { CONTENTION_FACTOR } else { 1.0 };
        let duration_ms = self.load.work_ms * slowdown * spread * contention;
        let request = Request { attempt_ms: duration_ms, ..request };
        self.schedule(self.now_ms + duration_ms as u64, Event::FinishAttempt(request, assignment));
    }

    fn finish_attempt(&mut self, request: Request, assignment: &Assignment) {
        let load_report = self.load_report(&assignment.target);
        *self.running.get_mut(&assignment.target).unwrap() -= 1;
        let latency = Duration::from_micros((request.attempt_ms * 1000.0) as u64);
        let outcome = SlotOutcome::Answered { latency };
        let resolved = self.pool.finish(assignment.attempt, outcome, Some(load_report), self.now());
        let took_ms = self.now_ms - request.first_sent_ms;
        let second = self.seconds.entry(request.first_sent_ms / 1000).or_default();
        match took_ms {
            took if took <= self.load.objective_ms => second.in_time += 1,
            took if took <= request.gives_up_at_ms - request.first_sent_ms => second.late += 1,
            _ => second.given_up += 1,
        }
        self.resolve(resolved);
    }

    /// Schedules a rejected caller to come back after the retry-after time, or sooner: within a
    /// third of its remaining time.
    fn retry_or_give_up(&mut self, request: Request, shed: Shed) {
        let left_ms = request.gives_up_at_ms.saturating_sub(self.now_ms);
        if request.retries == RETRIES || left_ms == 0 {
            self.seconds.entry(request.first_sent_ms / 1000).or_default().given_up += 1;
            return;
        }
        let delay_ms = (shed.retry_after.as_millis() as u64).min(left_ms / 3);
        let arrived_ms = self.now_ms + delay_ms;
        let request = Request { arrived_ms, retries: request.retries + 1, probes: 0, ..request };
        self.schedule(arrived_ms, Event::Arrive(request));
    }

    fn tick(&mut self) {
        let resolved = self.pool.expire(self.now());
        self.resolve(resolved);
        for target in self.pool.due_probes(self.now()) {
            self.probes += 1;
            self.schedule(self.now_ms + PROBE_ROUND_TRIP_MS, Event::ReceiveLoad(target));
        }
        self.schedule(self.now_ms + TICK_MS, Event::Tick);
    }

    fn resolve(&mut self, resolved: Vec<ResolvedTicket>) {
        for ResolvedTicket { ticket, resolution } in resolved {
            let request = self.waiting.remove(&ticket).unwrap();
            match resolution {
                Resolution::Send(assignment) => self.probe_or_send(request, assignment),
                Resolution::Shed(shed) => self.retry_or_give_up(request, shed),
            }
        }
    }

    fn load_report(&mut self, target: &TargetId) -> TargetLoad {
        let slowdown = Slowdown::new((self.slowdown(target) * 1000.0) as u32);
        let running = self.running.get(target).copied().unwrap_or(0);
        TargetLoad { running, waiting: 0, slots: 2, slowdown: Some(slowdown) }
    }

    fn slowdown(&mut self, target: &TargetId) -> f64 {
        let steady =
            (0..self.load.slow_targets).any(|number| target.as_str() == target_name(number));
        let steady = if steady { STEADY_SLOW_FACTOR } else { 1.0 };
        steady * if self.is_in_slow_phase(target) { SLOW_FACTOR } else { 1.0 }
    }

    fn is_in_slow_phase(&mut self, target: &TargetId) -> bool {
        let phase = (target.clone(), self.now_ms / PHASE_MS);
        if self.sampled_phases.insert(phase.clone()) && self.random.next() < SLOW_SHARE {
            self.slow_phases.insert(phase.clone());
        }
        self.slow_phases.contains(&phase)
    }
}
