//! Sealed ledgers: all that an issuer which left can ever say.

use std::sync::Arc;
use std::time::Duration;

use shallotfork_types::{Bytes, IdempotencyKey, Incarnation, Mono, VmId};

use crate::{ClaimAnswer, KeptAnswer, OperationId, Secret};

/// Rough memory of one operation besides its key and answer.
const OPERATION_OVERHEAD_BYTES: u64 = 64;

/// The final state of one operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SealedEnd {
    /// It ran; this is its answer.
    Kept(Arc<KeptAnswer>),
    /// It ran; its answer was not kept.
    Ran,
    /// It was closed and never ran.
    NotRun,
    /// It was granted and no end was reported.
    MayHaveRun,
}

/// One operation of a sealed ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SealedOperation {
    /// The caller's name for the operation.
    pub key: IdempotencyKey,
    /// Its final state.
    pub end: SealedEnd,
}

/// The operations of one session in a sealed ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SealedSession {
    /// Number of the session within its incarnation.
    pub serial: u64,
    /// Its operations in order of their keys.
    pub operations: Vec<SealedOperation>,
}

/// The whole ledger of an issuer that grants nothing any more.
///
/// It never changes, so copies held by several peers cannot disagree. What it does not list was
/// never granted, and never will be, for sessions that had not expired at `sealed_at`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SealedLedger {
    /// The VM that issued the sessions.
    pub vm: VmId,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// The secret that proves a session.
    pub secret: Secret,
    /// When it was sealed, on the issuer's own clock.
    pub sealed_at: Mono,
    /// Longest time for which any of its sessions can still be in use.
    pub session_lifetime: Duration,
    /// Sessions with operations, in order of their serial.
    pub sessions: Vec<SealedSession>,
}

impl SealedLedger {
    /// What the departed issuer would answer.
    pub fn lookup(&self, operation: &OperationId) -> ClaimAnswer {
        let session = operation.session();
        if session.issuer() != &self.vm || session.incarnation() != self.incarnation {
            return ClaimAnswer::MayHaveRun;
        }
        if !session.is_signed_by(&self.secret) {
            return ClaimAnswer::BadSession;
        }
        // Sessions that ended before the seal had been forgotten by then: absence proves nothing.
        if self.sealed_at >= session.ends_at() {
            return ClaimAnswer::MayHaveRun;
        }
        match self.end(session.serial(), operation.key()) {
            Some(SealedEnd::Kept(answer)) => ClaimAnswer::Kept(Arc::clone(answer)),
            Some(SealedEnd::Ran) => ClaimAnswer::Ran,
            Some(SealedEnd::NotRun) | None => ClaimAnswer::NotRun,
            Some(SealedEnd::MayHaveRun) => ClaimAnswer::MayHaveRun,
        }
    }

    /// Drops kept answers until those left fit; their operations stay known as run.
    #[must_use]
    pub fn with_answers_within(mut self, limit: Bytes) -> Self {
        let mut left_bytes = limit.value();
        let operations = self.sessions.iter_mut().flat_map(|session| &mut session.operations);
        for operation in operations {
            let SealedEnd::Kept(answer) = &operation.end else {
                continue;
            };
            match left_bytes.checked_sub(answer.size_bytes()) {
                Some(rest) => left_bytes = rest,
                None => operation.end = SealedEnd::Ran,
            }
        }
        self
    }

    /// Rough memory that the ledger takes.
    pub fn size_bytes(&self) -> u64 {
        let operations = self.sessions.iter().flat_map(|session| &session.operations);
        operations.map(operation_bytes).sum()
    }

    fn end(&self, serial: u64, key: &IdempotencyKey) -> Option<&SealedEnd> {
        let session = find(&self.sessions, &serial, |session| &session.serial)?;
        let operation = find(&session.operations, key, |operation| &operation.key)?;
        Some(&operation.end)
    }
}

fn operation_bytes(operation: &SealedOperation) -> u64 {
    let answer_bytes = match &operation.end {
        SealedEnd::Kept(answer) => answer.size_bytes(),
        _ => 0,
    };
    OPERATION_OVERHEAD_BYTES + operation.key.as_str().len() as u64 + answer_bytes
}

fn find<'a, T, K: Ord>(sorted: &'a [T], wanted: &K, key: impl Fn(&T) -> &K) -> Option<&'a T> {
    let index = sorted.binary_search_by(|item| key(item).cmp(wanted)).ok()?;
    sorted.get(index)
}
