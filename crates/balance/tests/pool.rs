//! Properties of the pool under any order of events.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use shallotfork_balance::{
    Admission, Assignment, AttemptId, AttemptOutcome, Policy, Pool, PoolConfig, PoolRequest,
    PoolTarget, Priority, Resolution, ResolvedTicket, ShedReason, TargetState, Ticket,
};
use shallotfork_measure::LoadReport;
use shallotfork_types::{FailureDomain, Mono, Permille, TargetId};

const SEED: u64 = 0xba1a;
const TARGETS: u8 = 6;

#[derive(Debug, Clone)]
enum Event {
    Admit { priority: u8, patience_ms: u16, exclude: u8 },
    Retry { exclude: u8 },
    Hedge { pick: u8 },
    Finish { pick: u8, outcome: u8, latency_ms: u8 },
    Cancel { pick: u8 },
    Publish { listed: u8, draining: u8 },
    Report { target: u8, in_flight: u8 },
    Expire,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 16 {
            0..=5 => Self::Admit {
                priority: u8::arbitrary(g) % 3,
                patience_ms: u16::arbitrary(g) % 500,
                exclude: u8::arbitrary(g) & u8::arbitrary(g),
            },
            6 => Self::Retry { exclude: u8::arbitrary(g) & u8::arbitrary(g) },
            7 => Self::Hedge { pick: u8::arbitrary(g) },
            8..=11 => Self::Finish {
                pick: u8::arbitrary(g),
                outcome: u8::arbitrary(g),
                latency_ms: u8::arbitrary(g),
            },
            12 => Self::Cancel { pick: u8::arbitrary(g) },
            13 => Self::Publish {
                listed: u8::arbitrary(g) | u8::arbitrary(g),
                draining: u8::arbitrary(g) & u8::arbitrary(g),
            },
            14 => Self::Report { target: u8::arbitrary(g), in_flight: u8::arbitrary(g) },
            _ => Self::Expire,
        }
    }
}

fn target_id(number: u8) -> TargetId {
    TargetId::new(&format!("target-{}", number % TARGETS)).expect("a valid name")
}

fn chosen(bits: u8) -> Vec<TargetId> {
    (0..TARGETS).filter(|number| bits & (1 << number) != 0).map(target_id).collect()
}

fn published(listed: u8, draining: u8) -> Vec<PoolTarget> {
    let domain = FailureDomain::new("boulder").expect("a valid name");
    let drains = chosen(draining);
    let target = |id: TargetId| {
        let state = if drains.contains(&id) { TargetState::Draining } else { TargetState::Serving };
        PoolTarget::new(id, domain.clone(), 2).with_state(state)
    };
    chosen(listed).into_iter().map(target).collect()
}

/// What a caller of the pool knows, kept apart from the pool's own account.
struct Caller {
    pool: Pool,
    now: Mono,
    serving: Vec<TargetId>,
    running: BTreeMap<AttemptId, TargetId>,
    waiting: BTreeMap<Ticket, PoolRequest>,
    ended: BTreeSet<Ticket>,
    firsts: u64,
    hedges: u64,
    retries: u64,
    hedges_owed_min: i64,
    retries_owed_min: i64,
}

impl Caller {
    fn new(policy: Policy) -> Self {
        let config = PoolConfig { policy, queue_max: 8, ..PoolConfig::default() };
        Self {
            pool: Pool::new(config, SEED),
            now: Mono::ZERO,
            serving: Vec::new(),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            ended: BTreeSet::new(),
            firsts: 0,
            hedges: 0,
            retries: 0,
            hedges_owed_min: 0,
            retries_owed_min: 0,
        }
    }

    fn ask(&self, patience_ms: u16, exclude: u8) -> PoolRequest {
        let deadline = self.now.plus(Duration::from_millis(u64::from(patience_ms)));
        PoolRequest::new(deadline).with_exclude(chosen(exclude))
    }

    fn sent(&mut self, assignment: Assignment, ask: &PoolRequest) {
        assert!(self.serving.contains(&assignment.target), "assigned a target that takes nothing");
        assert!(!ask.exclude.contains(&assignment.target), "assigned an excluded target");
        assert!(ask.deadline > self.now, "assigned after the deadline");
        let before = self.running.insert(assignment.attempt, assignment.target);
        assert!(before.is_none(), "an attempt was named twice");
    }

    fn admitted(&mut self, admission: Admission, ask: PoolRequest) {
        match admission {
            Admission::Send(assignment) => self.sent(assignment, &ask),
            Admission::Queued(ticket) => assert!(self.waiting.insert(ticket, ask).is_none()),
            Admission::Shed(shed) => {
                let possible = self.serving.iter().any(|id| !ask.exclude.contains(id));
                assert_eq!(
                    possible || ask.deadline <= self.now,
                    shed.reason != ShedReason::NoTarget || ask.deadline <= self.now,
                    "refused for lack of targets although one may serve, or the reverse"
                );
            }
        }
    }

