//! For any interleaving of messages, losses, pauses, restarts and planned stops, no operation is granted
//! twice, and "not run" is never reported for one that ran or will run.
#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use shallotfork_once::{
    Archive, ClaimAnswer, ClaimId, Completion, Draining, Issuer, OnceConfig, Open, OperationId,
    Secret, Session,
};
use shallotfork_types::{Bytes, IdempotencyKey, Incarnation, Mono, Verdict, VmId};

const SIZE: usize = 120;
const SEED: u64 = 20;
const RUNS: u64 = 6000;
const ENTRIES: u8 = 3;
const KEYS: u8 = 4;

/// One simulated event. Numbers select one of the items that exist at that moment.
#[derive(Debug, Clone)]
enum Event {
    /// A caller gets a session.
    Issue,
    /// A caller sends a request, or a copy of it, to an entry, which claims the operation.
    Send { entry: u8, session: u8, key: u8 },
    /// An entry rejects a request before claiming the operation, and therefore closes it.
    Refuse { entry: u8, session: u8, key: u8 },
    /// A message between an entry and the issuer arrives; messages may be reordered.
    Deliver { message: u8 },
    /// A message is lost.
    Drop { message: u8 },
    /// An entry stops waiting for the answer to a claim and closes the operation under the same claim.
    AbandonClaim { waiting: u8 },
    /// An entry that holds a grant sends the request to a target and learns the outcome.
    Run { granted: u8, outcome: RunOutcome },
    /// The issuer is notified that an entry died, which need not be true.
    Suspect { entry: u8 },
    /// The clock advances for all processes.
    AdvanceClock { seconds: u8 },
    /// The issuer is killed and restarts with another incarnation.
    Restart,
    /// The issuer begins a planned stop.
    Drain,
    /// The issuer seals its ledger, and two peers receive it.
    Seal,
}

#[derive(Debug, Clone, Copy)]
enum RunOutcome {
    Ran,
    NotRun,
    MayHaveRun,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let any = u8::arbitrary;
        match any(g) % 32 {
            0..2 => Self::Issue,
            2..8 => Self::Send { entry: any(g) % ENTRIES, session: any(g), key: any(g) % KEYS },
            8..11 => Self::Refuse { entry: any(g) % ENTRIES, session: any(g), key: any(g) % KEYS },
            11..20 => Self::Deliver { message: any(g) },
            20..22 => Self::Drop { message: any(g) },
            22..24 => Self::AbandonClaim { waiting: any(g) },
            24..27 => {
                let outcome = *g
                    .choose(&[RunOutcome::Ran, RunOutcome::NotRun, RunOutcome::MayHaveRun])
                    .unwrap();
                Self::Run { granted: any(g), outcome }
            }
            27 => Self::Suspect { entry: any(g) % ENTRIES },
            28..30 => Self::AdvanceClock { seconds: any(g) % 8 },
            30 if any(g) % 2 == 0 => Self::Issue,
            30 => g.choose(&[Self::Restart, Self::Drain, Self::Drain]).unwrap().clone(),
            _ => Self::Seal,
        }
    }
}

/// Limits small enough for short runs to reach them.
#[derive(Debug, Clone)]
struct Limits {
    session_lifetime_s: u8,
    operations_max: u8,
    operations_per_session_max: u8,
}

impl Arbitrary for Limits {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            session_lifetime_s: *g.choose(&[10, 20, 40]).unwrap(),
            operations_max: *g.choose(&[1, 3, 9]).unwrap(),
            operations_per_session_max: *g.choose(&[1, 2, 4]).unwrap(),
        }
    }
}

/// A message in transit between an entry and the issuer.
#[derive(Debug, Clone)]
enum Message {
    Claim { operation: usize, claim: ClaimId },
    Close { operation: usize, claim: ClaimId },
    Complete { operation: usize, claim: ClaimId, completion: Completion },
    Answer { operation: usize, claim: ClaimId, answer: ClaimAnswer },
}

enum Phase {
    Open(Issuer<Open>),
    Draining(Issuer<Draining>),
    Sealed,
}

/// Simulation of one issuing VM, entries, messages in transit, and the verdicts reported to callers.
struct Simulation {
    config: OnceConfig,
    now: Mono,
    incarnation: u64,
    phase: Phase,
    archives: [Archive; 2],
    sessions: Vec<Session>,
    operations: Vec<OperationId>,
    messages: Vec<Message>,
    /// Claims whose entry is waiting for an answer.
    waiting: Vec<(usize, ClaimId)>,
    /// Grants received by a waiting entry and not used yet.
    granted: Vec<(usize, ClaimId)>,
    claims: u64,
    /// Number of grants by operation.
    grants: BTreeMap<usize, usize>,
    ran: BTreeSet<usize>,
    reported_not_run: BTreeSet<usize>,
}

