//! Shares of several populations in the slots of one service while slots are short.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

#[path = "support/random_numbers.rs"]
mod random_numbers;
#[path = "support/slots.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::collections::BTreeMap;

use quickcheck::QuickCheck;
use shallotfork_balance::{
    Admission, Assignment, Resolution, ResolvedTicket, Shed, SlotPool, SlotPoolConfig, SlotRequest,
    Ticket, WorkClass,
};

use random_numbers::RandomNumbers;
use support::{USUAL_PERMILLE, answered, at, expect_sent, load, target};

/// The slots serve 125 requests a second.
const TARGETS: usize = 10;
const WORK_MS: u64 = 160;
const TICK_MS: u64 = 12;
/// Load is applied for this long; callers that first send in the first second are not counted.
const LOAD_MS: u64 = 12_000;
const COUNTED_FROM_MS: u64 = 1_000;
const CALLER_TIMEOUT_MS: u64 = 3_000;
/// Smallest prior wait of a returning caller, as in the entry.
const RETURNED_AFTER_MS: u64 = 50;
/// Largest difference between the served fractions of two populations of one rank.
const FAIRNESS_BOUND: f64 = 0.1;

/// Callers of one route.
#[derive(Debug, Clone, Copy)]
struct Callers {
    name: &'static str,
    rank: u32,
    objective_ms: u64,
    /// Callers a second that begin.
    rate: f64,
    /// Number of times that a caller returns.
    returns: u32,
    /// Whether a caller returns at once instead of after the retry-after time.
    is_impatient: bool,
}

impl Callers {
    fn new(name: &'static str, rate: f64) -> Self {
        Self { name, rank: 0, objective_ms: 400, rate, returns: 1, is_impatient: false }
    }
}

#[derive(Debug, Clone)]
struct Call {
    callers: usize,
    first_sent_ms: u64,
    returns_left: u32,
}

#[derive(Debug, Clone)]
enum Event {
    Arrive(Call),
    Finish(Call, Assignment),
    Tick,
}

#[derive(Debug, Default, Clone, Copy)]
struct Counts {
    callers: u32,
    served: u32,
}

impl Counts {
    fn fraction(self) -> f64 {
        f64::from(self.served) / f64::from(self.callers.max(1))
    }
}

struct Service {
    populations: Vec<Callers>,
    pool: SlotPool,
    now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    waiting: BTreeMap<Ticket, Call>,
    counts: Vec<Counts>,
}

impl Service {
    /// Returns the fraction of the callers of each population that was served.
    fn run(populations: &[Callers], seed: u64) -> Vec<f64> {
        let mut pool = SlotPool::new(SlotPoolConfig::default());
        let targets = (0..TARGETS).map(|number| target(&format!("target-{number}")));
        pool.set_targets(targets.collect(), at(0));
        let mut service = Self {
            populations: populations.to_vec(),
            pool,
            now_ms: 0,
            events: BTreeMap::new(),
            event_count: 0,
            waiting: BTreeMap::new(),
            counts: vec![Counts::default(); populations.len()],
        };
        service.schedule(0, Event::Tick);
        let mut random = RandomNumbers::new(seed);
        for (number, callers) in populations.iter().enumerate() {
            for _ in 0..(callers.rate * LOAD_MS as f64 / 1000.0) as u64 {
                let first_sent_ms = (random.next() * LOAD_MS as f64) as u64;
                if first_sent_ms >= COUNTED_FROM_MS {
                    service.counts[number].callers += 1;
                }
                let call = Call { callers: number, first_sent_ms, returns_left: callers.returns };
                service.schedule(first_sent_ms, Event::Arrive(call));
            }
        }
        while let Some(((at_ms, _), event)) = service.events.pop_first() {
            if at_ms > LOAD_MS + CALLER_TIMEOUT_MS {
                break;
            }
            service.now_ms = at_ms;
            service.handle(event);
        }
        let fractions: Vec<f64> = service.counts.iter().map(|counts| counts.fraction()).collect();
        for (callers, fraction) in populations.iter().zip(&fractions) {
            println!("{callers:?}: served {fraction:.3}");
        }
        fractions
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((at_ms, self.event_count), event);
    }

    fn handle(&mut self, event: Event) {
        let now = at(self.now_ms);
        match event {
            Event::Arrive(call) => {
                let request = self.slot_request(&call);
                match self.pool.admit(request, now) {
                    Admission::Send(assignment) => self.send(call, assignment),
                    Admission::Shed(shed) => self.refuse(call, shed),
                    Admission::Queued(ticket) => {
                        self.waiting.insert(ticket, call);
                    }
                }
            }
            Event::Finish(call, assignment) => {
                if call.first_sent_ms >= COUNTED_FROM_MS {
                    self.counts[call.callers].served += 1;
                }
                let load = Some(load(1, USUAL_PERMILLE));
                let resolved = self.pool.finish(assignment.attempt, answered(), load, now);
                self.resolve(resolved);
            }
            Event::Tick => {
                let resolved = self.pool.expire(now);
                self.resolve(resolved);
                self.schedule(self.now_ms + TICK_MS, Event::Tick);
            }
        }
    }

