//! The open connections of callers, and the memory that they may use together.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use shallotfork_types::Bytes;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::activity::Activity;

const DEFAULT_COUNT_MAX: usize = 10_000;

/// Limits on the open connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServedLimits {
    /// The maximum number of connections; 10,000 by default.
    pub count_max: usize,
    /// The maximum of the memory that they use for themselves, for heads, and for bytes that are
    /// read ahead or wait in the kernel; unlimited by default.
    pub memory_max: Bytes,
}

impl Default for ServedLimits {
    fn default() -> Self {
        Self { count_max: DEFAULT_COUNT_MAX, memory_max: Bytes::new(u64::MAX) }
    }
}

/// The open connections of one or more ports; clones share them.
///
/// Beyond a limit, the connection is closed that has made no progress for longest. One whose request
/// is being processed stays open; a new connection is refused if all others are such.
#[derive(Debug, Clone, Default)]
pub struct ServedConnections {
    limits: ServedLimits,
    state: Arc<Mutex<State>>,
    /// Notified when a connection has closed.
    closed: Arc<Notify>,
}

#[derive(Debug, Default)]
struct State {
    next_number: u64,
    held_bytes: u64,
    evicted_count: u64,
    /// Number of connections, with those that were evicted and are about to close.
    open_count: usize,
    connections: HashMap<u64, Served>,
}

#[derive(Debug)]
struct Served {
    activity: Arc<Activity>,
    held_bytes: u64,
    evicted: CancellationToken,
}

impl ServedConnections {
    /// Creates a registry without connections.
    pub fn new(limits: ServedLimits) -> Self {
        Self { limits, state: Arc::default(), closed: Arc::default() }
    }

    /// Returns the memory that open connections use.
    pub fn memory(&self) -> Bytes {
        Bytes::new(self.lock().held_bytes)
    }

    /// Returns the number of connections that were closed or refused because of the limits.
    pub fn evicted_count(&self) -> u64 {
        self.lock().evicted_count
    }

    /// Registers a connection that uses `held_bytes`, until the guard is dropped; returns `None` if
    /// the limits have no room for it.
    pub(crate) fn register(
        &self,
        activity: Arc<Activity>,
        held_bytes: u64,
    ) -> Option<ConnectionGuard> {
        let mut state = self.lock();
        let number = state.next_number;
        state.next_number += 1;
        let evicted = CancellationToken::new();
        state.held_bytes += held_bytes;
        state.open_count += 1;
        let served = Served { activity, held_bytes, evicted: evicted.clone() };
        state.connections.insert(number, served);
        state.enforce(&self.limits);
        let is_open = state.connections.contains_key(&number);
        drop(state);
        let guard = ConnectionGuard { connections: self.clone(), number, evicted };
        is_open.then_some(guard)
    }

    /// Waits until evicted connections have closed, so that the descriptors of all stay within the
    /// limit.
    pub(crate) async fn wait_for_evicted(&self) {
        loop {
            let mut closed = std::pin::pin!(self.closed.notified());
            closed.as_mut().enable();
            if self.lock().open_count <= self.limits.count_max {
                return;
            }
            closed.await;
        }
    }

    /// Closes the connection whose caller has taken nothing of its answers for longest; returns
    /// `false` if all callers take their answers.
    pub(crate) fn evict_held_up(&self) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        let held_up = state
            .connections
            .iter()
            .filter_map(|(number, served)| Some((served.activity.held_up_for(now)?, *number)))
            .max();
        let Some((_, number)) = held_up else { return false };
        state.evict(number);
        true
    }

    /// Closes the connection that has made no progress for longest, because its descriptor is needed.
    pub(crate) fn evict_one(&self) {
        let mut state = self.lock();
        if let Some(number) = state.longest_without_progress() {
            state.evict(number);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn is_over(&self, limits: &ServedLimits) -> bool {
        self.connections.len() > limits.count_max || self.held_bytes > limits.memory_max.value()
    }

    /// Closes connections until the others are within the limits.
    fn enforce(&mut self, limits: &ServedLimits) {
        while self.is_over(limits) {
            let Some(number) = self.longest_without_progress() else { return };
            self.evict(number);
        }
    }

    fn longest_without_progress(&self) -> Option<u64> {
        let now = Instant::now();
        let evictable = self
            .connections
            .iter()
            .filter_map(|(number, served)| Some((served.activity.eviction_rank(now)?, *number)));
        evictable.max().map(|(_, number)| number)
    }

    fn evict(&mut self, number: u64) {
        if let Some(served) = self.remove(number) {
            self.evicted_count += 1;
            served.evicted.cancel();
        }
    }

    fn remove(&mut self, number: u64) -> Option<Served> {
        let served = self.connections.remove(&number)?;
        self.held_bytes -= served.held_bytes;
        Some(served)
    }
}

/// Registration of one connection.
#[derive(Debug)]
pub(crate) struct ConnectionGuard {
    connections: ServedConnections,
    number: u64,
    evicted: CancellationToken,
}

impl ConnectionGuard {
    /// Sets the memory that the connection uses.
    pub(crate) fn set_held(&self, held_bytes: u64) {
        let mut state = self.connections.lock();
        let Some(served) = state.connections.get_mut(&self.number) else { return };
        let before_bytes = std::mem::replace(&mut served.held_bytes, held_bytes);
        state.held_bytes = state.held_bytes - before_bytes + held_bytes;
        state.enforce(&self.connections.limits);
    }

    /// Waits until the connection has to end.
    pub(crate) async fn evicted(&self) {
        self.evicted.cancelled().await;
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut state = self.connections.lock();
        state.remove(self.number);
        state.open_count -= 1;
        drop(state);
        self.connections.closed.notify_waiters();
    }
}
