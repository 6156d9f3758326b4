//! Simulation of idempotent reads of which some take several times as long as the rest, served by
//! one pool in virtual time.
//!
//! A target reports its slowdown, and a run keeps the speed at which it started.

#[path = "uneven_hedges.rs"]
mod uneven_hedges;
#[path = "uneven_load.rs"]
mod uneven_load;
#[path = "uneven_report.rs"]
mod uneven_report;

use std::collections::BTreeMap;
use std::time::Duration;

use shallotfork_balance::{
    Admission, Assignment, AttemptId, HedgePlan, HedgeResult, Resolution, ResolvedTicket,
    RetryWindow, SlotOutcome, SlotPool, SlotPoolConfig, SlotRequest, SlotTarget, Slowdown,
    TargetLoad, Ticket, WorkClass,
};
use shallotfork_types::{FailureDomain, Mono, TargetId};

use uneven_load::uniform;
pub use uneven_load::{LongWork, UnevenLoad};
pub use uneven_report::Report;
use uneven_report::WINDOW_MS;

const TARGETS: u64 = 24;
const SLOTS: u32 = 4;
/// Number of runs above which a target takes longer for the next one, and how much longer.
const UNSATURATED_RUNS: u32 = 2;
const SATURATION_FACTOR: f64 = 1.2;
/// Time from the last report of a target to the start of a run there.
const SEND_MS: u64 = 2;
/// Interval at which waits are expired and targets are probed.
const TICK_MS: u64 = 12;
const PROBED_TARGETS_MAX: u32 = 4;
const TIMEOUT_MS: u64 = 6_000;
/// When hedges are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// After three times the usual time, 200 ms at least.
    Old,
    /// As the pool plans.
    Planned,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive(u64),
    EndAttempt(AttemptId),
    HedgeDue(u64),
    Tick,
}

#[derive(Debug)]
struct Request {
    arrived_ms: u64,
    sent_ms: u64,
    plan: Option<HedgePlan>,
    tries_early: bool,
    first: Option<Assignment>,
    hedge: Option<(Assignment, u64, bool)>,
}

#[derive(Debug)]
struct Run {
    request: u64,
    target: TargetId,
    started_ms: u64,
    is_timed_out: bool,
}

pub struct Simulation {
    load: UnevenLoad,
    rule: Rule,
    seed: u64,
    pub pool: SlotPool,
    retries: RetryWindow,
    now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    requests: BTreeMap<u64, Request>,
    waiting: BTreeMap<Ticket, u64>,
    runs: BTreeMap<AttemptId, Run>,
    latencies_ms: Vec<u64>,
    arrivals_ms: Vec<u64>,
    repeats_ms: Vec<u64>,
    report: Report,
}

/// Simulates the load under a rule.
pub fn simulate(load: UnevenLoad, rule: Rule, seed: u64) -> Report {
    Simulation::new(load, rule, seed).run()
}

pub fn class() -> WorkClass {
    WorkClass::new("reads")
}

impl Simulation {
    pub fn new(load: UnevenLoad, rule: Rule, seed: u64) -> Self {
        let config = SlotPoolConfig { name: "vm-0".to_owned(), ..SlotPoolConfig::default() };
        let mut pool = SlotPool::new(config);
        let target = |number| SlotTarget {
            id: target_id(number),
            failure_domain: "domain".parse::<FailureDomain>().expect("the name is valid"),
            slots: SLOTS,
            serving: true,
            cold_for: Duration::ZERO,
        };
        pool.set_targets((0..TARGETS).map(target).collect(), Mono::ZERO);
        let mut simulation = Self {
            load,
            rule,
            seed,
            pool,
            retries: RetryWindow::new(Duration::from_millis(WINDOW_MS)),
            now_ms: 0,
            events: BTreeMap::new(),
            event_count: 0,
            requests: BTreeMap::new(),
            waiting: BTreeMap::new(),
            runs: BTreeMap::new(),
            latencies_ms: Vec::new(),
            arrivals_ms: Vec::new(),
            repeats_ms: Vec::new(),
            report: Report::default(),
        };
        for number in 0..load.requests {
            let jitter_ms =
                (uniform(seed, 1, number) * 2_000.0 / load.requests_per_s as f64) as u64;
            let at_ms = number * 1000 / load.requests_per_s + jitter_ms;
            simulation.schedule(at_ms, Event::Arrive(number));
        }
        simulation.schedule(TICK_MS, Event::Tick);
        simulation
    }

