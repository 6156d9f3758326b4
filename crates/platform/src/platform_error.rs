//! Error for calls to the platform.

use std::error::Error;
use std::fmt;

use shallotfork_types::{Bytes, Endpoint};

/// Failure of a call to a replica of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformError {
    /// Replica that was called.
    pub replica: Endpoint,
    /// Kind of the failure.
    pub kind: PlatformErrorKind,
}

/// Kinds of failures of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformErrorKind {
    /// The connection could not be established, or it broke.
    Unreachable(String),
    /// No complete answer arrived before the timeout.
    Timeout,
    /// Unexpected HTTP status.
    Status(u16),
    /// The answer or a list in it is larger than this limit.
    TooLarge(Bytes),
    /// The answer does not follow the protocol.
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
            Self::Timeout => f.write_str("no complete answer before the timeout"),
            Self::Status(status) => write!(f, "unexpected status {status}"),
            Self::TooLarge(limit) => write!(f, "answer larger than {limit}"),
            Self::Malformed(reason) => write!(f, "malformed answer: {reason}"),
        }
    }
}

impl Error for PlatformError {}
