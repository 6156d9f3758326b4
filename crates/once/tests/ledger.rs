//! Answers of issuer, sealed ledger and archive, case by case.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use shallotfork_once::{
    Archive, ClaimAnswer, ClaimId, Completion, CompletionAnswer, Issuer, KeptAnswer, OnceConfig,
    Open, OperationId, SealedSession, Secret, Session,
};
use shallotfork_types::{Bytes, IdempotencyKey, Incarnation, Mono, VmId};

const START: Mono = Mono::ZERO;

struct Fixture {
    issuer: Issuer<Open>,
    session: Session,
}

impl Fixture {
    fn new() -> Self {
        Self::with_config(OnceConfig::new())
    }

    fn with_config(config: OnceConfig) -> Self {
        let vm = VmId::new("issuer").unwrap();
        let secret = Secret::new([1; 32]);
        let mut issuer = Issuer::new(vm, Incarnation::new(1), secret, config);
        let session = issuer.issue(START);
        Self { issuer, session }
    }

    fn operation(&self, key: &str) -> OperationId {
        OperationId::new(self.session.clone(), IdempotencyKey::new(key).unwrap())
    }

    fn claim(&mut self, key: &str, number: u64) -> ClaimAnswer {
        self.issuer.claim(&self.operation(key), &claim_id(number), START)
    }

    fn close(&mut self, key: &str, number: u64) -> ClaimAnswer {
        self.issuer.close(&self.operation(key), &claim_id(number), START)
    }

    fn complete(&mut self, key: &str, number: u64, completion: Completion) -> CompletionAnswer {
        self.issuer.complete(&self.operation(key), &claim_id(number), completion, START)
    }
}

fn claim_id(number: u64) -> ClaimId {
    ClaimId::new(VmId::new("executor").unwrap(), Incarnation::new(5), number)
}

fn answer(body: &[u8]) -> Arc<KeptAnswer> {
    Arc::new(KeptAnswer { status: 201, headers: Vec::new(), body: body.to_vec() })
}

fn after(wait: Duration) -> Mono {
    START.plus(wait)
}

#[test]
fn a_repeat_gets_the_kept_answer() {
    let mut fixture = Fixture::new();
    assert_eq!(ClaimAnswer::Granted, fixture.claim("k", 1));
    assert_eq!(ClaimAnswer::InProgress, fixture.claim("k", 2));
    let ran = Completion::Ran(answer(b"done"));
    assert_eq!(CompletionAnswer::Recorded, fixture.complete("k", 1, ran));
    assert_eq!(ClaimAnswer::Kept(answer(b"done")), fixture.claim("k", 3));
}

#[test]
fn only_the_holder_of_the_grant_completes_it() {
    let mut fixture = Fixture::new();
    fixture.claim("k", 1);
    assert_eq!(CompletionAnswer::Ignored, fixture.complete("k", 2, Completion::NotRun));
    assert_eq!(ClaimAnswer::InProgress, fixture.close("k", 2));
    assert_eq!(ClaimAnswer::NotRun, fixture.close("k", 1));
}

/// An entry's claim times out, it closes the operation and tells its caller "not run". The claim
/// was only late and reaches the issuer now: a grant would run what was called not run.
#[test]
fn a_claim_that_arrives_after_its_close_is_refused() {
    let mut fixture = Fixture::new();
    assert_eq!(ClaimAnswer::NotRun, fixture.close("k", 1));
    assert_eq!(ClaimAnswer::NotRun, fixture.claim("k", 1));
}

