//! Connections that are closed for writing and still read, until their caller closes them too.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio_util::sync::CancellationToken;

/// The lingering connections of one port; clones share them.
///
/// Each holds a file descriptor and, in the kernel, the bytes that its caller has not taken. Their
/// number is therefore limited, and the longest lingering one gives way to a new one.
#[derive(Debug, Clone, Default)]
pub(crate) struct LingeringConnections {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    next_number: u64,
    connections: BTreeMap<u64, CancellationToken>,
}

impl LingeringConnections {
    /// Registers a connection until the guard is dropped. If more than `connections_max` linger,
    /// the first of them has to end.
    pub(crate) fn register(&self, connections_max: usize) -> LingerGuard {
        let mut state = self.lock();
        let number = state.next_number;
        state.next_number += 1;
        let end = CancellationToken::new();
        state.connections.insert(number, end.clone());
        while state.connections.len() > connections_max {
            let Some((_, first)) = state.connections.pop_first() else { break };
            first.cancel();
        }
        LingerGuard { connections: self.clone(), number, end }
    }

    /// Returns the number of lingering connections.
    pub(crate) fn count(&self) -> usize {
        self.lock().connections.len()
    }

    /// Ends all of them, because their file descriptors are needed.
    pub(crate) fn end_all(&self) {
        for (_, connection) in std::mem::take(&mut self.lock().connections) {
            connection.cancel();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Registration of one lingering connection.
#[derive(Debug)]
pub(crate) struct LingerGuard {
    connections: LingeringConnections,
    number: u64,
    end: CancellationToken,
}

impl LingerGuard {
    /// Waits until the connection has to end.
    pub(crate) async fn ended(&self) {
        self.end.cancelled().await;
    }
}

impl Drop for LingerGuard {
    fn drop(&mut self) {
        self.connections.lock().connections.remove(&self.number);
    }
}