    fn woken(&mut self, woken: Vec<ResolvedTicket>) {
        for ResolvedTicket { ticket, resolution } in woken {
            assert!(self.ended.insert(ticket), "a ticket ended twice");
            let ask = self.waiting.remove(&ticket).expect("only waiting tickets are woken");
            if let Resolution::Send(assignment) = resolution {
                self.sent(assignment, &ask);
            }
        }
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Admit { priority, patience_ms, exclude } => {
                self.firsts += 1;
                let ask = self.ask(patience_ms, exclude).with_priority(Priority::new(priority));
                let admission = self.pool.admit(ask.clone(), self.now);
                self.admitted(admission, ask);
            }
            Event::Retry { exclude } => {
                let ask = self.ask(300, exclude);
                let admission = self.pool.retry(ask.clone(), self.now);
                let refused =
                    matches!(admission, Admission::Shed(s) if s.reason == ShedReason::RetryBudget);
                self.retries += u64::from(!refused);
                if !refused {
                    self.admitted(admission, ask);
                }
            }
            Event::Hedge { pick } => self.hedge(pick),
            Event::Finish { pick, outcome, latency_ms } => self.finish(pick, outcome, latency_ms),
            Event::Cancel { pick } => {
                let Some(ticket) = nth(self.waiting.keys(), pick) else { return };
                if self.pool.cancel(ticket) {
                    self.waiting.remove(&ticket);
                    assert!(self.ended.insert(ticket));
                }
            }
            Event::Publish { listed, draining } => {
                let targets = published(listed, draining);
                let serving = targets.iter().filter(|t| t.state == TargetState::Serving);
                self.serving = serving.map(|t| t.id.clone()).collect();
                let woken = self.pool.set_targets(&targets, self.now);
                self.woken(woken);
            }
            Event::Report { target, in_flight } => {
                let report =
                    LoadReport { in_flight: Some(u32::from(in_flight)), ..LoadReport::default() };
                self.pool.report(&target_id(target), report, self.now);
            }
            Event::Expire => {
                let woken = self.pool.expire(self.now);
                self.woken(woken);
            }
        }
    }

    fn hedge(&mut self, pick: u8) {
        let Some(attempt) = nth(self.running.keys(), pick) else { return };
        let first = self.running[&attempt].clone();
        let ask = self.ask(300, 0);
        let Some(assignment) = self.pool.hedge(attempt, ask.clone(), self.now) else { return };
        assert_ne!(first, assignment.target, "hedged to the same target");
        self.hedges += 1;
        self.sent(assignment, &ask);
    }

    fn finish(&mut self, pick: u8, outcome: u8, latency_ms: u8) {
        let Some(attempt) = nth(self.running.keys(), pick) else { return };
        let latency = Duration::from_millis(u64::from(latency_ms));
        let outcome = match outcome % 8 {
            0 => AttemptOutcome::Failed,
            1 => AttemptOutcome::Shed,
            2 => AttemptOutcome::TimedOut,
            3 => AttemptOutcome::Cancelled,
            _ => AttemptOutcome::Answered { latency },
        };
        self.running.remove(&attempt);
        let woken = self.pool.finish(attempt, outcome, None, self.now);
        self.woken(woken);
    }

    /// What must hold after every event.
    fn check(&mut self) {
        let config = PoolConfig::default();
        let hedges_owed = owed(self.hedges, config.hedge_share, self.firsts);
        self.hedges_owed_min = self.hedges_owed_min.min(hedges_owed);
        assert!(hedges_owed - self.hedges_owed_min <= i64::from(config.hedge_burst) * 1000);
        let retries_owed = owed(self.retries, config.retry_share, self.firsts);
        self.retries_owed_min = self.retries_owed_min.min(retries_owed);
        assert!(retries_owed - self.retries_owed_min <= i64::from(config.retry_burst) * 1000);
        assert_eq!(self.running.len(), self.pool.running(), "attempts leak");
        for status in self.pool.status(self.now) {
            let expected = self.running.values().filter(|id| **id == status.id).count();
            assert_eq!(expected, status.running as usize, "in flight at {}", status.id);
        }
    }

    /// Ends everything; no ticket may be left and none may have ended twice.
    fn close(&mut self) {
        while let Some(attempt) = self.running.keys().next().copied() {
            self.running.remove(&attempt);
            let woken = self.pool.finish(attempt, AttemptOutcome::Cancelled, None, self.now);
            self.woken(woken);
        }
        self.now = self.now.plus(Duration::from_secs(60));
        let woken = self.pool.expire(self.now);
        self.woken(woken);
        assert!(self.waiting.is_empty(), "a ticket never ended");
        assert_eq!(None, self.pool.next_expiry());
    }
}

/// Thousandths of extra attempts beyond their share of first ones. In any span of time its growth
/// is what the burst must cover.
fn owed(extras: u64, share: Permille, firsts: u64) -> i64 {
    let spent = i64::try_from(extras * 1000).expect("few events");
    let earned = i64::try_from(u64::from(share.value()) * firsts).expect("few events");
    spent - earned
}

fn nth<'a, T: Copy + 'a>(mut items: impl ExactSizeIterator<Item = &'a T>, pick: u8) -> Option<T> {
    let count = items.len().max(1);
    items.nth(usize::from(pick) % count).copied()
}

#[test]
fn any_order_of_events_keeps_the_promises() {
    fn property(events: Vec<(Event, u8)>, policy: u8) -> TestResult {
        let mut caller = Caller::new(Policy::ALL[usize::from(policy) % Policy::ALL.len()]);
        caller.apply(&Event::Publish { listed: 0b11_1111, draining: 0 });
        for (event, wait_ms) in events {
            caller.now = caller.now.plus(Duration::from_millis(u64::from(wait_ms % 16)));
            caller.apply(&event);
            caller.check();
        }
        caller.close();
        TestResult::passed()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, SEED))
        .tests(400)
        .quickcheck(property as fn(Vec<(Event, u8)>, u8) -> TestResult);
}
