//! Rejections of requests before any byte is sent to a target.

use std::time::Duration;

use http::StatusCode;
use http::header::HeaderName;
use shallotfork_types::{Bytes, Verdict};
use thiserror::Error;

use crate::problem::Problem;

/// Retry delay for callers when the body budget is exhausted; long enough for most of the bodies in
/// progress to be finished.
pub const BUDGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a caller's request was rejected; no byte of it has been sent to a target.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Rejection {
    /// `Host` or `:authority` is missing or is not a service name.
    #[error("the host names no service: {reason}")]
    BadHost {
        /// Why the host is invalid.
        reason: String,
    },
    /// A control header or a message framing header is invalid.
    #[error("header {name}: {reason}")]
    BadHeader {
        /// The name of the header.
        name: String,
        /// Why the header is invalid.
        reason: String,
    },
    /// `CONNECT`, or a protocol switch, which this kind of HTTP intermediary doesn't support.
    #[error("method {method} is not served")]
    BadMethod {
        /// The method.
        method: String,
    },
    /// The body exceeds the size limit of a single body.
    #[error("the body is larger than {limit}")]
    BodyTooLarge {
        /// The maximum size.
        limit: Bytes,
    },
    /// The body did not arrive in time.
    #[error("the body did not arrive within {} ms", limit.as_millis())]
    BodyTimeout {
        /// The timeout.
        limit: Duration,
    },
    /// The connection ended within the body, or the body's framing is invalid.
    #[error("the body is incomplete")]
    BodyIncomplete,
    /// The body does not match its `Content-Digest`.
    #[error("the body differs from its Content-Digest")]
    DigestMismatch,
    /// The body made no progress while others needed its memory.
    #[error("the body made no progress while memory was short")]
    BodyStalled,
    /// The process's memory budget for bodies is exhausted.
    #[error("too many bodies are held at the moment")]
    BudgetFull,
}

impl Rejection {
    /// Creates a rejection because of an invalid header.
    pub fn bad_header(name: &HeaderName, reason: &str) -> Self {
        Self::BadHeader { name: name.to_string(), reason: reason.to_owned() }
    }

    /// Returns the HTTP status for the caller.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::BadHost { .. }
            | Self::BadHeader { .. }
            | Self::BodyIncomplete
            | Self::DigestMismatch => StatusCode::BAD_REQUEST,
            Self::BadMethod { .. } => StatusCode::NOT_IMPLEMENTED,
            Self::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout { .. } => StatusCode::REQUEST_TIMEOUT,
            Self::BodyStalled | Self::BudgetFull => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the answer for the caller; its verdict is `not-run`.
    pub fn problem(&self) -> Problem {
        let problem = Problem::new(self.status(), Verdict::NotRun).with_detail(&self.to_string());
        match self {
            Self::BudgetFull => problem.with_retry_after(BUDGET_RETRY_AFTER),
            Self::BodyStalled => problem.with_retry_after(BUDGET_RETRY_AFTER).with_close(),
            // The rest of the body may still arrive; on a connection that stays open it would be
            // read as the next request.
            Self::BodyTooLarge { .. } | Self::BodyTimeout { .. } | Self::BodyIncomplete => {
                problem.with_close()
            }
            _ => problem,
        }
    }
}
