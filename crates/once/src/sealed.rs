//! Sealed ledgers: the final state of all operations of an issuer that has left.

use std::sync::Arc;
use std::time::Duration;

use shallotfork_types::{Bytes, IdempotencyKey, Incarnation, Mono, VmId};

use crate::{ClaimAnswer, KeptAnswer, OperationId, Secret};

/// Approximate memory use of one operation in bytes, without its key and answer.
const OPERATION_OVERHEAD_BYTES: u64 = 64;

/// The final state of one operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SealedOutcome {
    /// The operation ran; its answer was kept.
    Kept(Arc<KeptAnswer>),
    /// The operation ran; its answer was not kept.
    Ran,
    /// The operation was closed and never ran.
    NotRun,
    /// The operation was granted and no outcome was reported.
    MayHaveRun,
}

/// One operation of a sealed ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SealedOperation {
    /// Key that the caller chose for the operation.
    pub key: IdempotencyKey,
    /// Final state of the operation.
    pub outcome: SealedOutcome,
}

/// The operations of one session in a sealed ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SealedSession {
    /// Number of the session within its incarnation.
    pub serial: u64,
    /// Operations of the session, ordered by key.
    pub operations: Vec<SealedOperation>,
}

impl SealedSession {
    fn add(&mut self, operations: Vec<SealedOperation>) {
        self.operations.extend(operations);
        self.operations.sort_by(|a, b| a.key.cmp(&b.key));
    }
}

/// The complete ledger of an issuer that no longer grants operations.
///
/// It never changes, so copies held by several peers cannot disagree. For sessions that had not expired
/// at `sealed_at`, an operation that it does not list was never granted and never will be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SealedLedger {
    /// The VM that issued the sessions.
    pub vm: VmId,
    /// Incarnation of the issuing process.
    pub incarnation: Incarnation,
    /// Secret that verifies the signatures of the sessions.
    pub secret: Secret,
    /// Time of sealing on the issuer's own clock.
    pub sealed_at: Mono,
    /// Maximum time for which any of the sessions can still be in use, counted from the handoff.
    pub session_lifetime: Duration,
    /// Sessions that have operations, ordered by serial.
    pub sessions: Vec<SealedSession>,
}

/// Part of a sealed ledger that fits into one message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerPart {
    /// Index of this part, counted from 0.
    pub index: u32,
    /// Number of parts that make up the complete ledger.
    pub count: u32,
    /// Ledger with only the operations of this part.
    pub ledger: SealedLedger,
}

impl SealedLedger {
    /// Returns the answer that the departed issuer would give.
    pub fn lookup(&self, operation: &OperationId) -> ClaimAnswer {
        let session = operation.session();
        if session.issuer() != &self.vm || session.incarnation() != self.incarnation {
            return ClaimAnswer::MayHaveRun;
        }
        if !session.is_signed_by(&self.secret) {
            return ClaimAnswer::BadSession;
        }
        // Sessions that ended before the seal were already removed, so absence proves nothing.
        if self.sealed_at >= session.ends_at() {
            return ClaimAnswer::MayHaveRun;
        }
        match self.outcome(session.serial(), operation.key()) {
            Some(SealedOutcome::Kept(answer)) => ClaimAnswer::Kept(Arc::clone(answer)),
            Some(SealedOutcome::Ran) => ClaimAnswer::Ran,
            Some(SealedOutcome::NotRun) | None => ClaimAnswer::NotRun,
            Some(SealedOutcome::MayHaveRun) => ClaimAnswer::MayHaveRun,
        }
    }

    /// Returns whether the ledger lists the operation.
    pub(crate) fn contains(&self, operation: &OperationId) -> bool {
        self.outcome(operation.session().serial(), operation.key()).is_some()
    }

