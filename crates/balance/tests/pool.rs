//! Property test of the pool with arbitrary sequences of events.

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
    Admit { priority: u8, timeout_ms: u16, exclude: u8 },
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
                timeout_ms: u16::arbitrary(g) % 500,
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

fn target_ids(bits: u8) -> Vec<TargetId> {
    (0..TARGETS).filter(|number| bits & (1 << number) != 0).map(target_id).collect()
}

fn published(listed: u8, draining: u8) -> Vec<PoolTarget> {
    let domain = FailureDomain::new("boulder").expect("a valid name");
    let draining_ids = target_ids(draining);
    let target = |id: TargetId| {
        let state =
            if draining_ids.contains(&id) { TargetState::Draining } else { TargetState::Serving };
        PoolTarget::new(id, domain.clone(), 2).with_state(state)
    };
    target_ids(listed).into_iter().map(target).collect()
}

/// A model of the pool's state, kept independently of the pool.
struct PoolModel {
    pool: Pool,
    now: Mono,
    serving: Vec<TargetId>,
    running: BTreeMap<AttemptId, TargetId>,
    waiting: BTreeMap<Ticket, PoolRequest>,
    ended: BTreeSet<Ticket>,
    first_attempts: u64,
    hedges: u64,
    retries: u64,
    hedges_excess_min: i64,
    retries_excess_min: i64,
}

impl PoolModel {
    fn new(policy: Policy) -> Self {
        let config = PoolConfig { policy, queue_max: 8, ..PoolConfig::default() };
        Self {
            pool: Pool::new(config, SEED),
            now: Mono::ZERO,
            serving: Vec::new(),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            ended: BTreeSet::new(),
            first_attempts: 0,
            hedges: 0,
            retries: 0,
            hedges_excess_min: 0,
            retries_excess_min: 0,
        }
    }

    fn request(&self, timeout_ms: u16, exclude: u8) -> PoolRequest {
        let deadline = self.now.plus(Duration::from_millis(u64::from(timeout_ms)));
        PoolRequest::new(deadline).with_exclude(target_ids(exclude))
    }

    fn record_assignment(&mut self, assignment: Assignment, request: &PoolRequest) {
        assert!(self.serving.contains(&assignment.target), "assigned a target that is not serving");
        assert!(!request.exclude.contains(&assignment.target), "assigned an excluded target");
        assert!(request.deadline > self.now, "assigned after the deadline");
        let previous = self.running.insert(assignment.attempt, assignment.target);
        assert!(previous.is_none(), "an attempt id was used twice");
    }

    fn record_admission(&mut self, admission: Admission, request: PoolRequest) {
        match admission {
            Admission::Send(assignment) => self.record_assignment(assignment, &request),
            Admission::Queued(ticket) => assert!(self.waiting.insert(ticket, request).is_none()),
            Admission::Shed(shed) => {
                let has_target = self.serving.iter().any(|id| !request.exclude.contains(id));
                assert_eq!(
                    has_target || request.deadline <= self.now,
                    shed.reason != ShedReason::NoTarget || request.deadline <= self.now,
                    "shed for lack of targets although one can serve, or the reverse"
                );
            }
        }
    }

    fn record_resolved(&mut self, resolved: Vec<ResolvedTicket>) {
        for ResolvedTicket { ticket, resolution } in resolved {
            assert!(self.ended.insert(ticket), "a ticket ended twice");
            let request = self.waiting.remove(&ticket).expect("only waiting tickets are resolved");
            if let Resolution::Send(assignment) = resolution {
                self.record_assignment(assignment, &request);
            }
        }
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Admit { priority, timeout_ms, exclude } => {
                self.first_attempts += 1;
                let request =
                    self.request(timeout_ms, exclude).with_priority(Priority::new(priority));
                let admission = self.pool.admit(request.clone(), self.now);
                self.record_admission(admission, request);
            }
            Event::Retry { exclude } => {
                let request = self.request(300, exclude);
                let admission = self.pool.retry(request.clone(), self.now);
                let is_rejected =
                    matches!(admission, Admission::Shed(s) if s.reason == ShedReason::RetryBudget);
                self.retries += u64::from(!is_rejected);
                if !is_rejected {
                    self.record_admission(admission, request);
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
                let resolved = self.pool.set_targets(&targets, self.now);
                self.record_resolved(resolved);
            }
            Event::Report { target, in_flight } => {
                let report =
                    LoadReport { in_flight: Some(u32::from(in_flight)), ..LoadReport::default() };
                self.pool.report(&target_id(target), report, self.now);
            }
            Event::Expire => {
                let resolved = self.pool.expire(self.now);
                self.record_resolved(resolved);
            }
        }
    }

