//! The one process that may grant operations of the sessions it issued.

use std::time::Duration;

use shallotfork_types::{Incarnation, Mono, VmId};

use crate::ledger::Ledger;
use crate::{
    ClaimAnswer, ClaimId, Completion, CompletionAnswer, OnceConfig, OperationId, SealedLedger,
    Secret, Session,
};

/// The issuer grants operations.
#[derive(Debug)]
pub struct Open;

/// The issuer grants nothing new; granted operations may still complete.
#[derive(Debug)]
pub struct Draining {
    since: Mono,
}

/// Sessions and ledger of one incarnation of one VM.
///
/// An issuer is never rebuilt: after a restart there is a new one with a new incarnation, and
/// whatever the old one granted is answered as may-have-run.
#[derive(Debug)]
pub struct Issuer<Phase> {
    vm: VmId,
    incarnation: Incarnation,
    secret: Secret,
    config: OnceConfig,
    ledger: Ledger,
    last_serial: u64,
    /// No unknown key of a session up to this serial is ever granted.
    closed_through: u64,
    phase: Phase,
}

impl Issuer<Open> {
    /// Starts with an empty ledger. `incarnation` and `secret` are drawn at random by the caller.
    pub fn new(vm: VmId, incarnation: Incarnation, secret: Secret, config: OnceConfig) -> Self {
        Self {
            vm,
            incarnation,
            secret,
            config,
            ledger: Ledger::default(),
            last_serial: 0,
            closed_through: 0,
            phase: Open,
        }
    }

    /// Issues a session; it costs no memory until a key of it is claimed or closed.
    pub fn issue(&mut self, now: Mono) -> Session {
        self.last_serial += 1;
        Session::new(
            &self.vm,
            self.incarnation,
            self.last_serial,
            now,
            self.config.session_lifetime,
            &self.secret,
        )
    }

    /// Grants the operation if its key was never claimed or closed, else says what is known.
    ///
    /// A key refused for want of room must stay refused: another copy of the request may be held
    /// by a paused entry and arrive when there is room again, after the caller was told that
    /// nothing ran. A session over its own limit stays so until it ends, as it forgets nothing
    /// before. A full ledger gets room again when old sessions end, so its refusal closes every
    /// session issued so far, which takes one number; a caller goes on with a new session.
    pub fn claim(&mut self, operation: &OperationId, claim: &ClaimId, now: Mono) -> ClaimAnswer {
        if let Some(answer) = self.known(operation, now) {
            return answer;
        }
        let (session, key) = (operation.session(), operation.key());
        if self.is_used_up(session) {
            return ClaimAnswer::Full { retry_after: Duration::ZERO };
        }
        if !self.has_room() {
            self.closed_through = self.last_serial;
            return ClaimAnswer::Full { retry_after: self.time_to_room(now) };
        }
        self.ledger.grant(session, key, claim, now);
        ClaimAnswer::Granted
    }

    /// Makes sure that the operation never runs, unless it was granted to somebody else.
    ///
    /// An entry calls this before it tells a caller that a keyed operation was not run; the
    /// closer vouches that its own `claim` has not led to a run and never will. A full ledger
    /// has no room for a tombstone and closes every session issued so far in its place.
    pub fn close(&mut self, operation: &OperationId, claim: &ClaimId, now: Mono) -> ClaimAnswer {
        if self.give_up(operation, claim, now) {
            return ClaimAnswer::NotRun;
        }
        if let Some(answer) = self.known(operation, now) {
            return answer;
        }
        if self.is_used_up(operation.session()) {
            return ClaimAnswer::NotRun;
        }
        if self.has_room() {
            self.ledger.close(operation.session(), operation.key());
        } else {
            self.closed_through = self.last_serial;
        }
        ClaimAnswer::NotRun
    }

    /// Whether the session has named as many operations as it may, which lasts until it ends.
    fn is_used_up(&self, session: &Session) -> bool {
        self.ledger.operations_of(session) >= self.config.operations_per_session_max
    }

    /// Whether another operation would be granted.
    pub fn has_room(&self) -> bool {
        self.ledger.operations() < self.config.operations_max
    }

    /// Stops granting for good: the first step of a planned stop.
    pub fn drain(self, now: Mono) -> Issuer<Draining> {
        Issuer {
            vm: self.vm,
            incarnation: self.incarnation,
            secret: self.secret,
            config: self.config,
            ledger: self.ledger,
            last_serial: self.last_serial,
            closed_through: self.last_serial,
            phase: Draining { since: now },
        }
    }

