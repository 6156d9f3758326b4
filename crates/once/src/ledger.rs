//! The table of operations of one issuer.

use std::collections::BTreeMap;
use std::sync::Arc;

use shallotfork_types::{IdempotencyKey, Incarnation, Mono, VmId};

use crate::{
    ClaimAnswer, ClaimId, Completion, CompletionAnswer, KeptAnswer, OnceConfig, SealedOperation,
    SealedOutcome, SealedSession, Session,
};

/// What is known of one operation. Nothing ever goes back to "unknown" before the session ends.
#[derive(Debug, Clone)]
enum Progress {
    Running { claim: ClaimId, since: Mono },
    Lost { claim: ClaimId },
    Kept(Arc<KeptAnswer>),
    Ran,
    Closed,
}

impl Progress {
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
    operations: BTreeMap<IdempotencyKey, Progress>,
}

/// All operations of sessions that have not expired.
///
/// Sessions are kept by serial. An issuer's sessions share one lifetime, so the order of serials
/// is the order in which they end.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    sessions: BTreeMap<u64, SessionRecord>,
    operations: usize,
    kept_bytes: u64,
}

impl Ledger {
    /// Number of operations remembered.
    pub(crate) fn operations(&self) -> usize {
        self.operations
    }

    /// Bytes of kept answers.
    pub(crate) fn kept_bytes(&self) -> u64 {
        self.kept_bytes
    }

    /// Number of operations whose grant is held by a live executor.
    pub(crate) fn running(&self) -> usize {
        let all = self.sessions.values().flat_map(|session| session.operations.values());
        all.filter(|progress| matches!(progress, Progress::Running { .. })).count()
    }

    /// End of the session that is dropped next.
    pub(crate) fn next_end(&self) -> Option<Mono> {
        self.sessions.values().next().map(|session| session.ends_at)
    }

    /// Operations remembered for one session.
    pub(crate) fn operations_of(&self, session: &Session) -> usize {
        self.sessions.get(&session.serial()).map_or(0, |record| record.operations.len())
    }

    /// What a repeat of a known operation is told.
    pub(crate) fn answer(
        &self,
        session: &Session,
        key: &IdempotencyKey,
        config: &OnceConfig,
        now: Mono,
    ) -> Option<ClaimAnswer> {
        let progress = self.sessions.get(&session.serial())?.operations.get(key)?;
        let answer = match progress {
            Progress::Running { since, .. } if now.since(*since) < config.run_timeout => {
                ClaimAnswer::InProgress
            }
            Progress::Running { .. } | Progress::Lost { .. } => ClaimAnswer::MayHaveRun,
            Progress::Kept(kept) => ClaimAnswer::Kept(Arc::clone(kept)),
            Progress::Ran => ClaimAnswer::Ran,
            Progress::Closed => ClaimAnswer::NotRun,
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
        self.insert(session, key, Progress::Running { claim: claim.clone(), since: now });
    }

    /// Leaves a tombstone: the key is never granted.
    pub(crate) fn close(&mut self, session: &Session, key: &IdempotencyKey) {
        self.insert(session, key, Progress::Closed);
    }

    fn insert(&mut self, session: &Session, key: &IdempotencyKey, progress: Progress) {
        let fresh = || SessionRecord { ends_at: session.ends_at(), operations: BTreeMap::new() };
        let record = self.sessions.entry(session.serial()).or_insert_with(fresh);
        if record.operations.insert(key.clone(), progress).is_none() {
            self.operations += 1;
        }
    }

    /// Records the end that the holder of the grant reports.
    pub(crate) fn complete(
        &mut self,
        session: &Session,
        key: &IdempotencyKey,
        claim: &ClaimId,
        completion: Completion,
        config: &OnceConfig,
    ) -> CompletionAnswer {
        let kept_bytes = self.kept_bytes;
        let Some(progress) = self.held(session, key, claim) else {
            return CompletionAnswer::Ignored;
        };
        let mut added_bytes = 0;
        *progress = match completion {
            Completion::Ran(answer) if fits(&answer, kept_bytes, config) => {
                added_bytes = answer.size_bytes();
                Progress::Kept(answer)
            }
            Completion::Ran(_) | Completion::RanUnkept => Progress::Ran,
            Completion::NotRun => Progress::Closed,
            Completion::MayHaveRun => Progress::Lost { claim: claim.clone() },
        };
        self.kept_bytes += added_bytes;
        CompletionAnswer::Recorded
    }

    fn held(
        &mut self,
        session: &Session,
        key: &IdempotencyKey,
        claim: &ClaimId,
    ) -> Option<&mut Progress> {
        let record = self.sessions.get_mut(&session.serial())?;
        let progress = record.operations.get_mut(key)?;
        progress.is_held_by(claim).then_some(progress)
    }

    /// Marks everything that a dead process was running.
    pub(crate) fn executor_lost(&mut self, executor: &VmId, incarnation: Incarnation) {
        let sessions = self.sessions.values_mut();
        for progress in sessions.flat_map(|session| session.operations.values_mut()) {
            let Progress::Running { claim, .. } = progress else {
                continue;
            };
            if claim.executor() == executor && claim.incarnation() == incarnation {
                *progress = Progress::Lost { claim: claim.clone() };
            }
        }
    }

    /// Forgets sessions that have ended.
    pub(crate) fn expire(&mut self, now: Mono) {
        while let Some(oldest) = self.sessions.first_entry() {
            if now < oldest.get().ends_at {
                return;
            }
            let record = oldest.remove();
            self.operations -= record.operations.len();
            self.kept_bytes -= record.operations.values().map(kept_bytes_of).sum::<u64>();
        }
    }

    /// Everything known, in its final form.
    pub(crate) fn into_sealed(self) -> Vec<SealedSession> {
        self.sessions.into_iter().map(sealed_session).collect()
    }
}

fn fits(answer: &KeptAnswer, kept_bytes: u64, config: &OnceConfig) -> bool {
    let size_bytes = answer.size_bytes();
    let total_bytes = kept_bytes.saturating_add(size_bytes);
    size_bytes <= config.kept_answer_max.value() && total_bytes <= config.kept_total_max.value()
}

fn kept_bytes_of(progress: &Progress) -> u64 {
    match progress {
        Progress::Kept(answer) => answer.size_bytes(),
        _ => 0,
    }
}

fn sealed_session((serial, record): (u64, SessionRecord)) -> SealedSession {
    let operations = record.operations.into_iter().map(sealed_operation).collect();
    SealedSession { serial, operations }
}

fn sealed_operation((key, progress): (IdempotencyKey, Progress)) -> SealedOperation {
    let outcome = match progress {
        Progress::Running { .. } | Progress::Lost { .. } => SealedOutcome::MayHaveRun,
        Progress::Kept(answer) => SealedOutcome::Kept(answer),
        Progress::Ran => SealedOutcome::Ran,
        Progress::Closed => SealedOutcome::NotRun,
    };
    SealedOperation { key, outcome }
}