/// An order desk's entry refuses an order because the ledger is full and says "not run"; the
/// clerk lodges it anew under another session. Later there is room, and a paused entry's copy of
/// the first order claims its key: a grant would run the order twice.
#[test]
fn a_key_refused_by_a_full_ledger_stays_refused_when_there_is_room() {
    let config = OnceConfig { operations_max: 1, ..OnceConfig::new() };
    let mut fixture = Fixture::with_config(config);
    fixture.claim("first", 1);
    let later = after(Duration::from_secs(300));
    let second = fixture.issuer.issue(later);
    let refused = OperationId::new(second, IdempotencyKey::new("second").unwrap());
    let expected = ClaimAnswer::Full { retry_after: Duration::from_secs(300) };
    assert_eq!(expected, fixture.issuer.claim(&refused, &claim_id(2), later));
    let roomy = after(Duration::from_secs(601));
    assert_eq!(ClaimAnswer::NotRun, fixture.issuer.claim(&refused, &claim_id(3), roomy));
    let third = fixture.issuer.issue(roomy);
    let fresh = OperationId::new(third, IdempotencyKey::new("third").unwrap());
    assert_eq!(ClaimAnswer::Granted, fixture.issuer.claim(&fresh, &claim_id(4), roomy));
}

#[test]
fn a_session_over_its_own_limit_grants_nothing_more_and_others_do() {
    let config = OnceConfig { operations_per_session_max: 1, ..OnceConfig::new() };
    let mut fixture = Fixture::with_config(config);
    fixture.claim("first", 1);
    let expected = ClaimAnswer::Full { retry_after: Duration::ZERO };
    assert_eq!(expected, fixture.claim("second", 2));
    assert_eq!(ClaimAnswer::NotRun, fixture.close("third", 3));
    assert_eq!(expected, fixture.claim("second", 4));
    assert_eq!(1, fixture.issuer.operations());
    fixture.session = fixture.issuer.issue(START);
    assert_eq!(ClaimAnswer::Granted, fixture.claim("second", 5));
}

#[test]
fn a_full_ledger_closes_without_a_tombstone() {
    let config = OnceConfig { operations_max: 1, ..OnceConfig::new() };
    let mut fixture = Fixture::with_config(config);
    fixture.claim("first", 1);
    let second = fixture.issuer.issue(after(Duration::from_secs(300)));
    let closed = OperationId::new(second, IdempotencyKey::new("second").unwrap());
    let roomy = after(Duration::from_secs(601));
    assert_eq!(ClaimAnswer::NotRun, fixture.issuer.close(&closed, &claim_id(2), START));
    assert_eq!(1, fixture.issuer.operations());
    assert_eq!(ClaimAnswer::InProgress, fixture.claim("first", 3));
    assert_eq!(ClaimAnswer::NotRun, fixture.issuer.claim(&closed, &claim_id(4), roomy));
}

#[test]
fn an_answer_over_the_limits_is_remembered_as_run() {
    let limits = OnceConfig {
        kept_answer_max: Bytes::new(4),
        kept_total_max: Bytes::new(6),
        ..OnceConfig::new()
    };
    let mut fixture = Fixture::with_config(limits);
    for (number, key) in (1..).zip(["fits", "long", "total"]) {
        fixture.claim(key, number);
    }
    fixture.complete("fits", 1, Completion::Ran(answer(b"1234")));
    fixture.complete("long", 2, Completion::Ran(answer(b"12345")));
    fixture.complete("total", 3, Completion::Ran(answer(b"123")));
    assert_eq!(ClaimAnswer::Kept(answer(b"1234")), fixture.claim("fits", 4));
    assert_eq!(ClaimAnswer::Ran, fixture.claim("long", 4));
    assert_eq!(ClaimAnswer::Ran, fixture.claim("total", 4));
    fixture.issuer.expire(after(Duration::from_secs(600)));
    assert_eq!((0, 0), (fixture.issuer.operations(), fixture.issuer.kept_bytes()));
}

