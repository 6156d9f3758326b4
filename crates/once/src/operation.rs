//! Identifiers of operations and of claims on them.

use shallotfork_types::{IdempotencyKey, Incarnation, VmId};

use crate::Session;

/// Identifier of one non-idempotent operation: a key within a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperationId {
    session: Session,
    key: IdempotencyKey,
}

impl OperationId {
    /// Creates the identifier of an operation.
    pub fn new(session: Session, key: IdempotencyKey) -> Self {
        Self { session, key }
    }

    /// Returns the session in which the key is unique.
    pub fn session(&self) -> &Session {
        &self.session
    }

    /// Returns the key that the caller chose for the operation.
    pub fn key(&self) -> &IdempotencyKey {
        &self.key
    }
}

/// Identifier of one claim, the request of a process for permission to run an operation, and of the
/// grant that results from it.
///
/// Each claim has a separate number, so that a process that stopped waiting for the answer can later
/// report for exactly that claim that it never led to a run.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimId {
    executor: VmId,
    incarnation: Incarnation,
    number: u64,
}

impl ClaimId {
    /// Creates the identifier of a claim; `number` is unique within the executor's incarnation.
    pub fn new(executor: VmId, incarnation: Incarnation, number: u64) -> Self {
        Self { executor, incarnation, number }
    }

    /// Returns the VM whose process would run the operation.
    pub fn executor(&self) -> &VmId {
        &self.executor
    }

    /// Returns the incarnation of the process on that VM.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the number of the claim within the executor's incarnation.
    pub fn number(&self) -> u64 {
        self.number
    }
}