    fn time_to_room(&self, now: Mono) -> Duration {
        self.ledger.next_end().map_or(Duration::ZERO, |end| end.since(now))
    }
}

impl Issuer<Draining> {
    /// Says what is known of the operation; an unknown one never runs.
    pub fn claim(&mut self, operation: &OperationId, now: Mono) -> ClaimAnswer {
        self.known(operation, now).unwrap_or(ClaimAnswer::NotRun)
    }

    /// Gives up the closer's own grant, if it holds it, and says what is known.
    pub fn close(&mut self, operation: &OperationId, claim: &ClaimId, now: Mono) -> ClaimAnswer {
        if self.give_up(operation, claim, now) {
            return ClaimAnswer::NotRun;
        }
        self.claim(operation, now)
    }

    /// Whether every granted operation has ended, or `grace` has passed since draining began.
    pub fn is_ready_to_seal(&self, grace: Duration, now: Mono) -> bool {
        self.ledger.running() == 0 || now.since(self.phase.since) >= grace
    }

    /// Fixes the ledger for good; what still runs becomes may-have-run.
    pub fn seal(mut self, now: Mono) -> SealedLedger {
        self.expire(now);
        SealedLedger {
            vm: self.vm,
            incarnation: self.incarnation,
            secret: self.secret,
            sealed_at: now,
            session_lifetime: self.config.session_lifetime,
            sessions: self.ledger.into_sealed(),
        }
    }
}

impl<Phase> Issuer<Phase> {
    /// The run of the process that this issuer lives and dies with.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Records the end of a granted operation, as reported by the holder of the grant.
    pub fn complete(
        &mut self,
        operation: &OperationId,
        claim: &ClaimId,
        completion: Completion,
        now: Mono,
    ) -> CompletionAnswer {
        if self.refusal(operation.session(), now).is_some() {
            return CompletionAnswer::Ignored;
        }
        let (session, key) = (operation.session(), operation.key());
        self.ledger.complete(session, key, claim, completion, &self.config)
    }

    /// Marks what a dead process was running as may-have-run; nothing of it is granted again.
    pub fn executor_lost(&mut self, executor: &VmId, incarnation: Incarnation) {
        self.ledger.executor_lost(executor, incarnation);
    }

    /// Forgets sessions that have ended.
    pub fn expire(&mut self, now: Mono) {
        self.ledger.expire(now);
    }

    /// Number of operations remembered.
    pub fn operations(&self) -> usize {
        self.ledger.operations()
    }

    /// Number of operations granted and not yet ended.
    pub fn running(&self) -> usize {
        self.ledger.running()
    }

    /// Bytes of answers kept for repeats.
    pub fn kept_bytes(&self) -> u64 {
        self.ledger.kept_bytes()
    }

    /// The answer for an operation that needs no decision.
    fn known(&mut self, operation: &OperationId, now: Mono) -> Option<ClaimAnswer> {
        self.expire(now);
        let (session, key) = (operation.session(), operation.key());
        if let Some(refusal) = self.refusal(session, now) {
            return Some(refusal);
        }
        if let Some(answer) = self.ledger.answer(session, key, &self.config, now) {
            return Some(answer);
        }
        (session.serial() <= self.closed_through).then_some(ClaimAnswer::NotRun)
    }

    /// Why nothing can be said under this session.
    ///
    /// A session of another incarnation is may-have-run: a restarted issuer has lost what it
    /// granted. So is an expired one, whose records are gone.
    fn refusal(&self, session: &Session, now: Mono) -> Option<ClaimAnswer> {
        if session.issuer() != &self.vm || session.incarnation() != self.incarnation {
            return Some(ClaimAnswer::MayHaveRun);
        }
        if !session.is_signed_by(&self.secret) {
            return Some(ClaimAnswer::BadSession);
        }
        (now >= session.ends_at()).then_some(ClaimAnswer::MayHaveRun)
    }

    /// Whether `claim` held the grant and has now given it up for good.
    fn give_up(&mut self, operation: &OperationId, claim: &ClaimId, now: Mono) -> bool {
        let answer = self.complete(operation, claim, Completion::NotRun, now);
        answer == CompletionAnswer::Recorded
    }
}