    pub fn run(mut self) -> Report {
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            self.now_ms = at_ms;
            match event {
                Event::Arrive(number) => self.arrive(number),
                Event::EndAttempt(attempt) => self.end_attempt(attempt),
                Event::HedgeDue(number) => self.hedge_due(number),
                Event::Tick => self.tick(),
            }
            let changes = self.pool.take_state_changes().into_iter();
            self.report.ejections += changes
                .filter(|change| {
                    matches!(change.change, shallotfork_balance::StateChange::Ejected { .. })
                })
                .count() as u64;
        }
        self.latencies_ms.sort_unstable();
        let rank = self.latencies_ms.len() * 99 / 100;
        self.report.p99_ms = self.latencies_ms.get(rank).copied().unwrap_or(0);
        let requests_per_s = self.load.requests_per_s;
        self.report.record_budget(&self.arrivals_ms, &self.repeats_ms, requests_per_s);
        self.report
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((at_ms, self.event_count), event);
    }

    fn now(&self) -> Mono {
        Mono::from_millis(self.now_ms)
    }

    fn slot_request(&self, arrived_ms: u64, exclude: Vec<TargetId>) -> SlotRequest {
        let at = Mono::from_millis;
        let (objective, deadline) =
            (at(arrived_ms + self.load.objective_ms), at(arrived_ms + TIMEOUT_MS));
        SlotRequest::new(class(), at(arrived_ms), objective, deadline).with_exclude(exclude)
    }

    fn arrive(&mut self, number: u64) {
        self.report.requests += 1;
        self.arrivals_ms.push(self.now_ms);
        self.retries.record_request(self.now());
        let request = Request {
            arrived_ms: self.now_ms,
            sent_ms: 0,
            plan: None,
            tries_early: false,
            first: None,
            hedge: None,
        };
        self.requests.insert(number, request);
        self.admit(number);
    }

    fn admit(&mut self, number: u64) {
        let request = self.slot_request(self.requests[&number].arrived_ms, Vec::new());
        for probe in 0..=PROBED_TARGETS_MAX {
            match self.pool.admit(request.clone(), self.now()) {
                Admission::Send(assignment) => {
                    self.probe(&assignment.target);
                    if probe < PROBED_TARGETS_MAX
                        && self.pool.is_unfit(&assignment, &request, self.now())
                    {
                        self.give_back(&assignment);
                        continue;
                    }
                    self.send_first(number, assignment);
                }
                Admission::Queued(ticket) => {
                    self.waiting.insert(ticket, number);
                }
                Admission::Shed(_) => self.reject(number),
            }
            return;
        }
    }

    fn reject(&mut self, number: u64) {
        self.report.rejected += 1;
        self.requests.remove(&number);
    }

    fn give_back(&mut self, assignment: &Assignment) {
        let now = self.now();
        let resolved = self.pool.finish(assignment.attempt, SlotOutcome::Cancelled, None, now);
        self.resolve(resolved);
    }

    fn resolve(&mut self, resolved: Vec<ResolvedTicket>) {
        for ResolvedTicket { ticket, resolution } in resolved {
            let Some(number) = self.waiting.remove(&ticket) else { continue };
            match resolution {
                Resolution::Send(assignment) => self.send_first(number, assignment),
                Resolution::Shed(_) => self.reject(number),
            }
        }
    }

    fn send_first(&mut self, number: u64, assignment: Assignment) {
        let now = self.now();
        let arrived_ms = self.requests[&number].arrived_ms;
        let slot_request = self.slot_request(arrived_ms, Vec::new());
        let plan = match self.rule {
            Rule::Planned => self.pool.plan_hedge(assignment.attempt, &slot_request, now),
            Rule::Old => {
                let usual_delay = self.pool.usual_time(&class()).mul_f64(3.0);
                let usual_delay = usual_delay.max(Duration::from_millis(200));
                HedgePlan { early: None, usual_delay }
            }
        };
        let delay = plan.early.map_or(plan.usual_delay, |early| early.delay);
        self.start(number, 0, &assignment);
        let request = self.requests.get_mut(&number).expect("the request is in flight");
        request.sent_ms = self.now_ms;
        request.plan = Some(plan);
        request.tries_early = plan.early.is_some();
        request.first = Some(assignment);
        self.schedule(self.now_ms + millis(delay), Event::HedgeDue(number));
    }

    /// Sends an attempt to its target.
    fn start(&mut self, number: u64, attempt: u64, assignment: &Assignment) {
        self.pool.mark_sent(assignment.attempt, self.now());
        let started_ms = self.now_ms + SEND_MS;
        let runs = self.runs.values().filter(|run| run.target == assignment.target).count();
        let saturation = if runs as u32 >= UNSATURATED_RUNS { SATURATION_FACTOR } else { 1.0 };
        let slowdown = self.load.slowdown(self.seed, &assignment.target, started_ms);
        let run_ms = self.load.work_ms(self.seed, number, attempt) * slowdown * saturation;
        let deadline_ms = self.requests[&number].arrived_ms + TIMEOUT_MS;
        let end_ms = started_ms + run_ms as u64;
        let run = Run {
            request: number,
            target: assignment.target.clone(),
            started_ms: self.now_ms,
            is_timed_out: end_ms >= deadline_ms,
        };
        self.runs.insert(assignment.attempt, run);
        self.schedule(end_ms.min(deadline_ms), Event::EndAttempt(assignment.attempt));
    }

    fn reported_load(&self, target: &TargetId) -> TargetLoad {
        let running = self.runs.values().filter(|run| run.target == *target).count() as u32;
        let permille = (self.load.slowdown(self.seed, target, self.now_ms) * 1000.0) as u32;
        TargetLoad { running, waiting: 0, slots: SLOTS, slowdown: Some(Slowdown::new(permille)) }
    }

    fn probe(&mut self, target: &TargetId) {
        let (load, now) = (self.reported_load(target), self.now());
        let resolved = self.pool.record_load(target, load, now);
        self.resolve(resolved);
    }

    fn end_attempt(&mut self, attempt: AttemptId) {
        let Some(run) = self.runs.get(&attempt) else { return };
        let (number, is_timed_out) = (run.request, run.is_timed_out);
        let latency = Duration::from_millis(self.now_ms - run.started_ms);
        self.report.slot_ms += self.now_ms - run.started_ms;
        let load = self.reported_load(&run.target);
        self.runs.remove(&attempt);
        let (outcome, load) = if is_timed_out {
            (SlotOutcome::TimedOut, None)
        } else {
            (SlotOutcome::Answered { latency }, Some(load))
        };
        let now = self.now();
        let resolved = self.pool.finish(attempt, outcome, load, now);
        self.complete(number, attempt, is_timed_out);
        self.resolve(resolved);
    }

    /// Ends a request with the outcome of an attempt and cancels the other attempt.
    fn complete(&mut self, number: u64, attempt: AttemptId, is_timed_out: bool) {
        let Some(request) = self.requests.remove(&number) else { return };
        let latency_ms = self.now_ms - request.arrived_ms;
        self.latencies_ms.push(latency_ms);
        self.report.late += u64::from(latency_ms > self.load.objective_ms);
        self.report.timed_out += u64::from(is_timed_out);
        if let Some((hedge, hedged_ms, is_early)) = &request.hedge {
            let is_won = hedge.attempt == attempt && !is_timed_out;
            let result = match (is_won, is_timed_out) {
                (true, _) => HedgeResult::Won,
                (false, true) => HedgeResult::Failed,
                (false, false) => HedgeResult::Lost,
            };
            self.report.won += u64::from(is_won);
            self.report.lost += u64::from(!is_won);
            if *is_early {
                let duration = Duration::from_millis(self.now_ms - hedged_ms);
                self.pool.record_early_hedge(&class(), result, duration);
            }
        }
        let attempts = request.first.into_iter().chain(request.hedge.map(|hedge| hedge.0));
        for other in attempts.filter(|other| other.attempt != attempt) {
            if let Some(run) = self.runs.remove(&other.attempt) {
                self.report.slot_ms += self.now_ms - run.started_ms;
                self.give_back(&other);
            }
        }
    }

    fn tick(&mut self) {
        if !self.waiting.is_empty() {
            let resolved = self.pool.expire(self.now());
            self.resolve(resolved);
            for target in self.pool.due_probes(self.now()) {
                self.probe(&target);
            }
        }
        if !self.events.is_empty() {
            self.schedule(self.now_ms + TICK_MS, Event::Tick);
        }
    }
}

pub fn target_id(number: u64) -> TargetId {
    format!("target-{number}").parse().expect("the id is valid")
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