    /// Drops kept answers that do not fit into `limit`; their operations stay recorded as run.
    #[must_use]
    pub fn with_answers_within(mut self, limit: Bytes) -> Self {
        let mut remaining_bytes = limit.value();
        let operations = self.sessions.iter_mut().flat_map(|session| &mut session.operations);
        for operation in operations {
            let SealedOutcome::Kept(answer) = &operation.outcome else {
                continue;
            };
            match remaining_bytes.checked_sub(answer.size_bytes()) {
                Some(rest) => remaining_bytes = rest,
                None => operation.outcome = SealedOutcome::Ran,
            }
        }
        self
    }

    /// Splits the ledger into parts of approximately `limit` at most, for messages of limited size.
    pub fn into_parts(self, limit: Bytes) -> Vec<LedgerPart> {
        let empty = self.clone_without_sessions();
        let mut parts = vec![empty.clone()];
        let mut part_bytes = 0;
        for session in self.sessions {
            for operation in session.operations {
                let size_bytes = operation_bytes(&operation);
                if part_bytes > 0 && part_bytes + size_bytes > limit.value() {
                    parts.push(empty.clone());
                    part_bytes = 0;
                }
                part_bytes += size_bytes;
                if let Some(part) = parts.last_mut() {
                    part.push(session.serial, operation);
                }
            }
        }
        let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        let part = |(index, ledger)| LedgerPart { index, count, ledger };
        (0..).zip(parts).map(part).collect()
    }

    fn clone_without_sessions(&self) -> Self {
        Self {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            secret: self.secret.clone(),
            sealed_at: self.sealed_at,
            session_lifetime: self.session_lifetime,
            sessions: Vec::new(),
        }
    }

    fn push(&mut self, serial: u64, operation: SealedOperation) {
        match self.sessions.last_mut().filter(|session| session.serial == serial) {
            Some(session) => session.operations.push(operation),
            None => self.sessions.push(SealedSession { serial, operations: vec![operation] }),
        }
    }

    /// Adds the operations of another part of the ledger and restores the order that lookups rely
    /// on.
    ///
    /// Only the sessions of the part are sorted: sorting the operations of all sessions for each part
    /// would block the control thread for a time quadratic in the size of the ledger.
    pub(crate) fn merge(&mut self, sessions: Vec<SealedSession>) {
        let old_count = self.sessions.len();
        for mut session in sessions {
            let position =
                self.sessions[..old_count].binary_search_by_key(&session.serial, |s| s.serial);
            match position {
                Ok(index) => self.sessions[index].add(session.operations),
                Err(_) => {
                    session.add(Vec::new());
                    self.sessions.push(session);
                }
            }
        }
        self.sessions.sort_by_key(|session| session.serial);
        // If a part lists a session twice, both lists are merged: a lookup would find only one of them,
        // and an operation that is not found counts as not run.
        self.sessions.dedup_by(|next, kept| {
            let is_same = next.serial == kept.serial;
            if is_same {
                kept.add(std::mem::take(&mut next.operations));
            }
            is_same
        });
    }

    /// Returns the approximate memory use of the ledger in bytes.
    pub fn size_bytes(&self) -> u64 {
        let operations = self.sessions.iter().flat_map(|session| &session.operations);
        operations.map(operation_bytes).sum()
    }

    fn outcome(&self, serial: u64, key: &IdempotencyKey) -> Option<&SealedOutcome> {
        let session = find_sorted(&self.sessions, &serial, |session| &session.serial)?;
        let operation = find_sorted(&session.operations, key, |operation| &operation.key)?;
        Some(&operation.outcome)
    }
}

fn operation_bytes(operation: &SealedOperation) -> u64 {
    let answer_bytes = match &operation.outcome {
        SealedOutcome::Kept(answer) => answer.size_bytes(),
        _ => 0,
    };
    OPERATION_OVERHEAD_BYTES + operation.key.as_str().len() as u64 + answer_bytes
}

fn find_sorted<'a, T, K: Ord>(
    sorted: &'a [T],
    wanted: &K,
    key: impl Fn(&T) -> &K,
) -> Option<&'a T> {
    let index = sorted.binary_search_by(|item| key(item).cmp(wanted)).ok()?;
    sorted.get(index)
}
