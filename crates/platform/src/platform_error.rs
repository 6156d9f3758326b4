//! Errors of calls to the platform.

use std::error::Error;
use std::fmt;

use shallotfork_types::{Bytes, Endpoint};

/// When a call to a replica of the platform failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformError {
    /// The replica that was asked.
    pub replica: Endpoint,
    /// What went wrong.
    pub kind: PlatformErrorKind,
}

/// What went wrong in a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformErrorKind {
    /// No connection, or it broke.
    Unreachable(String),
    /// No whole answer in time.
    Timeout,
    /// An HTTP status that is not an answer.
    Status(u16),
    /// The answer or a list in it is over this limit.
    TooLarge(Bytes),
    /// The answer is not what the interface says.
    Malformed(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "platform {}: {}", self.replica, self.kind)
    }
}

impl fmt::Display for PlatformErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "unreachable: {reason}"),
            Self::Timeout => f.write_str("no whole answer in time"),
            Self::Status(status) => write!(f, "status {status}"),
            Self::TooLarge(limit) => write!(f, "answer over {limit}"),
            Self::Malformed(reason) => write!(f, "malformed answer: {reason}"),
        }
    }
}

impl Error for PlatformError {}
