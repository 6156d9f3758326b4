//! Ledger of the operations of one issuer.

use std::collections::BTreeMap;
use std::sync::Arc;

use shallotfork_types::{IdempotencyKey, Incarnation, Mono, VmId};

use crate::{
    ClaimAnswer, ClaimId, Completion, CompletionAnswer, KeptAnswer, OnceConfig, SealedOperation,
    SealedOutcome, SealedSession, Session,
};

/// State of one operation. A known operation never becomes unknown again before its session ends.
#[derive(Debug, Clone)]
enum OperationState {
    Running { claim: ClaimId, started_at: Mono },
    Lost { claim: ClaimId },
    Kept(Arc<KeptAnswer>),
    Ran,
    Closed,
}

impl OperationState {
    fn is_held_by(&self, candidate: &ClaimId) -> bool {
        match self {
            Self::Running { claim, .. } | Self::Lost { claim } => claim == candidate,
            Self::Kept(_) | Self::Ran | Self::Closed => false,
        }
    }
}

#[derive(Debug)]
struct SessionRecord {
    ends_at: Mono,
    operations: BTreeMap<IdempotencyKey, OperationState>,
}

/// All operations of sessions that have not expired.
///
/// Sessions are ordered by serial. All sessions of an issuer have the same lifetime, so they also end
/// in that order.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    sessions: BTreeMap<u64, SessionRecord>,
    operations: usize,
    kept_bytes: u64,
}

impl Ledger {
    /// Returns the number of operations in the ledger.
    pub(crate) fn operations(&self) -> usize {
        self.operations
    }

    /// Returns the size of the kept answers in bytes.
    pub(crate) fn kept_bytes(&self) -> u64 {
        self.kept_bytes
    }

    /// Returns the number of operations whose grant is held by a live executor.
    pub(crate) fn running(&self) -> usize {
        let states = self.sessions.values().flat_map(|session| session.operations.values());
        states.filter(|state| matches!(state, OperationState::Running { .. })).count()
    }

    /// Returns the end of the session that expires next.
    pub(crate) fn next_session_end(&self) -> Option<Mono> {
        self.sessions.values().next().map(|session| session.ends_at)
    }

    /// Returns the number of operations of one session.
    pub(crate) fn operations_of(&self, session: &Session) -> usize {
        self.sessions.get(&session.serial()).map_or(0, |record| record.operations.len())
    }

    /// Returns the answer to a repeat of a known operation; `None` if the operation is unknown.
    pub(crate) fn answer(
        &self,
        session: &Session,
        key: &IdempotencyKey,
        config: &OnceConfig,
        now: Mono,
    ) -> Option<ClaimAnswer> {
        let state = self.sessions.get(&session.serial())?.operations.get(key)?;
        let answer = match state {
            OperationState::Running { started_at, .. }
                if now.since(*started_at) < config.run_timeout =>
            {
                ClaimAnswer::InProgress
            }
            OperationState::Running { .. } | OperationState::Lost { .. } => ClaimAnswer::MayHaveRun,
            OperationState::Kept(kept) => ClaimAnswer::Kept(Arc::clone(kept)),
            OperationState::Ran => ClaimAnswer::Ran,
            OperationState::Closed => ClaimAnswer::NotRun,
        };
        Some(answer)
    }

    pub(crate) fn grant(
        &mut self,
        session: &Session,
        key: &IdempotencyKey,
        claim: &ClaimId,
        now: Mono,
    ) {
        self.insert(
            session,
            key,
            OperationState::Running { claim: claim.clone(), started_at: now },
        );
    }

    /// Adds a tombstone, so that the key is never granted.
    pub(crate) fn close(&mut self, session: &Session, key: &IdempotencyKey) {
        self.insert(session, key, OperationState::Closed);
    }

