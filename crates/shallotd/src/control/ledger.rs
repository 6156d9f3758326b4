//! Sessions issued by this process and the sealed ledgers of entries that left.

use std::time::Duration;

use shallotfork_once::{
    Archive, ClaimAnswer, ClaimId, Completion, CompletionAnswer, Draining, Issuer, LedgerPart,
    OnceConfig, Open, OperationId, SealedLedger, Session,
};
use shallotfork_peer::PeerId;
use shallotfork_types::report::SessionStatus;
use shallotfork_types::{Incarnation, Mono, VmId};

/// The issuer in its current state.
enum IssuerState {
    Open(Issuer<Open>),
    Draining(Issuer<Draining>),
    Sealed,
}

/// The ledger of this process and the archive of sealed ledgers.
pub struct Ledger {
    issuer_state: IssuerState,
    own_id: PeerId,
    archive: Archive,
    issued: u64,
    full_logged_at: Option<Mono>,
}

/// Minimum time between two log events about claims rejected because the ledger is full.
const FULL_LOG_PERIOD: Duration = Duration::from_secs(10);

impl Ledger {
    /// Creates a ledger that grants operations.
    pub fn new(issuer: Issuer<Open>, own_id: PeerId, config: OnceConfig) -> Self {
        Self {
            issuer_state: IssuerState::Open(issuer),
            own_id,
            archive: Archive::new(config),
            issued: 0,
            full_logged_at: None,
        }
    }

    /// Issues a session; `None` once draining has begun.
    pub fn issue(&mut self, now: Mono) -> Option<Session> {
        let IssuerState::Open(issuer) = &mut self.issuer_state else { return None };
        self.issued += 1;
        Some(issuer.issue(now))
    }

    /// Grants an operation or returns its known state; `None` if neither this issuer nor an
    /// archived ledger covers it.
    pub fn claim(
        &mut self,
        operation: &OperationId,
        claim: &ClaimId,
        now: Mono,
    ) -> Option<ClaimAnswer> {
        if let Some(answer) = self.archive.lookup(operation) {
            return Some(answer);
        }
        if !self.is_issuer_of(operation) {
            return None;
        }
        match &mut self.issuer_state {
            IssuerState::Open(issuer) => Some(issuer.claim(operation, claim, now)),
            IssuerState::Draining(issuer) => Some(issuer.claim(operation, now)),
            IssuerState::Sealed => None,
        }
    }

    /// Ensures that an operation never runs, unless it was granted to another claim; `None` if
    /// neither this issuer nor an archived ledger covers it.
    pub fn close(
        &mut self,
        operation: &OperationId,
        claim: &ClaimId,
        now: Mono,
    ) -> Option<ClaimAnswer> {
        if let Some(answer) = self.archive.lookup(operation) {
            return Some(answer);
        }
        if !self.is_issuer_of(operation) {
            return None;
        }
        match &mut self.issuer_state {
            IssuerState::Open(issuer) => Some(issuer.close(operation, claim, now)),
            IssuerState::Draining(issuer) => Some(issuer.close(operation, claim, now)),
            IssuerState::Sealed => None,
        }
    }

    /// Returns whether to log now that the ledger is full, and records the log event if so.
    pub fn is_full_log_due(&mut self, now: Mono) -> bool {
        let is_due = self.full_logged_at.is_none_or(|at| now.since(at) >= FULL_LOG_PERIOD);
        if is_due {
            self.full_logged_at = Some(now);
        }
        is_due
    }

    /// Records how an operation ended; `None` if this incarnation did not issue its session.
    pub fn complete(
        &mut self,
        operation: &OperationId,
        claim: &ClaimId,
        completion: &Completion,
        now: Mono,
    ) -> Option<CompletionAnswer> {
        if !self.is_issuer_of(operation) {
            return None;
        }
        let completion = completion.clone();
        let answer = match &mut self.issuer_state {
            IssuerState::Open(issuer) => issuer.complete(operation, claim, completion, now),
            IssuerState::Draining(issuer) => issuer.complete(operation, claim, completion, now),
            IssuerState::Sealed => CompletionAnswer::Ignored,
        };
        Some(answer)
    }

