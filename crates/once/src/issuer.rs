//! Issuer of sessions: the only process that may grant operations of the sessions it issued.

use std::time::Duration;

use shallotfork_types::{Incarnation, Mono, VmId};

use crate::ledger::Ledger;
use crate::{
    ClaimAnswer, ClaimId, Completion, CompletionAnswer, OnceConfig, OperationId, SealedLedger,
    Secret, Session,
};

/// Phase of an issuer that grants operations.
#[derive(Debug)]
pub struct Open;

/// Phase of an issuer that grants no further operations; granted operations may still complete.
#[derive(Debug)]
pub struct Draining {
    started_at: Mono,
}

/// Sessions and ledger of one incarnation of one VM.
///
/// An issuer is never restored after a restart: the new process has a new issuer with a new
/// incarnation, and operations of the old one are answered as may-have-run.
#[derive(Debug)]
pub struct Issuer<Phase> {
    vm: VmId,
    incarnation: Incarnation,
    secret: Secret,
    config: OnceConfig,
    ledger: Ledger,
    last_serial: u64,
    /// Unknown keys of sessions up to this serial are never granted.
    closed_through: u64,
    phase: Phase,
}

impl Issuer<Open> {
    /// Creates an issuer with an empty ledger. The calling code draws `incarnation` and `secret` at
    /// random.
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

    /// Issues a session. A session uses no memory until one of its keys is claimed or closed.
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

    /// Grants the operation if its key was never claimed or closed; otherwise returns its known state.
    ///
    /// A key rejected because the ledger is full must stay rejected: a paused entry may hold
    /// another copy of the request and claim it once there is capacity again, after it was reported
    /// to the caller that the operation did not run. A session at its own limit stays there until
    /// it ends, as its operations are kept until then. A full ledger regains capacity when old
    /// sessions end, so its rejection closes every session issued so far, for which storing one
    /// serial is enough; the caller continues with a new session.
    pub fn claim(&mut self, operation: &OperationId, claim: &ClaimId, now: Mono) -> ClaimAnswer {
        if let Some(answer) = self.known_answer(operation, now) {
            return answer;
        }
        let (session, key) = (operation.session(), operation.key());
        if self.is_at_operation_limit(session) {
            return ClaimAnswer::Full { retry_after: Duration::ZERO };
        }
        if !self.has_room() {
            self.closed_through = self.last_serial;
            return ClaimAnswer::Full { retry_after: self.time_until_capacity(now) };
        }
        self.ledger.grant(session, key, claim, now);
        ClaimAnswer::Granted
    }

    /// Ensures that the operation never runs, unless it was granted to another claim.
    ///
    /// An entry calls this before it reports to a caller that a keyed operation was not run; it
    /// guarantees that its own `claim` has not led to a run and never will. A full ledger has no
    /// capacity for a tombstone and closes every session issued so far instead.
    pub fn close(&mut self, operation: &OperationId, claim: &ClaimId, now: Mono) -> ClaimAnswer {
        if self.release_grant(operation, claim, now) {
            return ClaimAnswer::NotRun;
        }
        if let Some(answer) = self.known_answer(operation, now) {
            return answer;
        }
        if self.is_at_operation_limit(operation.session()) {
            return ClaimAnswer::NotRun;
        }
        if self.has_room() {
            self.ledger.close(operation.session(), operation.key());
        } else {
            self.closed_through = self.last_serial;
        }
        ClaimAnswer::NotRun
    }

    /// Returns whether the session has reached its operation limit, where it stays until it ends.
    fn is_at_operation_limit(&self, session: &Session) -> bool {
        self.ledger.operations_of(session) >= self.config.operations_per_session_max
    }

    /// Returns whether the ledger has capacity for another operation.
    pub fn has_room(&self) -> bool {
        self.ledger.operations() < self.config.operations_max
    }

    /// Permanently stops granting operations, which is the first step of a planned stop.
    pub fn drain(self, now: Mono) -> Issuer<Draining> {
        Issuer {
            vm: self.vm,
            incarnation: self.incarnation,
            secret: self.secret,
            config: self.config,
            ledger: self.ledger,
            last_serial: self.last_serial,
            closed_through: self.last_serial,
            phase: Draining { started_at: now },
        }
    }

