//! Why a call to a peer failed.

use std::error::Error;
use std::fmt;

/// When a call to a peer brings no answer.
///
/// None of these proves that the peer did not act on the call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerError {
    /// There is no connection, or it broke.
    Unreachable(String),
    /// No answer came in time.
    TimedOut,
    /// One side did not prove the shared key, or is not the VM that was asked for.
    Refused,
    /// The peer hands on as much as it can; another one may be asked now, this one later.
    Busy,
    /// The peer answered with an error or with something that is not valid.
    Invalid(String),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "peer unreachable: {reason}"),
            Self::TimedOut => f.write_str("peer did not answer in time"),
            Self::Refused => f.write_str("peer refused: shared key not proved or other VM"),
            Self::Busy => f.write_str("peer is busy"),
            Self::Invalid(reason) => write!(f, "peer's answer not valid: {reason}"),
        }
    }
}

impl Error for PeerError {}

impl From<capnp::Error> for PeerError {
    fn from(error: capnp::Error) -> Self {
        match error.kind {
            capnp::ErrorKind::Overloaded => Self::Busy,
            capnp::ErrorKind::Disconnected => Self::Unreachable(error.to_string()),
            _ => Self::Invalid(error.to_string()),
        }
    }
}
