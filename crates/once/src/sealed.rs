//! Sealed ledgers: all that an issuer which left can ever say.

use std::sync::Arc;
use std::time::Duration;

use shallotfork_types::{Bytes, IdempotencyKey, Incarnation, Mono, VmId};

use crate::{ClaimAnswer, KeptAnswer, OperationId, Secret};

/// Rough memory of one operation besides its key and answer.
const OPERATION_OVERHEAD_BYTES: u64 = 64;

/// The final state of one operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SealedOutcome {
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
    pub outcome: SealedOutcome,
}

/// The operations of one session in a sealed ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SealedSession {
    /// Number of the session within its incarnation.
    pub serial: u64,
    /// Its operations in order of their keys.
    pub operations: Vec<SealedOperation>,
}

impl SealedSession {
    fn add(&mut self, operations: Vec<SealedOperation>) {
        self.operations.extend(operations);
        self.operations.sort_by(|a, b| a.key.cmp(&b.key));
    }
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
    /// Longest time for which any of its sessions can still be in use; counted from the handoff.
    pub session_lifetime: Duration,
    /// Sessions with operations, in order of their serial.
    pub sessions: Vec<SealedSession>,
}

/// One message's worth of a sealed ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerPart {
    /// Number of this part, counted from 0.
    pub index: u32,
    /// Number of parts that make the whole ledger.
    pub count: u32,
    /// The ledger with the operations of this part only.
    pub ledger: SealedLedger,
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
        match self.outcome(session.serial(), operation.key()) {
            Some(SealedOutcome::Kept(answer)) => ClaimAnswer::Kept(Arc::clone(answer)),
            Some(SealedOutcome::Ran) => ClaimAnswer::Ran,
            Some(SealedOutcome::NotRun) | None => ClaimAnswer::NotRun,
            Some(SealedOutcome::MayHaveRun) => ClaimAnswer::MayHaveRun,
        }
    }

    /// Whether the ledger lists the operation itself.
    pub(crate) fn lists(&self, operation: &OperationId) -> bool {
        self.outcome(operation.session().serial(), operation.key()).is_some()
    }

    /// Drops kept answers until those left fit; their operations stay known as run.
    #[must_use]
    pub fn with_answers_within(mut self, limit: Bytes) -> Self {
        let mut left_bytes = limit.value();
        let operations = self.sessions.iter_mut().flat_map(|session| &mut session.operations);
        for operation in operations {
            let SealedOutcome::Kept(answer) = &operation.outcome else {
                continue;
            };
            match left_bytes.checked_sub(answer.size_bytes()) {
                Some(rest) => left_bytes = rest,
                None => operation.outcome = SealedOutcome::Ran,
            }
        }
        self
    }

    /// Cuts the ledger into parts of at most about `limit`, for messages of bounded size.
    pub fn into_parts(self, limit: Bytes) -> Vec<LedgerPart> {
        let empty = self.clone_head();
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

    fn clone_head(&self) -> Self {
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

    /// Adds the operations of another part and restores the order that lookups rely on.
    ///
    /// Only sessions of the part are sorted: sorting all of them with each part would hold the
    /// control thread for a time that grows with the square of the ledger.
    pub(crate) fn merge(&mut self, sessions: Vec<SealedSession>) {
        let known = self.sessions.len();
        for mut session in sessions {
            let place = self.sessions[..known].binary_search_by_key(&session.serial, |s| s.serial);
            match place {
                Ok(index) => self.sessions[index].add(session.operations),
                Err(_) => {
                    session.add(Vec::new());
                    self.sessions.push(session);
                }
            }
        }
        self.sessions.sort_by_key(|session| session.serial);
        // A part that lists a session twice must not hide one half of it: an operation that is
        // not found counts as not run.
        self.sessions.dedup_by(|next, kept| {
            let same = next.serial == kept.serial;
            if same {
                kept.add(std::mem::take(&mut next.operations));
            }
            same
        });
    }

    /// Rough memory that the ledger takes.
    pub fn size_bytes(&self) -> u64 {
        let operations = self.sessions.iter().flat_map(|session| &session.operations);
        operations.map(operation_bytes).sum()
    }

    fn outcome(&self, serial: u64, key: &IdempotencyKey) -> Option<&SealedOutcome> {
        let session = find(&self.sessions, &serial, |session| &session.serial)?;
        let operation = find(&session.operations, key, |operation| &operation.key)?;
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

fn find<'a, T, K: Ord>(sorted: &'a [T], wanted: &K, key: impl Fn(&T) -> &K) -> Option<&'a T> {
    let index = sorted.binary_search_by(|item| key(item).cmp(wanted)).ok()?;
    sorted.get(index)
}
