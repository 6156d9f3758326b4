//! One try to have a target serve a request, and what is known when it fails.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use shallotfork_types::{Endpoint, Mono, Verdict};

use crate::read_request::BufferedRequest;

/// Where and how a target is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetAddress {
    /// Its IP address and port.
    pub endpoint: Endpoint,
    /// Whether it speaks HTTP/2 without being asked first.
    pub http2: bool,
    /// The status by which it says that it did not start a request, as published.
    pub shed_status: Option<StatusCode>,
}

impl TargetAddress {
    /// An HTTP/1.1 target without a shed status.
    pub fn new(endpoint: Endpoint) -> Self {
        Self { endpoint, http2: false, shed_status: None }
    }

    /// Speaks HTTP/2 from the first byte.
    #[must_use]
    pub fn with_http2(mut self, http2: bool) -> Self {
        self.http2 = http2;
        self
    }

    /// Answers with `status` to requests that it did not start.
    #[must_use]
    pub fn with_shed_status(mut self, status: Option<StatusCode>) -> Self {
        self.shed_status = status;
        self
    }
}

/// State of an attempt of which no byte has left.
#[derive(Debug)]
pub struct Unsent;

/// State of an attempt of which a byte may have left.
#[derive(Debug)]
pub struct Sent;

/// One try, at one target, of one request; it is never sent twice.
#[derive(Debug)]
pub struct Attempt<S> {
    target: TargetAddress,
    request: Arc<BufferedRequest>,
    deadline: Mono,
    state: S,
}

impl Attempt<Unsent> {
    /// An attempt that gives up at `deadline`.
    pub fn new(target: TargetAddress, request: Arc<BufferedRequest>, deadline: Mono) -> Self {
        Self { target, request, deadline, state: Unsent }
    }

    /// Time left at `now`; zero when the deadline has passed.
    pub fn remaining(&self, now: Mono) -> Duration {
        self.deadline.since(now)
    }

    /// Ends the attempt. Nothing has left, so that the request has not run.
    pub fn not_run(self, cause: FailureCause) -> AttemptFailure {
        let Self { state: Unsent, .. } = self;
        AttemptFailure::new(Verdict::NotRun, cause)
    }

    /// From here on the request may run.
    pub fn into_sent(self) -> Attempt<Sent> {
        Attempt { target: self.target, request: self.request, deadline: self.deadline, state: Sent }
    }
}

impl Attempt<Sent> {
    /// Ends the attempt without knowing whether the request ran.
    pub fn may_have_run(self, cause: FailureCause) -> AttemptFailure {
        let Self { state: Sent, .. } = self;
        AttemptFailure::new(Verdict::MayHaveRun, cause)
    }

    /// Ends the attempt on a target's own word that it did not start the request.
    pub(crate) fn not_run(self, evidence: NotRunEvidence) -> AttemptFailure {
        let Self { state: Sent, .. } = self;
        AttemptFailure::new(Verdict::NotRun, evidence.cause())
    }
}

impl<S> Attempt<S> {
    /// The target.
    pub fn target(&self) -> TargetAddress {
        self.target
    }

    /// The request.
    pub fn request(&self) -> &Arc<BufferedRequest> {
        &self.request
    }

    /// When the attempt gives up.
    pub fn deadline(&self) -> Mono {
        self.deadline
    }
}

/// How a target says that it did not start a request which was sent to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotRunEvidence {
    /// HTTP/2 `REFUSED_STREAM`, or `GOAWAY` with a last stream below this one (RFC 9113, 8.7).
    StreamRefused,
    /// The answer has the target's published shed status.
    Shed { retry_after: Option<Duration> },
}

impl NotRunEvidence {
    fn cause(self) -> FailureCause {
        match self {
            Self::StreamRefused => FailureCause::StreamRefused,
            Self::Shed { retry_after } => FailureCause::Shed { retry_after },
        }
    }
}

/// What went wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FailureCause {
    /// The deadline passed before the first byte left.
    DeadlinePassed,
    /// No connection could be opened, or none within the time for it.
    ConnectFailed,
    /// The [`ConnectionGate`](crate::ConnectionGate) refused a new connection.
    ConnectRefusedByGate,
    /// The request can't be written, for instance because its target is no path.
    BadRequest,
    /// The target shed the request.
    Shed {
        /// When the target says to come back.
        retry_after: Option<Duration>,
    },
    /// The target refused the HTTP/2 stream.
    StreamRefused,
    /// No whole answer came before the deadline.
    Timeout,
    /// The connection ended, or broke the protocol, before the answer's headers were whole.
    ConnectionLost,
    /// The connection ended inside the answer's body, or the body's framing is broken.
    AnswerIncomplete,
    /// The answer's body is over the limit.
    AnswerTooLarge,
    /// All memory for bodies is in use.
    BudgetFull,
    /// The answer's body is not the one its `Content-Digest` was made from.
    AnswerDigestMismatch,
    /// The answer is not a final one, for instance a switch of protocols.
    AnswerNotFinal,
    /// The answer belongs to another request; the target sent more answers than it was asked for.
    AnswerMismatch,
}

impl fmt::Display for FailureCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::DeadlinePassed => "the deadline passed before the request was sent",
            Self::ConnectFailed => "no connection to the target",
            Self::ConnectRefusedByGate => "too many new connections to the target",
            Self::BadRequest => "the request can't be passed on",
            Self::Shed { .. } => "the target sheds load",
            Self::StreamRefused => "the target refused the stream",
            Self::Timeout => "no whole answer before the deadline",
            Self::ConnectionLost => "the connection to the target was lost",
            Self::AnswerIncomplete => "the target's answer is incomplete",
            Self::AnswerTooLarge => "the target's answer is over the limit",
            Self::BudgetFull => "too many bodies are held at the moment",
            Self::AnswerDigestMismatch => "the target's answer differs from its Content-Digest",
            Self::AnswerNotFinal => "the target's answer is not a final one",
            Self::AnswerMismatch => "the target's answer belongs to another request",
        })
    }
}

/// The end of an attempt without an answer to pass on.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{cause}: {verdict}")]
pub struct AttemptFailure {
    verdict: Verdict,
    cause: FailureCause,
}

impl AttemptFailure {
    pub(crate) fn new(verdict: Verdict, cause: FailureCause) -> Self {
        Self { verdict, cause }
    }

    /// Whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// What went wrong.
    pub fn cause(&self) -> &FailureCause {
        &self.cause
    }

    /// The status for a caller, when no further attempt is made.
    pub fn status(&self) -> StatusCode {
        match self.cause {
            FailureCause::DeadlinePassed | FailureCause::Timeout => StatusCode::GATEWAY_TIMEOUT,
            FailureCause::Shed { .. }
            | FailureCause::StreamRefused
            | FailureCause::ConnectRefusedByGate
            | FailureCause::BudgetFull => StatusCode::SERVICE_UNAVAILABLE,
            FailureCause::BadRequest => StatusCode::BAD_REQUEST,
            _ => StatusCode::BAD_GATEWAY,
        }
    }
}
