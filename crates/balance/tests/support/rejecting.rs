//! Simulation in virtual time of a service whose targets reject requests at random for some
//! seconds although they have free slots. Several entries serve its callers; a rejected caller
//! returns once, through any entry.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::random_numbers::RandomNumbers;
use crate::rejection_results::{RankResults, Results};
use shallotfork_balance::{
    Admission, Assignment, PriorWaitEstimator, RepeatAllocation, RepeatClass, Resolution,
    ResolvedTicket, RetryAllowance, Sharer, Shed, SlotOutcome, SlotPool, SlotPoolConfig,
    SlotRequest, SlotTarget, Slowdown, StateChange, TargetLoad, Ticket, WorkClass,
};
use shallotfork_types::{FailureDomain, Mono, Permille, TargetId};

pub const OBJECTIVE_MS: u64 = 400;
const CALLER_TIMEOUT_MS: u64 = 1500;
const WORK_MS: f64 = 150.0;
/// One way between callers and entries.
const TRANSIT_MS: u64 = 3;
/// From sending a request to a target to its rejection, with the probe before.
const REJECTION_MS: u64 = 5;
const TICK_MS: u64 = 12;
const ENTRIES: usize = 4;
const TARGETS: usize = 100;
const SLOTS: u32 = 2;
/// Smallest prior wait of a returning caller, as in the entry.
const RETURNED_AFTER: Duration = Duration::from_millis(50);
/// The part of the limit of 200 permille and 208 that retries use; all entries together use 93 of
/// the 208.
const SHARE: Permille = Permille::new(140);
const EXTRA: u32 = 93;
pub const WINDOW: Duration = Duration::from_secs(10);

/// Start and end of the rejections.
pub const REJECTING_MS: std::ops::Range<u64> = 10_000..18_000;
/// Requests a second before and after the rejections.
const USUAL_RATE: f64 = 500.0;
/// Requests a second during the rejections.
const BURST_RATE: f64 = 750.0;
const REJECTED_SHARE: f64 = 0.55;
/// Shares of requests of ranks 0, 1 and 2.
const RANK_SHARES: [f64; 3] = [0.2, 0.6, 0.2];

/// Rule by which repeats are granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatRule {
    /// To whichever request asks first.
    FirstCome,
    /// In the order of [`RepeatClass`].
    Ranked,
    /// As `Ranked`, with requests that have not returned yet first.
    FirstSendsAhead,
    /// As `Ranked`, by rank only.
    RankOnly,
    /// To returned requests as they ask, to no others.
    ReturnedOnly,
}

/// A simulated variant.
#[derive(Debug, Clone, Copy)]
pub struct Variant {
    /// Whether rejections carry load reports; without any, pools treat rejections as lack of
    /// capacity.
    pub reports_load: bool,
    pub rule: RepeatRule,
    pub attempts_max: usize,
    pub rejected_share: f64,
}

impl Variant {
    pub fn new(reports_load: bool, rule: RepeatRule) -> Self {
        Self { reports_load, rule, attempts_max: 2, rejected_share: REJECTED_SHARE }
    }
}

#[derive(Debug, Clone)]
struct Request {
    rank: usize,
    first_sent_ms: u64,
    has_returned: bool,
    entry: usize,
    arrived_ms: u64,
    prior_wait: Duration,
    tried: Vec<TargetId>,
}

impl Request {
    fn objective_ms(&self) -> u64 {
        let prior_ms = self.prior_wait.as_millis() as u64;
        self.arrived_ms + OBJECTIVE_MS.saturating_sub(prior_ms)
    }
}

#[derive(Debug, Clone)]
enum Event {
    Arrive(Request),
    Reject(Request, Assignment),
    Answer(Request, Assignment, Duration),
    Tick,
}

struct Entry {
    pool: SlotPool,
    repeats: RepeatAllocation,
    prior_wait: PriorWaitEstimator,
    waiting: BTreeMap<Ticket, Request>,
}

pub struct Simulation {
    variant: Variant,
    entries: Vec<Entry>,
    random: RandomNumbers,
    now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    running: BTreeMap<TargetId, u32>,
    results: Results,
}

impl Simulation {
    fn new(variant: Variant, seed: u64) -> Self {
        let entries = (0..ENTRIES).map(|number| {
            let name = format!("entry-{number}");
            let mut pool = SlotPool::new(SlotPoolConfig { name, ..SlotPoolConfig::default() });
            let targets = (0..TARGETS).map(|number| SlotTarget {
                id: TargetId::new(&format!("target-{number}")).unwrap(),
                failure_domain: FailureDomain::new("hall").unwrap(),
                slots: SLOTS,
                serving: true,
                cold_for: Duration::ZERO,
            });
            pool.set_targets(targets.collect(), Mono::ZERO);
            let names =
                (0..ENTRIES).map(|number| Sharer::new(&format!("entry-{number}"))).collect();
            pool.set_sharers(names, Permille::new(1000), Mono::ZERO);
            let timeout = Duration::from_millis(CALLER_TIMEOUT_MS);
            Entry {
                pool,
                repeats: RepeatAllocation::new(WINDOW),
                prior_wait: PriorWaitEstimator::new(timeout),
                waiting: BTreeMap::new(),
            }
        });
        let results = Results {
            by_rank: [RankResults::default(); 3],
            requests_ms: Vec::new(),
            repeats_ms: Vec::new(),
            rejected: 0,
            ejections: 0,
            retry_after_ms: BTreeSet::new(),
        };
        Self {
            variant,
            entries: entries.collect(),
            random: RandomNumbers::new(seed),
            now_ms: 0,
            events: BTreeMap::new(),
            event_count: 0,
            running: BTreeMap::new(),
            results,
        }
    }