    fn slot_request(&self, call: &Call) -> SlotRequest {
        let callers = self.populations[call.callers];
        let prior_ms = self.now_ms - call.first_sent_ms;
        let objective = at(self.now_ms + callers.objective_ms.saturating_sub(prior_ms));
        let deadline = at(call.first_sent_ms + CALLER_TIMEOUT_MS);
        SlotRequest::new(WorkClass::new(callers.name), at(self.now_ms), objective, deadline)
            .with_rank(callers.rank)
            .with_resubmitted(prior_ms >= RETURNED_AFTER_MS)
    }

    fn send(&mut self, call: Call, assignment: Assignment) {
        self.pool.mark_sent(assignment.attempt, at(self.now_ms));
        self.schedule(self.now_ms + WORK_MS, Event::Finish(call, assignment));
    }

    fn refuse(&mut self, call: Call, shed: Shed) {
        let callers = self.populations[call.callers];
        let left_ms = (call.first_sent_ms + CALLER_TIMEOUT_MS).saturating_sub(self.now_ms);
        if call.returns_left == 0 || left_ms == 0 {
            return;
        }
        let retry_after_ms = shed.retry_after.as_millis() as u64;
        let wait_ms = if callers.is_impatient { 60 } else { retry_after_ms.min(left_ms / 3) };
        let call = Call { returns_left: call.returns_left - 1, ..call };
        self.schedule(self.now_ms + wait_ms, Event::Arrive(call));
    }

    fn resolve(&mut self, resolved: Vec<ResolvedTicket>) {
        for ResolvedTicket { ticket, resolution } in resolved {
            let call = self.waiting.remove(&ticket).unwrap();
            match resolution {
                Resolution::Send(assignment) => self.send(call, assignment),
                Resolution::Shed(shed) => self.refuse(call, shed),
            }
        }
    }
}

fn spread(fractions: &[f64]) -> f64 {
    let max = fractions.iter().copied().fold(0.0, f64::max);
    max - fractions.iter().copied().fold(1.0, f64::min)
}

/// Guards against serving a population less than others because its demand is small, its objective
/// is shorter, or it does not return. Twice as many requests arrive as the slots serve.
#[test]
fn populations_get_equal_fractions_of_their_demand() {
    for seed in 1..4 {
        let populations = [
            Callers::new("large", 150.0),
            Callers { objective_ms: 800, ..Callers::new("patient", 60.0) },
            Callers { returns: 0, ..Callers::new("single", 30.0) },
            Callers::new("small", 10.0),
        ];
        let fractions = Service::run(&populations, seed);
        assert!(spread(&fractions) <= FAIRNESS_BOUND, "{fractions:?}");
    }
}

/// Guards against callers that retry at once, again and again, taking the slots of others that have
/// waited longer.
#[test]
fn callers_that_retry_at_once_gain_no_share() {
    for seed in 1..4 {
        let populations = [
            Callers { is_impatient: true, returns: 8, ..Callers::new("impatient", 125.0) },
            Callers::new("usual", 125.0),
        ];
        let fractions = Service::run(&populations, seed);
        assert!(fractions[0] <= fractions[1] + FAIRNESS_BOUND, "{fractions:?}");
    }
}

/// Guards against unused shares: a population that needs less than its share leaves the rest to the
/// others, and no slot stays free.
#[test]
fn unused_share_goes_to_populations_that_need_more() {
    let populations = [Callers::new("busy", 200.0), Callers::new("quiet", 5.0)];
    let fractions = Service::run(&populations, 1);
    assert!(fractions[0] >= 0.55, "{fractions:?}");
    assert!(fractions[1] >= fractions[0] - FAIRNESS_BOUND, "{fractions:?}");
}

/// Guards against serving requests of a higher rank less often than those of a lower one.
#[test]
fn higher_rank_is_served_no_less_often() {
    for seed in 1..4 {
        let populations = [
            Callers { rank: 0, returns: 0, ..Callers::new("orders", 75.0) },
            Callers { rank: 1, ..Callers::new("reads", 100.0) },
            Callers { rank: 2, is_impatient: true, returns: 8, ..Callers::new("bulk", 75.0) },
        ];
        let fractions = Service::run(&populations, seed);
        assert!(fractions[0] >= fractions[1] && fractions[1] >= fractions[2], "{fractions:?}");
        assert!(fractions[0] > 0.9, "{fractions:?}");
    }
}

/// A random request: its class, rank, whether it is resubmitted, and the time since the one before.
type Draw = (u8, u8, bool, u8);

