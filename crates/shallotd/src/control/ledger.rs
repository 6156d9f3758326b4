//! Sessions issued here and the sealed ledgers of entries that left.

use std::time::Duration;

use shallotfork_once::{
    Archive, ClaimAnswer, ClaimId, Completion, CompletionAnswer, Draining, Issuer, LedgerPart,
    OnceConfig, Open, OperationId, SealedLedger, Session,
};
use shallotfork_peer::PeerId;
use shallotfork_types::report::SessionStatus;
use shallotfork_types::{Incarnation, Mono, VmId};

/// The issuer in one of its states.
enum Issuing {
    Open(Issuer<Open>),
    Draining(Issuer<Draining>),
    Sealed,
}

/// The ledger of this process and the archive beside it.
pub struct Ledger {
    issuing: Issuing,
    own: PeerId,
    archive: Archive,
    issued: u64,
    alarmed_at: Option<Mono>,
}

/// Refusals for want of room are logged at most this often.
const ALARM_PERIOD: Duration = Duration::from_secs(10);

impl Ledger {
    /// A ledger that grants operations.
    pub fn new(issuer: Issuer<Open>, own: PeerId, config: OnceConfig) -> Self {
        Self {
            issuing: Issuing::Open(issuer),
            own,
            archive: Archive::new(config),
            issued: 0,
            alarmed_at: None,
        }
    }

    /// A new session; `None` while leaving.
    pub fn issue(&mut self, now: Mono) -> Option<Session> {
        let Issuing::Open(issuer) = &mut self.issuing else { return None };
        self.issued += 1;
        Some(issuer.issue(now))
    }

    /// Grants an operation or says what is known of it; `None` when it is not for this process to
    /// say.
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
        match &mut self.issuing {
            Issuing::Open(issuer) => Some(issuer.claim(operation, claim, now)),
            Issuing::Draining(issuer) => Some(issuer.claim(operation, now)),
            Issuing::Sealed => None,
        }
    }

    /// Makes sure that an operation never runs, unless somebody else was granted it; `None` when
    /// it is not for this process to say.
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
        match &mut self.issuing {
            Issuing::Open(issuer) => Some(issuer.close(operation, claim, now)),
            Issuing::Draining(issuer) => Some(issuer.close(operation, claim, now)),
            Issuing::Sealed => None,
        }
    }

    /// Whether a refusal for want of room is to be logged now.
    pub fn is_alarm_due(&mut self, now: Mono) -> bool {
        let due = self.alarmed_at.is_none_or(|at| now.since(at) >= ALARM_PERIOD);
        if due {
            self.alarmed_at = Some(now);
        }
        due
    }

    /// Records how an operation ended; `None` when it is not for this process to record.
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
        let answer = match &mut self.issuing {
            Issuing::Open(issuer) => issuer.complete(operation, claim, completion, now),
            Issuing::Draining(issuer) => issuer.complete(operation, claim, completion, now),
            Issuing::Sealed => CompletionAnswer::Ignored,
        };
        Some(answer)
    }

    /// Marks what an entry that is silent or has ended was running.
    pub fn executor_lost(&mut self, executor: &VmId, incarnation: Incarnation) {
        match &mut self.issuing {
            Issuing::Open(issuer) => issuer.executor_lost(executor, incarnation),
            Issuing::Draining(issuer) => issuer.executor_lost(executor, incarnation),
            Issuing::Sealed => {}
        }
    }

    /// Whether this run of the process issued the operation's session.
    fn is_issuer_of(&self, operation: &OperationId) -> bool {
        let session = operation.session();
        session.issuer() == &self.own.vm && session.incarnation() == self.own.incarnation
    }

    /// Stops granting.
    pub fn drain(&mut self, now: Mono) {
        let issuing = std::mem::replace(&mut self.issuing, Issuing::Sealed);
        self.issuing = match issuing {
            Issuing::Open(issuer) => Issuing::Draining(issuer.drain(now)),
            other => other,
        };
    }

    /// Fixes the ledger for good and keeps a copy, so that this process goes on answering for its
    /// sessions; `None` when it was fixed before.
    pub fn seal(&mut self, now: Mono) -> Option<SealedLedger> {
        self.drain(now);
        match std::mem::replace(&mut self.issuing, Issuing::Sealed) {
            Issuing::Draining(issuer) => {
                let sealed = issuer.seal(now);
                self.archive.add(sealed.clone(), now);
                Some(sealed)
            }
            _ => None,
        }
    }

    /// Number of operations that were granted and have not ended.
    pub fn running(&self) -> usize {
        match &self.issuing {
            Issuing::Open(issuer) => issuer.running(),
            Issuing::Draining(issuer) => issuer.running(),
            Issuing::Sealed => 0,
        }
    }

    /// Keeps a part of the sealed ledger of an entry that leaves.
    ///
    /// What claims to be the ledger of this very process is refused: an archive goes before the
    /// issuer, so it would stop an issuer that is open.
    pub fn keep(&mut self, part: LedgerPart, now: Mono) -> bool {
        let (vm, incarnation) = (&part.ledger.vm, part.ledger.incarnation);
        let own = *vm == self.own.vm && incarnation == self.own.incarnation;
        !own && self.archive.add_part(part, now)
    }

    /// The sealed ledgers held for entries that left.
    pub fn to_pass_on(&self, now: Mono) -> Vec<SealedLedger> {
        self.archive.ledgers_to_forward(now)
    }

    /// What a sealed ledger says of an operation; `None` when none of its issuer is held.
    pub fn lookup(&self, operation: &OperationId) -> Option<ClaimAnswer> {
        self.archive.lookup(operation)
    }

    /// Forgets sessions and sealed ledgers that have ended.
    pub fn expire(&mut self, now: Mono) {
        self.archive.expire(now);
        match &mut self.issuing {
            Issuing::Open(issuer) => issuer.expire(now),
            Issuing::Draining(issuer) => issuer.expire(now),
            Issuing::Sealed => {}
        }
    }

    /// What operators see.
    pub fn status(&self) -> SessionStatus {
        let (operations, kept_bytes) = match &self.issuing {
            Issuing::Open(issuer) => (issuer.operations(), issuer.kept_bytes()),
            Issuing::Draining(issuer) => (issuer.operations(), issuer.kept_bytes()),
            Issuing::Sealed => (0, 0),
        };
        SessionStatus {
            issued: self.issued,
            operations: operations as u64,
            kept_bytes,
            sealed_ledgers: self.archive.len() as u64,
        }
    }
}