    fn time_until_capacity(&self, now: Mono) -> Duration {
        self.ledger.next_session_end().map_or(Duration::ZERO, |ends_at| ends_at.since(now))
    }
}

impl Issuer<Draining> {
    /// Returns the known state of the operation; an unknown operation never runs.
    pub fn claim(&mut self, operation: &OperationId, now: Mono) -> ClaimAnswer {
        self.known_answer(operation, now).unwrap_or(ClaimAnswer::NotRun)
    }

    /// Releases the grant if `claim` holds it, and returns the known state of the operation.
    pub fn close(&mut self, operation: &OperationId, claim: &ClaimId, now: Mono) -> ClaimAnswer {
        if self.release_grant(operation, claim, now) {
            return ClaimAnswer::NotRun;
        }
        self.claim(operation, now)
    }

    /// Returns whether every granted operation has completed, or `grace` has passed since draining began.
    pub fn is_ready_to_seal(&self, grace: Duration, now: Mono) -> bool {
        self.ledger.running() == 0 || now.since(self.phase.started_at) >= grace
    }

    /// Makes the ledger final; operations that are still running become may-have-run.
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
    /// Returns the incarnation of the process that owns this issuer.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Records the completion of a granted operation, as reported by the holder of the grant.
    pub fn complete(
        &mut self,
        operation: &OperationId,
        claim: &ClaimId,
        completion: Completion,
        now: Mono,
    ) -> CompletionAnswer {
        if self.invalid_session_answer(operation.session(), now).is_some() {
            return CompletionAnswer::Ignored;
        }
        let (session, key) = (operation.session(), operation.key());
        self.ledger.complete(session, key, claim, completion, &self.config)
    }

    /// Marks the operations that a dead process was running as may-have-run; they are never granted
    /// again.
    pub fn executor_lost(&mut self, executor: &VmId, incarnation: Incarnation) {
        self.ledger.executor_lost(executor, incarnation);
    }

    /// Removes sessions that have ended.
    pub fn expire(&mut self, now: Mono) {
        self.ledger.expire(now);
    }

    /// Returns the number of operations in the ledger.
    pub fn operations(&self) -> usize {
        self.ledger.operations()
    }

    /// Returns the number of operations that are granted and not completed.
    pub fn running(&self) -> usize {
        self.ledger.running()
    }

    /// Returns the size of the answers kept for repeats, in bytes.
    pub fn kept_bytes(&self) -> u64 {
        self.ledger.kept_bytes()
    }

    /// Returns the answer for an operation whose state is already decided.
    fn known_answer(&mut self, operation: &OperationId, now: Mono) -> Option<ClaimAnswer> {
        self.expire(now);
        let (session, key) = (operation.session(), operation.key());
        if let Some(answer) = self.invalid_session_answer(session, now) {
            return Some(answer);
        }
        if let Some(answer) = self.ledger.answer(session, key, &self.config, now) {
            return Some(answer);
        }
        (session.serial() <= self.closed_through).then_some(ClaimAnswer::NotRun)
    }

    /// Returns the answer for every operation of a session that is not valid here.
    ///
    /// Operations of another incarnation are may-have-run, because a restarted issuer has lost its
    /// grants. So are those of an expired session, because its records have been removed.
    fn invalid_session_answer(&self, session: &Session, now: Mono) -> Option<ClaimAnswer> {
        if session.issuer() != &self.vm || session.incarnation() != self.incarnation {
            return Some(ClaimAnswer::MayHaveRun);
        }
        if !session.is_signed_by(&self.secret) {
            return Some(ClaimAnswer::BadSession);
        }
        (now >= session.ends_at()).then_some(ClaimAnswer::MayHaveRun)
    }

    /// Permanently releases the grant if `claim` holds it, and returns whether it did.
    fn release_grant(&mut self, operation: &OperationId, claim: &ClaimId, now: Mono) -> bool {
        let answer = self.complete(operation, claim, Completion::NotRun, now);
        answer == CompletionAnswer::Recorded
    }
}
