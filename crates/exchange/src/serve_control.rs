//! Monitors and stops a served port.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use shallotfork_types::Bytes;
use tokio_util::sync::CancellationToken;

use crate::lingering::LingeringConnections;
use crate::served_connections::ServedConnections;

/// Monitors and stops a served port; clones refer to the same port.
#[derive(Debug, Clone, Default)]
pub struct ServeControl {
    shared: Arc<Shared>,
    served: ServedConnections,
}

#[derive(Debug, Default)]
pub(crate) struct Shared {
    closing: AtomicBool,
    /// Number of calls to [`ServeControl::renew_connections`].
    renewals: AtomicU64,
    stop: CancellationToken,
    connections: AtomicUsize,
    in_flight: AtomicUsize,
    writing: AtomicUsize,
    stalled_connections: AtomicU64,
    lingering: LingeringConnections,
    idle_timeout: Mutex<Option<Duration>>,
    head_limits: Mutex<Option<HeadLimits>>,
}

/// Limits on the heads of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadLimits {
    /// The maximum size of a head.
    pub size_max: Bytes,
    /// The timeout for receiving a head.
    pub timeout: Duration,
}

impl ServeControl {
    /// Creates the control of a port that is not served yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the registry of open connections, which several ports may share.
    #[must_use]
    pub fn with_connections(mut self, connections: ServedConnections) -> Self {
        self.served = connections;
        self
    }

    pub(crate) fn served_connections(&self) -> &ServedConnections {
        &self.served
    }

    /// Adds `Connection: close` to HTTP/1 answers from now on, so that callers with open
    /// connections move to another entry before this one stops. Pipelined requests that have
    /// already started are answered first.
    pub fn announce_close(&self) {
        self.shared.closing.store(true, Ordering::Relaxed);
    }

    /// Makes callers replace all connections that are open now: the next HTTP/1 answer on each has
    /// `Connection: close`, unless further requests wait behind it.
    ///
    /// A caller with an open connection stays with its entry as long as that entry is advertised to
    /// it. When other advertised entries change, their callers choose again among all entries, and
    /// the unchanged entry would end up with more than its share of callers.
    pub fn renew_connections(&self) {
        self.shared.renewals.fetch_add(1, Ordering::Relaxed);
    }

    /// Replaces the [`idle_timeout`](crate::ServeConfig::idle_timeout), also for open connections.
    pub fn set_idle_timeout(&self, timeout: Duration) {
        let mut current = self.shared.idle_timeout.lock().unwrap_or_else(PoisonError::into_inner);
        *current = Some(timeout);
    }

    /// Replaces [`header_max`](crate::ServeConfig::header_max), and
    /// [`header_timeout`](crate::ServeConfig::header_timeout) for heads that have begun, on
    /// connections that are opened from now on.
    pub fn set_head_limits(&self, limits: HeadLimits) {
        let mut current = self.shared.head_limits.lock().unwrap_or_else(PoisonError::into_inner);
        *current = Some(limits);
    }

    pub(crate) fn head_limits(&self) -> Option<HeadLimits> {
        *self.shared.head_limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn idle_timeout(&self) -> Option<Duration> {
        *self.shared.idle_timeout.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stops accepting connections and requests; requests in flight are completed.
    pub fn stop(&self) {
        self.announce_close();
        self.shared.stop.cancel();
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Returns the number of requests whose answer is not ready yet.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the number of answers that are ready, and whose last byte their caller's connection
    /// has not taken yet.
    pub fn writing(&self) -> usize {
        self.shared.writing.load(Ordering::Relaxed)
    }

    /// Returns how many connections were closed because their caller took nothing of an answer for
    /// the [`stall_timeout`](crate::ServeConfig::stall_timeout).
    pub fn stalled_connections(&self) -> u64 {
        self.shared.stalled_connections.load(Ordering::Relaxed)
    }

    /// Returns the number of connections whose last answer is written and that are read on until
    /// their caller closes them, because it may not have read that answer yet.
    pub fn lingering(&self) -> usize {
        self.shared.lingering.count()
    }

    pub(crate) fn lingering_connections(&self) -> &LingeringConnections {
        &self.shared.lingering
    }

    pub(crate) fn record_stalled_connection(&self) {
        self.shared.stalled_connections.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the token that is cancelled by [`ServeControl::stop`].
    pub(crate) fn stop_token(&self) -> &CancellationToken {
        &self.shared.stop
    }

    /// Counts an open connection until the guard is dropped.
    pub(crate) fn count_connection(&self) -> CountGuard {
        CountGuard::new(&self.shared, |shared| &shared.connections)
    }

    /// Counts a request in flight until the guard is dropped.
    pub(crate) fn count_in_flight(&self) -> CountGuard {
        CountGuard::new(&self.shared, |shared| &shared.in_flight)
    }

    /// Counts an answer that is being written until the guard is dropped.
    pub(crate) fn count_writing(&self) -> CountGuard {
        CountGuard::new(&self.shared, |shared| &shared.writing)
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.shared.closing.load(Ordering::Relaxed)
    }

    pub(crate) fn renewals(&self) -> u64 {
        self.shared.renewals.load(Ordering::Relaxed)
    }
}

/// Increments a counter until it is dropped.
#[derive(Debug)]
pub(crate) struct CountGuard {
    shared: Arc<Shared>,
    counter: fn(&Shared) -> &AtomicUsize,
}

impl CountGuard {
    fn new(shared: &Arc<Shared>, counter: fn(&Shared) -> &AtomicUsize) -> Self {
        counter(shared).fetch_add(1, Ordering::Relaxed);
        Self { shared: Arc::clone(shared), counter }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.counter)(&self.shared).fetch_sub(1, Ordering::Relaxed);
    }
}
