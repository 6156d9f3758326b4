//! How an answer is written to its caller, and how that ended.

use std::fmt;
use std::sync::Arc;

use shallotfork_types::Bytes;

use crate::write_pacer::WritePacer;

/// Why the transfer of an answer to its caller ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferEnd {
    /// The caller's connection has taken the last byte.
    Completed,
    /// The caller closed its connection, or gave up the request.
    CallerLeft,
    /// The caller took nothing for the time in [`ServeConfig`](crate::ServeConfig).
    Stalled,
    /// The process stopped serving.
    Stopped,
}

impl TransferEnd {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::CallerLeft => "caller-left",
            Self::Stalled => "stalled",
            Self::Stopped => "stopped",
        }
    }
}

impl fmt::Display for TransferEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Result of the transfer of an answer's body to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferReport {
    /// Why the transfer ended.
    pub end: TransferEnd,
    /// The part of the body that the caller's connection has taken.
    pub sent: Bytes,
    /// The size of the body.
    pub total: Bytes,
}

/// Called once when the transfer of an answer has ended.
pub type TransferEndFn = Box<dyn FnOnce(TransferReport) + Send>;

/// How an answer is written to its caller.
///
/// By default it is written like any other, without a report.
#[derive(Default)]
pub struct AnswerTransfer {
    pub(crate) pacing: Pacing,
    pub(crate) on_end: Option<TransferEndFn>,
}

/// Whether the writes of an answer wait for a pacer.
#[derive(Debug, Clone, Default)]
pub(crate) enum Pacing {
    #[default]
    Untracked,
    Recorded(Arc<dyn WritePacer>),
    Paced(Arc<dyn WritePacer>),
}

impl fmt::Debug for AnswerTransfer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AnswerTransfer").field("pacing", &self.pacing).finish_non_exhaustive()
    }
}

impl AnswerTransfer {
    /// Creates the transfer of an answer that is neither paced nor reported.
    pub fn new() -> Self {
        Self::default()
    }

    /// Writes the body in chunks, each of which `pacer` must admit. The head is recorded as unpaced.
    #[must_use]
    pub fn with_pacer(mut self, pacer: Arc<dyn WritePacer>) -> Self {
        self.pacing = Pacing::Paced(pacer);
        self
    }

    /// Writes the answer without waiting, and records its bytes as unpaced.
    #[must_use]
    pub fn with_recorder(mut self, pacer: Arc<dyn WritePacer>) -> Self {
        self.pacing = Pacing::Recorded(pacer);
        self
    }

    /// Calls `on_end` once when the transfer has ended, for whatever cause.
    #[must_use]
    pub fn with_on_end(mut self, on_end: impl FnOnce(TransferReport) + Send + 'static) -> Self {
        self.on_end = Some(Box::new(on_end));
        self
    }
}