/// An entry dies while an order runs at a target. The clerk's repeat must not run it again, and
/// is told "may have run" as soon as the death is known or the run has taken too long.
#[test]
fn what_a_dead_executor_held_is_never_granted_again() {
    let mut fixture = Fixture::new();
    fixture.claim("k", 1);
    fixture.claim("slow", 2);
    let late = after(OnceConfig::new().run_timeout);
    let slow = fixture.operation("slow");
    assert_eq!(ClaimAnswer::MayHaveRun, fixture.issuer.claim(&slow, &claim_id(3), late));
    let executor = VmId::new("executor").unwrap();
    fixture.issuer.executor_lost(&executor, Incarnation::new(6));
    assert_eq!(ClaimAnswer::InProgress, fixture.claim("k", 4));
    fixture.issuer.executor_lost(&executor, Incarnation::new(5));
    assert_eq!(ClaimAnswer::MayHaveRun, fixture.claim("k", 5));
    assert_eq!(0, fixture.issuer.running());
}

#[test]
fn an_expired_session_is_may_have_run() {
    let mut fixture = Fixture::new();
    let operation = fixture.operation("k");
    let end = after(Duration::from_secs(600));
    assert_eq!(ClaimAnswer::MayHaveRun, fixture.issuer.claim(&operation, &claim_id(1), end));
    assert_eq!(ClaimAnswer::MayHaveRun, fixture.issuer.close(&operation, &claim_id(1), end));
}

#[test]
fn another_incarnation_is_may_have_run() {
    let fixture = Fixture::new();
    let vm = VmId::new("issuer").unwrap();
    let secret = Secret::new([2; 32]);
    let mut restarted = Issuer::new(vm, Incarnation::new(2), secret, OnceConfig::new());
    let actual = restarted.claim(&fixture.operation("k"), &claim_id(1), START);
    assert_eq!(ClaimAnswer::MayHaveRun, actual);
}

#[test]
fn a_sealed_ledger_answers_as_its_issuer_would() {
    let mut fixture = Fixture::new();
    for (number, key) in (1..).zip(["kept", "ran", "running"]) {
        fixture.claim(key, number);
    }
    fixture.complete("kept", 1, Completion::Ran(answer(b"done")));
    fixture.complete("ran", 2, Completion::RanUnkept);
    fixture.close("closed", 4);
    let operations = ["kept", "ran", "running", "closed", "unknown"].map(|k| fixture.operation(k));
    let mut draining = fixture.issuer.drain(START);
    assert_eq!(ClaimAnswer::NotRun, draining.claim(&operations[4], START));
    let grace = Duration::from_secs(1);
    assert!(!draining.is_ready_to_seal(grace, START));
    assert!(draining.is_ready_to_seal(grace, after(grace)));
    let mut archive = Archive::new(OnceConfig::new());
    assert!(archive.add(draining.seal(after(grace)), START));
    let expected = [
        ClaimAnswer::Kept(answer(b"done")),
        ClaimAnswer::Ran,
        ClaimAnswer::MayHaveRun,
        ClaimAnswer::NotRun,
        ClaimAnswer::NotRun,
    ];
    assert_eq!(expected.map(Some), operations.clone().map(|o| archive.lookup(&o)));
    archive.expire(after(OnceConfig::new().session_lifetime));
    assert_eq!(None, archive.lookup(&operations[0]));
}

/// A session expired before its issuer was sealed, so its orders were forgotten. The archive
/// must not take their absence for proof that they never ran.
#[test]
fn a_session_that_ended_before_the_seal_is_may_have_run() {
    let mut fixture = Fixture::new();
    fixture.claim("k", 1);
    fixture.complete("k", 1, Completion::RanUnkept);
    let operation = fixture.operation("k");
    let end = after(Duration::from_secs(600));
    let sealed = fixture.issuer.drain(end).seal(end);
    assert_eq!(ClaimAnswer::MayHaveRun, sealed.lookup(&operation));
}

#[test]
fn a_sealed_ledger_cut_for_the_wire_keeps_what_ran() {
    let mut fixture = Fixture::new();
    for (number, key) in (1..).zip(["a", "b"]) {
        fixture.claim(key, number);
        fixture.complete(key, number, Completion::Ran(answer(b"1234")));
    }
    let (a, b) = (fixture.operation("a"), fixture.operation("b"));
    let sealed = fixture.issuer.drain(START).seal(START).with_answers_within(Bytes::new(7));
    assert_eq!(ClaimAnswer::Kept(answer(b"1234")), sealed.lookup(&a));
    assert_eq!(ClaimAnswer::Ran, sealed.lookup(&b));
}