    /// Marks the operations that a suspected or ended process was running as may-have-run.
    pub fn executor_lost(&mut self, executor: &VmId, incarnation: Incarnation) {
        match &mut self.issuer_state {
            IssuerState::Open(issuer) => issuer.executor_lost(executor, incarnation),
            IssuerState::Draining(issuer) => issuer.executor_lost(executor, incarnation),
            IssuerState::Sealed => {}
        }
    }

    /// Returns whether this incarnation issued the operation's session.
    fn is_issuer_of(&self, operation: &OperationId) -> bool {
        let session = operation.session();
        session.issuer() == &self.own_id.vm && session.incarnation() == self.own_id.incarnation
    }

    /// Stops granting operations.
    pub fn drain(&mut self, now: Mono) {
        let issuer_state = std::mem::replace(&mut self.issuer_state, IssuerState::Sealed);
        self.issuer_state = match issuer_state {
            IssuerState::Open(issuer) => IssuerState::Draining(issuer.drain(now)),
            other => other,
        };
    }

    /// Seals the ledger and archives a copy, so that this process continues to answer for its
    /// sessions; `None` if the ledger was sealed before.
    pub fn seal(&mut self, now: Mono) -> Option<SealedLedger> {
        self.drain(now);
        match std::mem::replace(&mut self.issuer_state, IssuerState::Sealed) {
            IssuerState::Draining(issuer) => {
                let sealed = issuer.seal(now);
                self.archive.add(sealed.clone(), now);
                Some(sealed)
            }
            _ => None,
        }
    }

    /// Returns the number of granted operations that have not ended.
    pub fn running(&self) -> usize {
        match &self.issuer_state {
            IssuerState::Open(issuer) => issuer.running(),
            IssuerState::Draining(issuer) => issuer.running(),
            IssuerState::Sealed => 0,
        }
    }

    /// Adds a part of the sealed ledger of a leaving entry to the archive. Returns whether the part
    /// was accepted.
    ///
    /// A ledger with the identity of this incarnation is rejected: the archive is consulted before
    /// the issuer, so it would override an issuer that is still open.
    pub fn add_sealed_part(&mut self, part: LedgerPart, now: Mono) -> bool {
        let (vm, incarnation) = (&part.ledger.vm, part.ledger.incarnation);
        let is_own = *vm == self.own_id.vm && incarnation == self.own_id.incarnation;
        !is_own && self.archive.add_part(part, now)
    }

    /// Returns the sealed ledgers held for entries that left.
    pub fn ledgers_to_forward(&self, now: Mono) -> Vec<SealedLedger> {
        self.archive.ledgers_to_forward(now)
    }

    /// Returns the state of an operation in the sealed ledger of its issuer; `None` if the archive
    /// has no such ledger.
    pub fn lookup(&self, operation: &OperationId) -> Option<ClaimAnswer> {
        self.archive.lookup(operation)
    }

    /// Removes ended sessions and expired sealed ledgers.
    pub fn expire(&mut self, now: Mono) {
        self.archive.expire(now);
        match &mut self.issuer_state {
            IssuerState::Open(issuer) => issuer.expire(now),
            IssuerState::Draining(issuer) => issuer.expire(now),
            IssuerState::Sealed => {}
        }
    }

    /// Returns the session status for operators.
    pub fn status(&self) -> SessionStatus {
        let (operations, kept_bytes) = match &self.issuer_state {
            IssuerState::Open(issuer) => (issuer.operations(), issuer.kept_bytes()),
            IssuerState::Draining(issuer) => (issuer.operations(), issuer.kept_bytes()),
            IssuerState::Sealed => (0, 0),
        };
        SessionStatus {
            issued: self.issued,
            operations: operations as u64,
            kept_bytes,
            sealed_ledgers: self.archive.len() as u64,
        }
    }
}