    /// Simulates ten usual seconds, eight with rejections and three usual ones.
    pub fn run(variant: Variant, seed: u64) -> Results {
        let mut simulation = Self::new(variant, seed);
        simulation.schedule(0, Event::Tick);
        simulation.arrivals(0, REJECTING_MS.start, USUAL_RATE);
        simulation.arrivals(REJECTING_MS.start, REJECTING_MS.end, BURST_RATE);
        simulation.arrivals(REJECTING_MS.end, REJECTING_MS.end + 3000, USUAL_RATE);
        while let Some(((at_ms, _), event)) = simulation.events.pop_first() {
            if at_ms > REJECTING_MS.end + 6000 {
                break;
            }
            simulation.now_ms = at_ms;
            simulation.handle(event);
        }
        simulation.results
    }

    fn arrivals(&mut self, from_ms: u64, to_ms: u64, rate: f64) {
        let count = ((to_ms - from_ms) as f64 / 1000.0 * rate) as u64;
        for _ in 0..count {
            let sent_ms = from_ms + (self.random.next() * (to_ms - from_ms) as f64) as u64;
            let draw = self.random.next();
            let rank = if draw < RANK_SHARES[0] {
                0
            } else if draw < RANK_SHARES[0] + RANK_SHARES[1] {
                1
            } else {
                2
            };
            let request = Request {
                rank,
                first_sent_ms: sent_ms,
                has_returned: false,
                entry: 0,
                arrived_ms: 0,
                prior_wait: Duration::ZERO,
                tried: Vec::new(),
            };
            if REJECTING_MS.contains(&sent_ms) {
                self.results.by_rank[rank].requests += 1;
            }
            self.schedule(sent_ms + TRANSIT_MS, Event::Arrive(request));
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
            Event::Arrive(request) => self.arrive(request),
            Event::Reject(request, assignment) => self.reject(request, &assignment),
            Event::Answer(request, assignment, latency) => {
                self.answer(request, &assignment, latency);
            }
            Event::Tick => {
                let now = self.now();
                for entry in 0..ENTRIES {
                    let resolved = self.entries[entry].pool.expire(now);
                    self.resolve(entry, resolved);
                }
                self.schedule(self.now_ms + TICK_MS, Event::Tick);
            }
        }
    }

    fn arrive(&mut self, request: Request) {
        let now = self.now();
        let number = (self.random.next() * ENTRIES as f64) as usize;
        let sent_ms = self.now_ms - TRANSIT_MS;
        let left_ms = CALLER_TIMEOUT_MS - (sent_ms - request.first_sent_ms);
        let entry = &mut self.entries[number];
        let prior_wait = entry.prior_wait.estimate(Duration::from_millis(left_ms));
        entry.repeats.record_request(now);
        self.results.requests_ms.push(self.now_ms);
        self.admit(Request { entry: number, arrived_ms: self.now_ms, prior_wait, ..request });
    }

    fn admit(&mut self, request: Request) {
        let deadline_ms = request.first_sent_ms + CALLER_TIMEOUT_MS;
        let at = Mono::from_millis;
        let slot_request = SlotRequest::new(
            WorkClass::new("reads"),
            at(request.arrived_ms),
            at(request.objective_ms()),
            at(deadline_ms),
        )
        .with_rank(request.rank as u32)
        .with_resubmitted(request.prior_wait >= RETURNED_AFTER || !request.tried.is_empty())
        .with_exclude(request.tried.clone());
        let now = self.now();
        match self.entries[request.entry].pool.admit(slot_request, now) {
            Admission::Send(assignment) => self.send(request, assignment),
            Admission::Shed(shed) => self.refuse(request, shed),
            Admission::Queued(ticket) => {
                self.entries[request.entry].waiting.insert(ticket, request);
            }
        }
    }

    fn send(&mut self, mut request: Request, assignment: Assignment) {
        let now = self.now();
        let load = self.load(&assignment.target);
        let entry = request.entry;
        let pool = &mut self.entries[entry].pool;
        let resolved = if self.variant.reports_load {
            pool.record_load(&assignment.target, load, now)
        } else {
            Vec::new()
        };
        pool.mark_sent(assignment.attempt, now);
        request.tried.push(assignment.target.clone());
        let is_rejecting = REJECTING_MS.contains(&self.now_ms);
        if is_rejecting && self.random.next() < self.variant.rejected_share {
            self.results.rejected += 1;
            self.schedule(self.now_ms + REJECTION_MS, Event::Reject(request, assignment));
        } else {
            *self.running.entry(assignment.target.clone()).or_default() += 1;
            let work_ms = (WORK_MS * (0.7 + 0.6 * self.random.next())) as u64;
            let latency = Duration::from_millis(work_ms);
            self.schedule(
                self.now_ms + REJECTION_MS + work_ms,
                Event::Answer(request, assignment, latency),
            );
        }
        self.resolve(entry, resolved);
    }

