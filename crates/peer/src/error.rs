//! Error type of calls to a peer.

use std::error::Error;
use std::fmt;

/// Reason why a call to a peer returned no response.
///
/// With any of these errors the peer may still have executed the call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerError {
    /// The connection could not be opened, or it was lost.
    Unreachable(String),
    /// No response arrived before the timeout.
    TimedOut,
    /// One side did not prove possession of the shared key, or is not the requested VM.
    Refused,
    /// The peer has reached its limit for forwarding published values. The call may be retried now
    /// at another peer, or later at this one.
    Busy,
    /// The peer responded with an error or with an invalid message.
    Invalid(String),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "peer unreachable: {reason}"),
            Self::TimedOut => f.write_str("call to peer timed out"),
            Self::Refused => f.write_str("peer authentication failed: key not proved or wrong VM"),
            Self::Busy => f.write_str("peer is busy"),
            Self::Invalid(reason) => write!(f, "invalid response from peer: {reason}"),
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
