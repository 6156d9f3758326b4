//! Counts the connections that are opened to targets, by what they are opened for.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// What a connection to a target is opened for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPurpose {
    /// To send a request of a caller.
    Request,
    /// To ask the target for its load.
    Probe,
    /// To see whether the target's port refuses connections.
    PortCheck,
}

/// Connections opened since the process began, whether they were established or not.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OpenedConnections {
    /// For requests of callers.
    pub requests: u64,
    /// For questions about a target's load.
    pub probes: u64,
    /// To see whether a port refuses connections.
    pub port_checks: u64,
}

/// The counters behind [`OpenedConnections`]; clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct OpeningCounters {
    counters: Arc<[AtomicU64; 3]>,
}

impl OpeningCounters {
    pub(crate) fn count(&self, purpose: ConnectionPurpose) {
        self.counter(purpose).fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn read(&self) -> OpenedConnections {
        let read = |purpose| self.counter(purpose).load(Ordering::Relaxed);
        OpenedConnections {
            requests: read(ConnectionPurpose::Request),
            probes: read(ConnectionPurpose::Probe),
            port_checks: read(ConnectionPurpose::PortCheck),
        }
    }

    fn counter(&self, purpose: ConnectionPurpose) -> &AtomicU64 {
        &self.counters[purpose as usize]
    }
}