    fn hedge(&mut self, pick: u8) {
        let Some(attempt) = nth(self.running.keys(), pick) else { return };
        let first = self.running[&attempt].clone();
        let request = self.request(300, 0);
        let Some(assignment) = self.pool.hedge(attempt, request.clone(), self.now) else { return };
        assert_ne!(first, assignment.target, "hedged to the same target");
        self.hedges += 1;
        self.record_assignment(assignment, &request);
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
        let resolved = self.pool.finish(attempt, outcome, None, self.now);
        self.record_resolved(resolved);
    }

    /// Checks the invariants that hold after every event.
    fn check_invariants(&mut self) {
        let config = PoolConfig::default();
        let hedges_excess = excess_milli(self.hedges, config.hedge_share, self.first_attempts);
        self.hedges_excess_min = self.hedges_excess_min.min(hedges_excess);
        assert!(hedges_excess - self.hedges_excess_min <= i64::from(config.hedge_burst) * 1000);
        let retries_excess = excess_milli(self.retries, config.retry_share, self.first_attempts);
        self.retries_excess_min = self.retries_excess_min.min(retries_excess);
        assert!(retries_excess - self.retries_excess_min <= i64::from(config.retry_burst) * 1000);
        assert_eq!(self.running.len(), self.pool.running(), "attempts leak");
        for status in self.pool.status(self.now) {
            let expected = self.running.values().filter(|id| **id == status.id).count();
            assert_eq!(expected, status.running as usize, "in flight at {}", status.id);
        }
    }

    /// Finishes all attempts and expires the queue; every ticket must have ended exactly once.
    fn finish_all(&mut self) {
        while let Some(attempt) = self.running.keys().next().copied() {
            self.running.remove(&attempt);
            let resolved = self.pool.finish(attempt, AttemptOutcome::Cancelled, None, self.now);
            self.record_resolved(resolved);
        }
        self.now = self.now.plus(Duration::from_secs(60));
        let resolved = self.pool.expire(self.now);
        self.record_resolved(resolved);
        assert!(self.waiting.is_empty(), "a ticket never ended");
        assert_eq!(None, self.pool.next_expiry());
    }
}

/// Returns the extra attempts beyond their share of first attempts, in thousandths. In any span of
/// time, its growth is at most the burst.
fn excess_milli(extra_attempts: u64, share: Permille, first_attempts: u64) -> i64 {
    let used = i64::try_from(extra_attempts * 1000).expect("few events");
    let earned = i64::try_from(u64::from(share.value()) * first_attempts).expect("few events");
    used - earned
}

fn nth<'a, T: Copy + 'a>(mut items: impl ExactSizeIterator<Item = &'a T>, pick: u8) -> Option<T> {
    let count = items.len().max(1);
    items.nth(usize::from(pick) % count).copied()
}

#[test]
fn pool_invariants_hold_for_any_event_order() {
    fn property(events: Vec<(Event, u8)>, policy: u8) -> TestResult {
        let mut model = PoolModel::new(Policy::ALL[usize::from(policy) % Policy::ALL.len()]);
        model.apply(&Event::Publish { listed: 0b11_1111, draining: 0 });
        for (event, wait_ms) in events {
            model.now = model.now.plus(Duration::from_millis(u64::from(wait_ms % 16)));
            model.apply(&event);
            model.check_invariants();
        }
        model.finish_all();
        TestResult::passed()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, SEED))
        .tests(400)
        .quickcheck(property as fn(Vec<(Event, u8)>, u8) -> TestResult);
}