/// Fills all slots, queues the drawn requests and returns their positions in the order in which they
/// are served, with the order of the usual rule.
fn served_order(draws: &[Draw], classes: u8, is_short: bool) -> (Vec<usize>, Vec<usize>) {
    let mut pool = SlotPool::new(SlotPoolConfig::default());
    pool.set_targets(vec![target("a"), target("b")], at(0));
    let class = |number: u8| WorkClass::new(&format!("route-{}", number % classes));
    let request = |number: u8, now_ms: u64| {
        SlotRequest::new(class(number), at(now_ms), at(now_ms + 60_000), at(now_ms + 90_000))
    };
    let running = (0..4).map(|_| expect_sent(pool.admit(request(0, 0), at(0))));
    let mut running: Vec<Assignment> = running.collect();
    running.iter().for_each(|assignment| {
        pool.mark_sent(assignment.attempt, at(0));
    });
    let mut now_ms = 1;
    let mut queued = Vec::new();
    for (number, rank, is_resubmitted, gap_ms) in draws.iter().take(20) {
        now_ms += 1 + u64::from(*gap_ms) / 32;
        let request = request(*number, now_ms)
            .with_rank(u32::from(rank % 3))
            .with_resubmitted(*is_resubmitted);
        let key = (!*is_resubmitted, request.rank, request.arrived_at);
        if let Admission::Queued(ticket) = pool.admit(request, at(now_ms)) {
            queued.push((ticket, key));
        }
    }
    if is_short {
        let hopeless = SlotRequest { objective: at(now_ms + 125), ..request(0, now_ms) };
        let hopeless = SlotRequest { deadline: at(now_ms + 200), ..hopeless };
        assert!(matches!(pool.admit(hopeless, at(now_ms)), Admission::Shed(_)));
    }
    let mut served = Vec::new();
    while let Some(assignment) = running.pop() {
        now_ms += 1;
        let resolved = pool.finish(assignment.attempt, answered(), None, at(now_ms));
        for ResolvedTicket { ticket, resolution } in resolved {
            if let Resolution::Send(assignment) = resolution {
                pool.mark_sent(assignment.attempt, at(now_ms));
                running.push(assignment);
            }
            served.push(queued.iter().position(|(queued, _)| *queued == ticket).unwrap());
        }
    }
    let mut usual: Vec<usize> = (0..queued.len()).collect();
    usual.sort_by_key(|position| queued[*position].1);
    (served, usual)
}

/// Guards against a change of the usual order while no request is refused.
#[test]
fn order_is_the_usual_one_without_shortage() {
    fn property(draws: Vec<Draw>) -> bool {
        let (served, usual) = served_order(&draws, 3, false);
        served == usual
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(Vec<Draw>) -> bool);
}

/// Guards against a change of the usual order for a service with a single population.
#[test]
fn order_is_the_usual_one_with_one_population() {
    fn property(draws: Vec<Draw>) -> bool {
        let (served, usual) = served_order(&draws, 1, true);
        served == usual
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(Vec<Draw>) -> bool);
}

/// Guards against losing or repeating a request in the order of several populations.
#[test]
fn every_waiting_request_is_served_once_under_shortage() {
    fn property(draws: Vec<Draw>) -> bool {
        let (mut served, mut usual) = served_order(&draws, 3, true);
        served.sort_unstable();
        usual.sort_unstable();
        served == usual
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(Vec<Draw>) -> bool);
}

/// Guards against a request that has waited longer standing behind one of its population whose
/// caller has just retried.
#[test]
fn retried_request_stands_behind_those_that_wait_longer() {
    let mut pool = SlotPool::new(SlotPoolConfig::default());
    pool.set_targets(vec![target("a")], at(0));
    let request = |class: &str, sent_ms: u64, now_ms: u64| {
        let objective = at(sent_ms + 5_000);
        SlotRequest::new(WorkClass::new(class), at(now_ms), objective, at(sent_ms + 9_000))
    };
    let running: Vec<Assignment> =
        (0..2).map(|_| expect_sent(pool.admit(request("reads", 0, 0), at(0)))).collect();
    let queue = |pool: &mut SlotPool, request: SlotRequest, now_ms: u64| match pool
        .admit(request, at(now_ms))
    {
        Admission::Queued(ticket) => ticket,
        other => panic!("expected a queued request, got {other:?}"),
    };
    let first = queue(&mut pool, request("reads", 10, 10), 10);
    queue(&mut pool, request("orders", 20, 20), 20);
    let hopeless =
        SlotRequest { objective: at(175), deadline: at(220), ..request("reads", 50, 50) };
    assert!(matches!(pool.admit(hopeless, at(50)), Admission::Shed(_)));
    let retried = queue(&mut pool, request("reads", 50, 110).with_resubmitted(true), 110);
    let mut order = Vec::new();
    for (number, assignment) in running.iter().enumerate() {
        let now = at(160 + number as u64);
        let resolved = pool.finish(assignment.attempt, answered(), None, now);
        order.extend(resolved.iter().map(|resolved| resolved.ticket));
    }
    assert!(order.contains(&first) && !order.contains(&retried), "{order:?}");
}
