//! Origin of an offered list.

use std::fmt;

use shallotfork_types::{Endpoint, VmId};

/// The sender of a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListSource {
    /// A replica of the platform.
    Platform(Endpoint),
    /// Another entry.
    Peer(VmId),
}

impl fmt::Display for ListSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(replica) => write!(f, "platform {replica}"),
            Self::Peer(vm) => write!(f, "peer {vm}"),
        }
    }
}