#[test]
fn a_full_archive_refuses_and_keeps_what_it_has() {
    let config = OnceConfig { archived_ledgers_max: 1, ..OnceConfig::new() };
    let mut archive = Archive::new(config);
    let first = Fixture::new().issuer.drain(START).seal(START);
    let vm = VmId::new("other").unwrap();
    let other = Issuer::new(vm, Incarnation::new(8), Secret::new([2; 32]), OnceConfig::new());
    assert!(archive.add(first.clone(), START));
    assert!(archive.add(first, START));
    assert!(!archive.add(other.drain(START).seal(START), START));
    assert_eq!(1, archive.len());
}

/// A peer of another version lists a session twice in one part. The half that a search would miss
/// must not be taken for orders that never ran.
#[test]
fn a_session_listed_twice_is_found_whole() {
    let mut fixture = Fixture::new();
    for (number, key) in (1..).zip(["a", "b"]) {
        fixture.claim(key, number);
        fixture.complete(key, number, Completion::RanUnkept);
    }
    let operations = ["a", "b"].map(|key| fixture.operation(key));
    let mut sealed = fixture.issuer.drain(START).seal(START);
    let second = sealed.sessions[0].operations.split_off(1);
    let serial = sealed.sessions[0].serial;
    sealed.sessions.push(SealedSession { serial, operations: second });
    let mut archive = Archive::new(OnceConfig::new());
    assert!(archive.add(sealed, START));
    let expected = [Some(ClaimAnswer::Ran), Some(ClaimAnswer::Ran)];
    assert_eq!(expected, operations.map(|operation| archive.lookup(&operation)));
}

/// A peer that holds a departed issuer's ledger leaves too, and passes it on. The ledger must not
/// live longer by that than its sessions do.
#[test]
fn a_ledger_passed_on_keeps_its_end() {
    let mut fixture = Fixture::new();
    fixture.claim("k", 1);
    fixture.complete("k", 1, Completion::RanUnkept);
    let operation = fixture.operation("k");
    let mut first = Archive::new(OnceConfig::new());
    first.add(fixture.issuer.drain(START).seal(START), START);
    let later = after(Duration::from_secs(400));
    let mut second = Archive::new(OnceConfig::new());
    for ledger in first.ledgers_to_forward(later) {
        second.add(ledger, later);
    }
    assert_eq!(Some(ClaimAnswer::Ran), second.lookup(&operation));
    second.expire(after(Duration::from_secs(599)));
    assert_eq!(1, second.len());
    second.expire(after(Duration::from_secs(600)));
    assert!(second.is_empty());
}

/// A large ledger is handed over in parts, and an entry asks the archive in between. An order in a
/// part still to come must not be called "not run".
#[test]
fn a_ledger_in_parts_proves_absence_only_when_it_is_whole() {
    let mut fixture = Fixture::new();
    for (number, key) in (1..).zip(["c", "a", "b"]) {
        fixture.claim(key, number);
        fixture.complete(key, number, Completion::RanUnkept);
    }
    let operations = ["a", "b", "c", "unknown"].map(|key| fixture.operation(key));
    let parts = fixture.issuer.drain(START).seal(START).into_parts(Bytes::new(1));
    assert_eq!(3, parts.len());
    let mut archive = Archive::new(OnceConfig::new());
    for (index, part) in parts.into_iter().enumerate().rev() {
        assert!(archive.add_part(part.clone(), START));
        assert!(archive.add_part(part, START));
        let listed = operations[..3].iter().filter(|o| archive.lookup(o).is_some()).count();
        assert_eq!(3 - index, listed);
        let whole = (index == 0).then_some(ClaimAnswer::NotRun);
        assert_eq!(whole, archive.lookup(&operations[3]));
    }
}
