//! What an issuer or archive answers, and what an executor reports back.

use std::sync::Arc;
use std::time::Duration;

use shallotfork_types::Verdict;

/// One header line of a kept answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderField {
    /// Name of the field.
    pub name: String,
    /// Value of the field; not always valid UTF-8.
    pub value: Vec<u8>,
}

/// A target's whole answer, kept for repeats of the operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// End-to-end header fields.
    pub headers: Vec<HeaderField>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl KeptAnswer {
    /// Bytes of body and headers.
    pub fn size_bytes(&self) -> u64 {
        let headers: usize = self.headers.iter().map(|h| h.name.len() + h.value.len()).sum();
        (headers + self.body.len()) as u64
    }
}

/// The answer to a claim, a close or a lookup.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The claimant, and nobody else ever, may run the operation.
    Granted,
    /// Somebody holds the grant and has not reported an end.
    InProgress,
    /// The operation ran; this is its answer.
    Kept(Arc<KeptAnswer>),
    /// The operation ran; its answer was not kept.
    Ran,
    /// The operation has not run and never will under this session and key.
    NotRun,
    /// Nobody knows: the session expired or belongs to another incarnation, or the executor died.
    MayHaveRun,
    /// The ledger has no room, so the operation has not run and never will under this session and
    /// key; a new session can be used after the wait.
    Full {
        /// Time until the ledger is likely to have room.
        retry_after: Duration,
    },
    /// The issuer did not sign this session, so nothing ever ran under it or will.
    BadSession,
}

impl ClaimAnswer {
    /// What the answer says about the operation; `None` for a grant, which says "run it".
    pub fn verdict(&self) -> Option<Verdict> {
        match self {
            Self::Granted => None,
            Self::Kept(_) | Self::Ran => Some(Verdict::Ran),
            Self::NotRun | Self::Full { .. } | Self::BadSession => Some(Verdict::NotRun),
            Self::InProgress | Self::MayHaveRun => Some(Verdict::MayHaveRun),
        }
    }
}

/// What the holder of a grant reports about the operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Completion {
    /// It ran; the answer is worth keeping.
    Ran(Arc<KeptAnswer>),
    /// It ran; the answer is too large to pass on.
    RanUnkept,
    /// It has not run, and the holder gives up the grant for good.
    NotRun,
    /// It may have run; the holder gives up the grant for good.
    MayHaveRun,
}

/// Whether a completion changed the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionAnswer {
    /// The ledger holds the reported end.
    Recorded,
    /// The reporter does not hold the grant, or the session has expired.
    Ignored,
}
