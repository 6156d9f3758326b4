//! Names of operations and of the claims on them.

use shallotfork_types::{IdempotencyKey, Incarnation, VmId};

use crate::Session;

/// One non-idempotent operation: a key within a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperationId {
    session: Session,
    key: IdempotencyKey,
}

impl OperationId {
    /// Names an operation.
    pub fn new(session: Session, key: IdempotencyKey) -> Self {
        Self { session, key }
    }

    /// The session in which the key is unique.
    pub fn session(&self) -> &Session {
        &self.session
    }

    /// The caller's name for the operation.
    pub fn key(&self) -> &IdempotencyKey {
        &self.key
    }
}

/// One try of one process to get leave to run an operation; also the name of the grant.
///
/// Each claim has a number of its own, so that a process that gave up waiting for an answer can
/// later say of that claim alone that it never led to a run.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimId {
    executor: VmId,
    incarnation: Incarnation,
    number: u64,
}

impl ClaimId {
    /// Names a claim; `number` is unique within the executor's incarnation.
    pub fn new(executor: VmId, incarnation: Incarnation, number: u64) -> Self {
        Self { executor, incarnation, number }
    }

    /// The VM that would run the operation.
    pub fn executor(&self) -> &VmId {
        &self.executor
    }

    /// The run of the process on that VM.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Number of the claim within the executor's incarnation.
    pub fn number(&self) -> u64 {
        self.number
    }
}
