//! Answers of issuers and archives, and completions reported by executors.

use std::sync::Arc;
use std::time::Duration;

use shallotfork_types::Verdict;

/// One header field of a kept answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderField {
    /// Name of the header field.
    pub name: String,
    /// Value of the header field; not necessarily valid UTF-8.
    pub value: Vec<u8>,
}

/// The complete response of a target, kept for repeats of the operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end header fields.
    pub headers: Vec<HeaderField>,
    /// Complete response body.
    pub body: Vec<u8>,
}

impl KeptAnswer {
    /// Returns the size of the body and header fields in bytes.
    pub fn size_bytes(&self) -> u64 {
        let headers: usize = self.headers.iter().map(|h| h.name.len() + h.value.len()).sum();
        (headers + self.body.len()) as u64
    }
}

/// The answer to a claim, a close or a lookup.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The claimant may run the operation; no other claim of it is ever granted.
    Granted,
    /// The operation is granted, and the holder of the grant has not reported its completion.
    InProgress,
    /// The operation ran; the kept answer is returned.
    Kept(Arc<KeptAnswer>),
    /// The operation ran; its answer was not kept.
    Ran,
    /// The operation has not run and never will under this session and key.
    NotRun,
    /// The outcome is unknown: the session expired or belongs to another incarnation, or the executor
    /// died.
    MayHaveRun,
    /// The ledger or the session is full, so the operation has not run and never will under this session
    /// and key; the caller can use a new session after `retry_after`.
    Full {
        /// Time until the ledger is expected to have capacity again.
        retry_after: Duration,
    },
    /// The session was not signed by the issuer, so no operation ever ran under it or will.
    BadSession,
}

impl ClaimAnswer {
    /// Returns whether the operation ran; `None` for a grant, as the claimant has yet to run it.
    pub fn verdict(&self) -> Option<Verdict> {
        match self {
            Self::Granted => None,
            Self::Kept(_) | Self::Ran => Some(Verdict::Ran),
            Self::NotRun | Self::Full { .. } | Self::BadSession => Some(Verdict::NotRun),
            Self::InProgress | Self::MayHaveRun => Some(Verdict::MayHaveRun),
        }
    }
}

/// Outcome of an operation, as reported by the holder of its grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Completion {
    /// The operation ran; its answer can be kept for repeats.
    Ran(Arc<KeptAnswer>),
    /// The operation ran; its answer is too large to forward to the issuer.
    RanUnkept,
    /// The operation has not run, and the holder permanently gives up the grant.
    NotRun,
    /// The operation may have run; the holder permanently gives up the grant.
    MayHaveRun,
}

/// Whether a completion changed the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionAnswer {
    /// The ledger has recorded the reported outcome.
    Recorded,
    /// The completion has no effect: the reporter does not hold the grant, or the session has expired.
    Ignored,
}