    fn insert(&mut self, session: &Session, key: &IdempotencyKey, state: OperationState) {
        let new_record =
            || SessionRecord { ends_at: session.ends_at(), operations: BTreeMap::new() };
        let record = self.sessions.entry(session.serial()).or_insert_with(new_record);
        if record.operations.insert(key.clone(), state).is_none() {
            self.operations += 1;
        }
    }

    /// Records the completion reported by the holder of the grant.
    pub(crate) fn complete(
        &mut self,
        session: &Session,
        key: &IdempotencyKey,
        claim: &ClaimId,
        completion: Completion,
        config: &OnceConfig,
    ) -> CompletionAnswer {
        let kept_bytes = self.kept_bytes;
        let Some(state) = self.state_of_claim(session, key, claim) else {
            return CompletionAnswer::Ignored;
        };
        let mut added_bytes = 0;
        *state = match completion {
            Completion::Ran(answer) if is_within_limits(&answer, kept_bytes, config) => {
                added_bytes = answer.size_bytes();
                OperationState::Kept(answer)
            }
            Completion::Ran(_) | Completion::RanUnkept => OperationState::Ran,
            Completion::NotRun => OperationState::Closed,
            Completion::MayHaveRun => OperationState::Lost { claim: claim.clone() },
        };
        self.kept_bytes += added_bytes;
        CompletionAnswer::Recorded
    }

    fn state_of_claim(
        &mut self,
        session: &Session,
        key: &IdempotencyKey,
        claim: &ClaimId,
    ) -> Option<&mut OperationState> {
        let record = self.sessions.get_mut(&session.serial())?;
        let state = record.operations.get_mut(key)?;
        state.is_held_by(claim).then_some(state)
    }

    /// Marks the operations that a dead process was running as lost.
    pub(crate) fn executor_lost(&mut self, executor: &VmId, incarnation: Incarnation) {
        let sessions = self.sessions.values_mut();
        for state in sessions.flat_map(|session| session.operations.values_mut()) {
            let OperationState::Running { claim, .. } = state else {
                continue;
            };
            if claim.executor() == executor && claim.incarnation() == incarnation {
                *state = OperationState::Lost { claim: claim.clone() };
            }
        }
    }

    /// Removes sessions that have ended.
    pub(crate) fn expire(&mut self, now: Mono) {
        while let Some(oldest) = self.sessions.first_entry() {
            if now < oldest.get().ends_at {
                return;
            }
            let record = oldest.remove();
            self.operations -= record.operations.len();
            self.kept_bytes -= record.operations.values().map(kept_answer_bytes).sum::<u64>();
        }
    }

    /// Converts the ledger to its sealed form.
    pub(crate) fn into_sealed(self) -> Vec<SealedSession> {
        self.sessions.into_iter().map(sealed_session).collect()
    }
}

fn is_within_limits(answer: &KeptAnswer, kept_bytes: u64, config: &OnceConfig) -> bool {
    let size_bytes = answer.size_bytes();
    let total_bytes = kept_bytes.saturating_add(size_bytes);
    size_bytes <= config.kept_answer_max.value() && total_bytes <= config.kept_total_max.value()
}

fn kept_answer_bytes(state: &OperationState) -> u64 {
    match state {
        OperationState::Kept(answer) => answer.size_bytes(),
        _ => 0,
    }
}

fn sealed_session((serial, record): (u64, SessionRecord)) -> SealedSession {
    let operations = record.operations.into_iter().map(sealed_operation).collect();
    SealedSession { serial, operations }
}

fn sealed_operation((key, state): (IdempotencyKey, OperationState)) -> SealedOperation {
    let outcome = match state {
        OperationState::Running { .. } | OperationState::Lost { .. } => SealedOutcome::MayHaveRun,
        OperationState::Kept(answer) => SealedOutcome::Kept(answer),
        OperationState::Ran => SealedOutcome::Ran,
        OperationState::Closed => SealedOutcome::NotRun,
    };
    SealedOperation { key, outcome }
}