impl Simulation {
    fn new(limits: &Limits) -> Self {
        let config = OnceConfig {
            session_lifetime: Duration::from_secs(u64::from(limits.session_lifetime_s)),
            run_timeout: Duration::from_secs(8),
            operations_max: usize::from(limits.operations_max),
            operations_per_session_max: usize::from(limits.operations_per_session_max),
            kept_total_max: Bytes::new(0),
            ..OnceConfig::new()
        };
        Self {
            phase: Phase::Open(issuer(1, &config)),
            archives: [Archive::new(config.clone()), Archive::new(config.clone())],
            config,
            now: Mono::ZERO,
            incarnation: 1,
            sessions: Vec::new(),
            operations: Vec::new(),
            messages: Vec::new(),
            waiting: Vec::new(),
            granted: Vec::new(),
            claims: 0,
            grants: BTreeMap::new(),
            ran: BTreeSet::new(),
            reported_not_run: BTreeSet::new(),
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Issue => self.issue(),
            Event::Send { entry, session, key } => self.send(entry, session, key),
            Event::Refuse { entry, session, key } => self.refuse(entry, session, key),
            Event::Deliver { message } => self.deliver(message),
            Event::Drop { message } => drop(take(&mut self.messages, message)),
            Event::AbandonClaim { waiting } => self.abandon_claim(waiting),
            Event::Run { granted, outcome } => self.run(granted, outcome),
            Event::Suspect { entry } => self.suspect(entry),
            Event::AdvanceClock { seconds } => {
                self.now = self.now.plus(Duration::from_secs(u64::from(seconds)));
            }
            Event::Restart => self.restart(),
            Event::Drain => self.drain(),
            Event::Seal => self.seal(),
        }
    }

    fn issue(&mut self) {
        if let Phase::Open(issuer) = &mut self.phase {
            self.sessions.push(issuer.issue(self.now));
        }
    }

    fn operation(&mut self, session: u8, key: u8) -> Option<usize> {
        let session = pick(&self.sessions, session)?.clone();
        let key = IdempotencyKey::new(&format!("k{key}")).unwrap();
        let operation = OperationId::new(session, key);
        if let Some(known) = self.operations.iter().position(|o| *o == operation) {
            return Some(known);
        }
        self.operations.push(operation);
        Some(self.operations.len() - 1)
    }

    fn next_claim(&mut self, entry: u8) -> ClaimId {
        self.claims += 1;
        let vm = VmId::new(&format!("entry-{entry}")).unwrap();
        ClaimId::new(vm, Incarnation::new(1), self.claims)
    }

    fn send(&mut self, entry: u8, session: u8, key: u8) {
        let Some(operation) = self.operation(session, key) else { return };
        let claim = self.next_claim(entry);
        self.waiting.push((operation, claim.clone()));
        self.messages.push(Message::Claim { operation, claim });
    }

    fn refuse(&mut self, entry: u8, session: u8, key: u8) {
        let Some(operation) = self.operation(session, key) else { return };
        let claim = self.next_claim(entry);
        self.messages.push(Message::Close { operation, claim });
    }

    fn deliver(&mut self, message: u8) {
        let Some(message) = take(&mut self.messages, message) else { return };
        match message {
            Message::Claim { operation, claim } => {
                let answer = self.call_issuer(operation, &claim, false);
                if answer == ClaimAnswer::Granted {
                    *self.grants.entry(operation).or_default() += 1;
                }
                self.messages.push(Message::Answer { operation, claim, answer });
            }
            Message::Close { operation, claim } => {
                let answer = self.call_issuer(operation, &claim, true);
                self.messages.push(Message::Answer { operation, claim, answer });
            }
            Message::Complete { operation, claim, completion } => {
                let id = &self.operations[operation];
                match &mut self.phase {
                    Phase::Open(issuer) => issuer.complete(id, &claim, completion, self.now),
                    Phase::Draining(issuer) => issuer.complete(id, &claim, completion, self.now),
                    Phase::Sealed => return,
                };
            }
            Message::Answer { operation, claim, answer } => {
                self.on_answer(operation, &claim, &answer)
            }
        }
    }

    fn call_issuer(&mut self, operation: usize, claim: &ClaimId, close: bool) -> ClaimAnswer {
        let id = &self.operations[operation];
        match &mut self.phase {
            Phase::Open(issuer) if close => issuer.close(id, claim, self.now),
            Phase::Open(issuer) => issuer.claim(id, claim, self.now),
            Phase::Draining(issuer) if close => issuer.close(id, claim, self.now),
            Phase::Draining(issuer) => issuer.claim(id, self.now),
            Phase::Sealed => self.look_up_in_archives(operation),
        }
    }

    fn look_up_in_archives(&mut self, operation: usize) -> ClaimAnswer {
        let id = &self.operations[operation];
        let [first, second] = &mut self.archives;
        first.expire(self.now);
        let answers = (first.lookup(id), second.lookup(id));
        if let (Some(first), Some(second)) = &answers {
            assert_eq!(first, second, "copies of a sealed ledger disagree");
        }
        answers.0.or(answers.1).unwrap_or(ClaimAnswer::MayHaveRun)
    }

