//! Requests that are refused before any target sees them.

use std::time::Duration;

use http::StatusCode;
use http::header::HeaderName;
use shallotfork_types::{Bytes, Verdict};
use thiserror::Error;

use crate::problem::Problem;

/// Advice to a caller that meets a full process; long enough for most bodies to be done.
const BUDGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a caller's request was not taken; no target has seen a byte of it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Rejection {
    /// `Host` or `:authority` is missing or names no service.
    #[error("the host names no service: {reason}")]
    BadHost {
        /// What is wrong with it.
        reason: String,
    },
    /// A header of the system or of message framing can't be used.
    #[error("header {name}: {reason}")]
    BadHeader {
        /// The header.
        name: String,
        /// What is wrong with it.
        reason: String,
    },
    /// `CONNECT`, or a switch of protocols, which an HTTP intermediary of this kind can't do.
    #[error("method {method} is not served")]
    BadMethod {
        /// The method.
        method: String,
    },
    /// The body is over the limit for one body.
    #[error("the body is larger than {limit}")]
    BodyTooLarge {
        /// The limit.
        limit: Bytes,
    },
    /// The body did not arrive in time.
    #[error("the body did not arrive within {} ms", limit.as_millis())]
    BodyTimeout {
        /// The time allowed.
        limit: Duration,
    },
    /// The connection ended inside the body, or the body's framing is broken.
    #[error("the body is incomplete")]
    BodyIncomplete,
    /// The body is not the one its `Content-Digest` was made from.
    #[error("the body differs from its Content-Digest")]
    DigestMismatch,
    /// All memory for bodies is in use.
    #[error("too many bodies are held at the moment")]
    BudgetFull,
}

impl Rejection {
    /// A header that can't be used.
    pub fn bad_header(name: &HeaderName, reason: &str) -> Self {
        Self::BadHeader { name: name.to_string(), reason: reason.to_owned() }
    }

    /// The HTTP status for the caller.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::BadHost { .. }
            | Self::BadHeader { .. }
            | Self::BodyIncomplete
            | Self::DigestMismatch => StatusCode::BAD_REQUEST,
            Self::BadMethod { .. } => StatusCode::NOT_IMPLEMENTED,
            Self::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout { .. } => StatusCode::REQUEST_TIMEOUT,
            Self::BudgetFull => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The answer for the caller; the verdict is `not-run`.
    pub fn problem(&self) -> Problem {
        let problem = Problem::new(self.status(), Verdict::NotRun).with_detail(&self.to_string());
        match self {
            Self::BudgetFull => problem.with_retry_after(BUDGET_RETRY_AFTER),
            // The rest of the body may still be on its way; a connection that is kept would take
            // it for the next request.
            Self::BodyTooLarge { .. } | Self::BodyTimeout { .. } | Self::BodyIncomplete => {
                problem.with_close()
            }
            _ => problem,
        }
    }
}
