//! Counts the connections opened to targets by their purpose.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The purpose of a connection to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPurpose {
    /// To send a request of a caller.
    Request,
    /// To probe the target's load.
    Probe,
    /// To check whether the target's port refuses connections.
    PortCheck,
    /// To check whether the target can be reached. Always opens a connection.
    PathCheck,
}

/// Number of connections opened since the start of the process, including failed ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OpenedConnections {
    /// For requests of callers.
    pub requests: u64,
    /// For probes of a target's load.
    pub probes: u64,
    /// For checks whether a port refuses connections.
    pub port_checks: u64,
    /// For checks whether targets can be reached.
    pub path_checks: u64,
}

/// The counters behind [`OpenedConnections`]; clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConnectionCounters {
    counters: Arc<[AtomicU64; 4]>,
}

impl ConnectionCounters {
    pub(crate) fn count(&self, purpose: ConnectionPurpose) {
        self.counter(purpose).fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn read(&self) -> OpenedConnections {
        let read = |purpose| self.counter(purpose).load(Ordering::Relaxed);
        OpenedConnections {
            requests: read(ConnectionPurpose::Request),
            probes: read(ConnectionPurpose::Probe),
            port_checks: read(ConnectionPurpose::PortCheck),
            path_checks: read(ConnectionPurpose::PathCheck),
        }
    }

    fn counter(&self, purpose: ConnectionPurpose) -> &AtomicU64 {
        &self.counters[purpose as usize]
    }
}