    /// Processes an answer at an entry; a grant is used only if the entry is still waiting for it.
    fn on_answer(&mut self, operation: usize, claim: &ClaimId, answer: &ClaimAnswer) {
        let waiting_index = self.waiting.iter().position(|(_, waiting)| waiting == claim);
        match (answer.verdict(), waiting_index) {
            (None, Some(index)) => self.granted.push(self.waiting.remove(index)),
            (Some(Verdict::NotRun), _) => {
                self.reported_not_run.insert(operation);
            }
            _ => {}
        }
    }

    fn abandon_claim(&mut self, waiting: u8) {
        let Some((operation, claim)) = take(&mut self.waiting, waiting) else { return };
        self.messages.push(Message::Close { operation, claim });
    }

    fn run(&mut self, granted: u8, outcome: RunOutcome) {
        let Some((operation, claim)) = take(&mut self.granted, granted) else { return };
        let completion = match outcome {
            RunOutcome::Ran => Completion::RanUnkept,
            RunOutcome::NotRun => Completion::NotRun,
            RunOutcome::MayHaveRun => Completion::MayHaveRun,
        };
        match outcome {
            RunOutcome::NotRun => self.reported_not_run.insert(operation),
            RunOutcome::Ran | RunOutcome::MayHaveRun => self.ran.insert(operation),
        };
        self.messages.push(Message::Complete { operation, claim, completion });
    }

    fn suspect(&mut self, entry: u8) {
        let vm = VmId::new(&format!("entry-{entry}")).unwrap();
        match &mut self.phase {
            Phase::Open(issuer) => issuer.executor_lost(&vm, Incarnation::new(1)),
            Phase::Draining(issuer) => issuer.executor_lost(&vm, Incarnation::new(1)),
            Phase::Sealed => {}
        }
    }

    fn restart(&mut self) {
        self.incarnation += 1;
        self.phase = Phase::Open(issuer(self.incarnation, &self.config));
    }

    fn drain(&mut self) {
        self.phase = match std::mem::replace(&mut self.phase, Phase::Sealed) {
            Phase::Open(issuer) => Phase::Draining(issuer.drain(self.now)),
            other => other,
        };
    }

    fn seal(&mut self) {
        self.phase = match std::mem::replace(&mut self.phase, Phase::Sealed) {
            Phase::Draining(issuer) => {
                let sealed = issuer.seal(self.now);
                let [first, second] = &mut self.archives;
                first.add(sealed.clone(), self.now);
                second.add(sealed, self.now);
                Phase::Sealed
            }
            other => other,
        };
    }

    fn invariants_hold(&self) -> bool {
        let is_granted_once = self.grants.values().all(|grants| *grants == 1);
        is_granted_once && self.ran.is_disjoint(&self.reported_not_run)
    }
}

fn issuer(incarnation: u64, config: &OnceConfig) -> Issuer<Open> {
    let vm = VmId::new("issuer").unwrap();
    let secret = Secret::new([u8::try_from(incarnation % 256).unwrap(); 32]);
    Issuer::new(vm, Incarnation::new(incarnation), secret, config.clone())
}

fn pick<T>(items: &[T], selector: u8) -> Option<&T> {
    items.get(usize::from(selector) % items.len().max(1))
}

fn take<T>(items: &mut Vec<T>, selector: u8) -> Option<T> {
    if items.is_empty() {
        return None;
    }
    Some(items.swap_remove(usize::from(selector) % items.len()))
}

/// Number of cases covered in all runs, which shows that the property was exercised.
#[derive(Debug, Default)]
struct Coverage {
    granted: usize,
    ran: usize,
    reported_not_run: usize,
}

/// Copies of an operation arrive at several entries, claims and answers are lost or delayed, and the
/// issuer is paused, restarted or stopped. The operation must never run twice, and must never run after
/// it was reported as "not run", because the caller then repeats it.
#[test]
fn operations_are_granted_once_and_not_run_is_final() {
    thread_local! {
        static COVERAGE: std::cell::RefCell<Coverage> = std::cell::RefCell::default();
    }
    fn property(limits: Limits, events: Vec<Event>) -> TestResult {
        let mut simulation = Simulation::new(&limits);
        simulation.issue();
        for event in events {
            simulation.step(event);
            if !simulation.invariants_hold() {
                return TestResult::failed();
            }
        }
        COVERAGE.with_borrow_mut(|coverage| {
            coverage.granted += simulation.grants.len();
            coverage.ran += simulation.ran.len();
            coverage.reported_not_run += simulation.reported_not_run.len();
        });
        TestResult::passed()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(RUNS)
        .max_tests(RUNS)
        .quickcheck(property as fn(Limits, Vec<Event>) -> TestResult);
    let coverage = COVERAGE.take();
    println!("{RUNS} runs: {coverage:?}");
    let min_count = usize::try_from(RUNS / 4).unwrap();
    assert!(
        coverage.granted > min_count
            && coverage.ran > min_count
            && coverage.reported_not_run > min_count,
        "{coverage:?}"
    );
}
