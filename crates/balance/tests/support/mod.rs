//! A service's targets and callers in simulated time, served by one pool.
//!
//! Targets share hosts with neighbours that slow them down for 150 ms at a time; a run keeps the
//! pace at which it began, and two runs at once take longer than one. Callers that are refused
//! come back twice.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shallotfork_balance::{
    Admission, Assignment, PriorWaitEstimator, Resolution, ResolvedTicket, Shed, SlotOutcome,
    SlotPool, SlotPoolConfig, SlotRequest, SlotTarget, Slowdown, TargetLoad, Ticket, WorkClass,
};
use shallotfork_types::{FailureDomain, Mono, TargetId};

/// Way to a target and back, with its word on its load.
const CHECK_MS: u64 = 2;
/// How often waits are ended and probes sent.
const LOOK_MS: u64 = 12;
const PHASE_MS: u64 = 150;
const SLOW_SHARE: f64 = 0.3;
const SLOW_FACTOR: f64 = 5.0;
const STEADY_SLOW_FACTOR: f64 = 4.0;
/// What the second of two slots costs both runs.
const CROWDING: f64 = 1.7;
const CHECKS_MAX: u32 = 4;
const RETRIES: u32 = 2;
/// As in the entry: less is the time on the way.
const RETURNING_AFTER: Duration = Duration::from_millis(50);

fn target_name(number: usize) -> String {
    format!("target-{number}")
}

/// A deterministic sequence of numbers from 0 to 1.
#[derive(Debug)]
pub struct Numbers(u64);

impl Numbers {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// What the callers of a service ask for.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub targets: usize,
    pub work_ms: f64,
    pub objective_ms: u64,
    /// The longest deadline of a first attempt.
    pub deadline_ms: u64,
    /// How much shorter others are, evenly.
    pub deadline_spread_ms: u64,
    /// The longest time that the route allows.
    pub timeout_ms: u64,
    /// Targets that work four times as long all the while.
    pub slow_targets: usize,
    /// Requests a second.
    pub rate: f64,
}

/// What became of the requests that were first sent in one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Second {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    pub given_up: u32,
}