    fn load(&self, target: &TargetId) -> TargetLoad {
        let running = self.running.get(target).copied().unwrap_or(0);
        TargetLoad { running, waiting: 0, slots: SLOTS, slowdown: Some(Slowdown::NONE) }
    }

    fn reject(&mut self, request: Request, assignment: &Assignment) {
        let now = self.now();
        let load = self.variant.reports_load.then(|| self.load(&assignment.target));
        let number = request.entry;
        let pool = &mut self.entries[number].pool;
        let resolved = pool.finish(assignment.attempt, SlotOutcome::Full, load, now);
        let changes = pool.take_state_changes();
        let ejected = changes.iter().filter(|c| matches!(c.change, StateChange::Ejected { .. }));
        self.results.ejections += ejected.count() as u32;
        let may_repeat = request.tried.len() < self.variant.attempts_max;
        if may_repeat && self.acquire_repeat(&request) {
            self.results.repeats_ms.push(self.now_ms);
            self.admit(request);
        } else {
            let shed = self.entries[number].pool.shed_no_target(now);
            self.refuse(request, shed);
        }
        self.resolve(number, resolved);
    }

    fn acquire_repeat(&mut self, request: &Request) -> bool {
        let now = self.now();
        let allowance = RetryAllowance { share: SHARE, extra: EXTRA / ENTRIES as u32 };
        let Entry { pool, repeats, .. } = &mut self.entries[request.entry];
        let has_returned = request.prior_wait >= RETURNED_AFTER;
        let rank = request.rank as u32;
        let usual = pool.usual_time(&WorkClass::new("reads"));
        let is_late = now.plus(usual) > Mono::from_millis(request.objective_ms());
        let class = match self.variant.rule {
            RepeatRule::FirstCome => return repeats.try_acquire(allowance, now),
            _ if !pool.rejects_at_random(now) => return repeats.try_acquire(allowance, now),
            RepeatRule::ReturnedOnly => {
                return has_returned && repeats.try_acquire(allowance, now);
            }
            RepeatRule::RankOnly => RepeatClass::Returned { rank, is_late },
            RepeatRule::Ranked if has_returned => RepeatClass::Returned { rank, is_late },
            RepeatRule::FirstSendsAhead if !has_returned => RepeatClass::Returned { rank, is_late },
            RepeatRule::Ranked | RepeatRule::FirstSendsAhead => {
                RepeatClass::First { rank, is_late }
            }
        };
        repeats.try_acquire_ranked(class, allowance, now)
    }

    /// The caller returns once, after the retry-after time or a third of its remaining time.
    fn refuse(&mut self, request: Request, shed: Shed) {
        let informed_ms = self.now_ms + TRANSIT_MS;
        let is_counted = REJECTING_MS.contains(&request.first_sent_ms);
        if is_counted {
            self.results.retry_after_ms.insert(shed.retry_after.as_millis() as u64);
        }
        let gives_up_ms = request.first_sent_ms + CALLER_TIMEOUT_MS;
        let left_ms = gives_up_ms.saturating_sub(informed_ms);
        if request.has_returned || left_ms == 0 {
            self.results.by_rank[request.rank].refused += u32::from(is_counted);
            return;
        }
        let wait_ms = (shed.retry_after.as_millis() as u64).min(left_ms / 3);
        let request = Request { has_returned: true, tried: Vec::new(), ..request };
        self.schedule(informed_ms + wait_ms + TRANSIT_MS, Event::Arrive(request));
    }

    fn answer(&mut self, request: Request, assignment: &Assignment, latency: Duration) {
        let now = self.now();
        let load = self.load(&assignment.target);
        *self.running.get_mut(&assignment.target).unwrap() -= 1;
        let outcome = SlotOutcome::Answered { latency };
        let pool = &mut self.entries[request.entry].pool;
        let resolved = pool.finish(assignment.attempt, outcome, Some(load), now);
        let took_ms = self.now_ms + TRANSIT_MS - request.first_sent_ms;
        if REJECTING_MS.contains(&request.first_sent_ms) {
            let results = &mut self.results.by_rank[request.rank];
            if took_ms <= OBJECTIVE_MS {
                results.in_time += 1;
            } else {
                results.late += 1;
            }
        }
        self.resolve(request.entry, resolved);
    }

    fn resolve(&mut self, entry: usize, resolved: Vec<ResolvedTicket>) {
        for ResolvedTicket { ticket, resolution } in resolved {
            let request = self.entries[entry].waiting.remove(&ticket).unwrap();
            match resolution {
                Resolution::Send(assignment) => self.send(request, assignment),
                Resolution::Shed(shed) => self.refuse(request, shed),
            }
        }
    }
}
