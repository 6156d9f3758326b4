//! One attempt to have a target serve a request, and the outcome of a failed attempt.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use shallotfork_types::{Endpoint, Mono, Verdict};

use crate::read_request::BufferedRequest;

/// The address and protocol of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetAddress {
    /// The IP address and port of the target.
    pub endpoint: Endpoint,
    /// Whether the target accepts HTTP/2 with prior knowledge.
    pub http2: bool,
    /// The published status with which the target rejects a request that it did not start.
    pub shed_status: Option<StatusCode>,
}

impl TargetAddress {
    /// Creates the address of an HTTP/1.1 target without a shed status.
    pub fn new(endpoint: Endpoint) -> Self {
        Self { endpoint, http2: false, shed_status: None }
    }

    /// Sets whether the target accepts HTTP/2 with prior knowledge.
    #[must_use]
    pub fn with_http2(mut self, http2: bool) -> Self {
        self.http2 = http2;
        self
    }

    /// Sets the status with which the target rejects requests that it did not start.
    #[must_use]
    pub fn with_shed_status(mut self, status: Option<StatusCode>) -> Self {
        self.shed_status = status;
        self
    }
}

/// State of an attempt of which no byte has been sent.
#[derive(Debug)]
pub struct Unsent;

/// State of an attempt of which bytes may have been sent.
#[derive(Debug)]
pub struct Sent;

/// One sending of a request to a target; an attempt is never sent twice.
#[derive(Debug)]
pub struct Attempt<S> {
    target: TargetAddress,
    request: Arc<BufferedRequest>,
    deadline: Mono,
    state: S,
}

impl Attempt<Unsent> {
    /// Creates an attempt that fails at `deadline`.
    pub fn new(target: TargetAddress, request: Arc<BufferedRequest>, deadline: Mono) -> Self {
        Self { target, request, deadline, state: Unsent }
    }

    /// Returns the time left at `now`; zero when the deadline has passed.
    pub fn remaining(&self, now: Mono) -> Duration {
        self.deadline.since(now)
    }

    /// Ends the attempt; the request has not run, because no byte of it has been sent.
    pub fn not_run(self, cause: FailureCause) -> AttemptFailure {
        let Self { state: Unsent, .. } = self;
        AttemptFailure::new(Verdict::NotRun, cause)
    }

    /// Marks the attempt as sent: the request may run from now on.
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

    /// Ends the attempt after the target has reported that it did not start the request.
    pub(crate) fn not_run(self, evidence: NotRunEvidence) -> AttemptFailure {
        let Self { state: Sent, .. } = self;
        AttemptFailure::new(Verdict::NotRun, evidence.cause())
    }
}

impl<S> Attempt<S> {
    /// Returns the target's address.
    pub fn target(&self) -> TargetAddress {
        self.target
    }

    /// Returns the request.
    pub fn request(&self) -> &Arc<BufferedRequest> {
        &self.request
    }

    /// Returns the time at which the attempt fails.
    pub fn deadline(&self) -> Mono {
        self.deadline
    }
}

/// A target's report that it did not start a request which was sent to it.
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

/// Why an attempt failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FailureCause {
    /// The deadline passed before the first byte was sent.
    DeadlinePassed,
    /// No connection could be opened, or not within the connect timeout.
    ConnectFailed,
    /// The [`ConnectionGate`](crate::ConnectionGate) rejected a new connection.
    ConnectRefusedByGate,
    /// The request can't be written, for example because its request target is not a path.
    BadRequest,
    /// The target shed the request.
    Shed {
        /// The delay after which the target accepts a retry, if it reported one.
        retry_after: Option<Duration>,
    },
    /// The target refused the HTTP/2 stream.
    StreamRefused,
    /// No complete answer was received before the deadline.
    Timeout,
    /// The connection ended, or violated the protocol, before the answer's headers were complete.
    ConnectionLost,
    /// The connection ended within the answer's body, or the body's framing is invalid.
    AnswerIncomplete,
    /// The answer's body exceeds the limit.
    AnswerTooLarge,
    /// The answer's head or interim answers, or its body of no declared length, do not end within
    /// the limits, or the body used up the memory for incomplete answers.
    AnswerEndless,
    /// The answer's body does not match its `Content-Digest`.
    AnswerDigestMismatch,
    /// The answer is not a final response, for example a protocol switch.
    AnswerNotFinal,
    /// The answer's status is not one of HTTP, from 100 to 599.
    AnswerStatusInvalid,
    /// The answer belongs to another request: the target sent more answers than it received
    /// requests.
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
            Self::AnswerEndless => "the target's answer does not end",
            Self::AnswerDigestMismatch => "the target's answer differs from its Content-Digest",
            Self::AnswerNotFinal => "the target's answer is not a final one",
            Self::AnswerStatusInvalid => "the target's answer has no valid status",
            Self::AnswerMismatch => "the target's answer belongs to another request",
        })
    }
}

/// The failure of an attempt: there is no answer to forward.
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

    /// Returns whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns why the attempt failed.
    pub fn cause(&self) -> &FailureCause {
        &self.cause
    }

    /// Returns the status for the caller when no further attempt is made.
    pub fn status(&self) -> StatusCode {
        match self.cause {
            FailureCause::DeadlinePassed | FailureCause::Timeout => StatusCode::GATEWAY_TIMEOUT,
            FailureCause::Shed { .. }
            | FailureCause::StreamRefused
            | FailureCause::ConnectRefusedByGate => StatusCode::SERVICE_UNAVAILABLE,
            FailureCause::BadRequest => StatusCode::BAD_REQUEST,
            _ => StatusCode::BAD_GATEWAY,
        }
    }
}