impl Second {
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

#[derive(Debug, Clone, Copy)]
struct Request {
    first_ms: u64,
    /// When its caller gives up.
    gives_up_ms: u64,
    came_ms: u64,
    retries: u32,
    checks: u32,
    tried_ms: f64,
    /// How long its caller had waited before it came, as far as the entry can tell.
    waited: Duration,
}

#[derive(Debug, Clone)]
enum Event {
    Arrives(Request),
    Checked(Request, Assignment),
    Ends(Request, Assignment),
    Reports(TargetId),
    ForeignEnds(TargetId),
    Look,
}

/// The targets, the callers and the pool between them.
pub struct Simulation {
    load: Load,
    pool: SlotPool,
    patience: PriorWaitEstimator,
    numbers: Numbers,
    now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    running: BTreeMap<TargetId, u32>,
    waiting: BTreeMap<Ticket, Request>,
    slow: BTreeSet<(TargetId, u64)>,
    known_phases: BTreeSet<(TargetId, u64)>,
    pub seconds: BTreeMap<u64, Second>,
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
            patience: PriorWaitEstimator::new(Duration::from_millis(load.deadline_ms)),
            numbers: Numbers::new(seed),
            now_ms: 0,
            events: BTreeMap::new(),
            event_count: 0,
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            slow: BTreeSet::new(),
            known_phases: BTreeSet::new(),
            seconds: BTreeMap::new(),
            probes: 0,
        };
        simulation.plan(0, Event::Look);
        simulation
    }

    /// Has requests arrive at random moments from one second to another, at a multiple of the
    /// usual rate.
    pub fn arrivals(&mut self, from_s: u64, to_s: u64, factor: f64) {
        let count = ((to_s - from_s) as f64 * self.load.rate * factor) as u64;
        for _ in 0..count {
            let at = from_s as f64 + self.numbers.next() * (to_s - from_s) as f64;
            self.arrives((at * 1000.0) as u64);
        }
    }

    /// Has so many requests arrive at one moment.
    pub fn crowd(&mut self, at_ms: u64, count: u32) {
        (0..count).for_each(|_| self.arrives(at_ms));
    }

    /// Fills all targets with requests of other processes, which end one after the other until the
    /// given time.
    pub fn foreign_requests(&mut self, until_ms: u64) {
        for number in 0..self.load.targets * 2 {
            let target = TargetId::new(&target_name(number / 2)).unwrap();
            *self.running.entry(target.clone()).or_default() += 1;
            let ends_ms = (self.numbers.next() * until_ms as f64) as u64;
            self.plan(ends_ms, Event::ForeignEnds(target));
        }
    }

    fn arrives(&mut self, at_ms: u64) {
        let spread_ms = (self.numbers.next() * self.load.deadline_spread_ms as f64) as u64;
        let request = Request {
            first_ms: at_ms,
            gives_up_ms: at_ms + self.load.deadline_ms - spread_ms,
            came_ms: at_ms,
            retries: 0,
            checks: 0,
            tried_ms: 0.0,
            waited: Duration::ZERO,
        };
        self.seconds.entry(at_ms / 1000).or_default().asked += 1;
        self.plan(at_ms, Event::Arrives(request));
    }

    pub fn run(&mut self, until_s: u64) {
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            if at_ms > until_s * 1000 {
                return;
            }
            self.now_ms = at_ms;
            self.take(event);
        }
    }

    fn plan(&mut self, at_ms: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((at_ms, self.event_count), event);
    }

    fn now(&self) -> Mono {
        Mono::from_millis(self.now_ms)
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrives(request) => {
                let deadline = Duration::from_millis(request.gives_up_ms - request.came_ms);
                let waited = self.patience.estimate(deadline);
                self.ask(Request { waited, ..request });
            }
            Event::Checked(request, assignment) => self.checked(request, assignment),
            Event::Ends(request, assignment) => self.ends(request, &assignment),
            Event::Reports(target) => {
                let figures = self.figures(&target);
                let woken = self.pool.record_load(&target, figures, self.now());
                self.deliver(woken);
            }
            Event::ForeignEnds(target) => *self.running.get_mut(&target).unwrap() -= 1,
            Event::Look => self.look(),
        }
    }

    fn slot_ask(&self, request: &Request) -> SlotRequest {
        let at = Mono::from_millis;
        let objective = Duration::from_millis(self.load.objective_ms);
        let objective = at(request.came_ms).plus(objective.saturating_sub(request.waited));
        let deadline = request.gives_up_ms.min(request.came_ms + self.load.timeout_ms);
        SlotRequest::new(WorkClass::new("reads"), at(request.came_ms), objective, at(deadline))
            .with_resubmitted(request.waited > RETURNING_AFTER)
    }

    fn ask(&mut self, request: Request) {
        match self.pool.admit(self.slot_ask(&request), self.now()) {
            Admission::Send(assignment) => self.got_slot(request, assignment),
            Admission::Shed(shed) => self.refused(request, shed),
            Admission::Queued(ticket) => {
                self.waiting.insert(ticket, request);
            }
        }
    }

    fn got_slot(&mut self, request: Request, assignment: Assignment) {
        let asks = self.pool.needs_probe(&assignment.target, self.now());
        if asks && request.checks < CHECKS_MAX {
            self.plan(self.now_ms + CHECK_MS, Event::Checked(request, assignment));
        } else {
            self.send(request, assignment);
        }
    }

    fn checked(&mut self, request: Request, assignment: Assignment) {
        let request = Request { checks: request.checks + 1, ..request };
        let figures = self.figures(&assignment.target);
        let woken = self.pool.record_load(&assignment.target, figures, self.now());
        self.deliver(woken);
        let ask = self.slot_ask(&request);
        if !self.pool.is_unfit(&assignment, &ask, self.now()) {
            return self.send(request, assignment);
        }
        let woken = self.pool.finish(assignment.attempt, SlotOutcome::Cancelled, None, self.now());
        self.deliver(woken);
        self.ask(request);
    }

    fn send(&mut self, request: Request, assignment: Assignment) {
        self.pool.mark_sent(assignment.attempt, self.now());
        let running = self.running.entry(assignment.target.clone()).or_default();
        *running += 1;
        let crowded = *running > 1;
        let pace = self.pace(&assignment.target);
        let spread = 0.6 + 0.8 * self.numbers.next();
        let crowding = if crowded { CROWDING } else { 1.0 };
        let takes_ms = self.load.work_ms * pace * spread * crowding;
        let request = Request { tried_ms: takes_ms, ..request };
        self.plan(self.now_ms + takes_ms as u64, Event::Ends(request, assignment));
    }

    fn ends(&mut self, request: Request, assignment: &Assignment) {
        let figures = self.figures(&assignment.target);
        *self.running.get_mut(&assignment.target).unwrap() -= 1;
        let latency = Duration::from_micros((request.tried_ms * 1000.0) as u64);
        let outcome = SlotOutcome::Answered { latency };
        let woken = self.pool.finish(assignment.attempt, outcome, Some(figures), self.now());
        let took_ms = self.now_ms - request.first_ms;
        let second = self.seconds.entry(request.first_ms / 1000).or_default();
        match took_ms {
            took if took <= self.load.objective_ms => second.in_time += 1,
            took if took <= request.gives_up_ms - request.first_ms => second.late += 1,
            _ => second.given_up += 1,
        }
        self.deliver(woken);
    }

    /// A refused caller comes back as told, within a third of the time that it has left.
    fn refused(&mut self, request: Request, shed: Shed) {
        let left_ms = request.gives_up_ms.saturating_sub(self.now_ms);
        if request.retries == RETRIES || left_ms == 0 {
            self.seconds.entry(request.first_ms / 1000).or_default().given_up += 1;
            return;
        }
        let pause_ms = (shed.retry_after.as_millis() as u64).min(left_ms / 3);
        let came_ms = self.now_ms + pause_ms;
        let request = Request { came_ms, retries: request.retries + 1, checks: 0, ..request };
        self.plan(came_ms, Event::Arrives(request));
    }

    fn look(&mut self) {
        let woken = self.pool.expire(self.now());
        self.deliver(woken);
        for target in self.pool.due_probes(self.now()) {
            self.probes += 1;
            self.plan(self.now_ms + CHECK_MS, Event::Reports(target));
        }
        self.plan(self.now_ms + LOOK_MS, Event::Look);
    }

    fn deliver(&mut self, woken: Vec<ResolvedTicket>) {
        for ResolvedTicket { ticket, resolution } in woken {
            let request = self.waiting.remove(&ticket).unwrap();
            match resolution {
                Resolution::Send(assignment) => self.got_slot(request, assignment),
                Resolution::Shed(shed) => self.refused(request, shed),
            }
        }
    }

    fn figures(&mut self, target: &TargetId) -> TargetLoad {
        let pace = Slowdown::new((self.pace(target) * 1000.0) as u32);
        let running = self.running.get(target).copied().unwrap_or(0);
        TargetLoad { running, waiting: 0, slots: 2, slowdown: Some(pace) }
    }

    fn pace(&mut self, target: &TargetId) -> f64 {
        let steady =
            (0..self.load.slow_targets).any(|number| target.as_str() == target_name(number));
        let steady = if steady { STEADY_SLOW_FACTOR } else { 1.0 };
        steady * if self.is_slow(target) { SLOW_FACTOR } else { 1.0 }
    }

    fn is_slow(&mut self, target: &TargetId) -> bool {
        let phase = (target.clone(), self.now_ms / PHASE_MS);
        if self.known_phases.insert(phase.clone()) && self.numbers.next() < SLOW_SHARE {
            self.slow.insert(phase.clone());
        }
        self.slow.contains(&phase)
    }
}
