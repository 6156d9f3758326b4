//! Pipelined requests that start while an earlier request on the connection is being answered.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Limit on the requests of one connection that are started before their turn.
const STARTED_MAX: usize = 8;

/// The pipelined requests of one connection.
///
/// Dropping it aborts started requests that the HTTP library has not dispatched yet: their caller
/// has disconnected, or will resend them because the connection closes before their answers.
#[derive(Debug, Default)]
pub(crate) struct PipelinedRequests {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of requests that the HTTP library has dispatched.
    dispatched: u64,
    started: HashMap<u64, JoinHandle<poem::Response>>,
    /// Arrival times of requests that were received but not dispatched yet.
    arrived_at: HashMap<u64, Instant>,
}

/// What is known about a request when the HTTP library dispatches it.
#[derive(Debug)]
pub(crate) struct DispatchedRequest {
    /// The task that makes the answer, if the request was started early.
    pub(crate) started: Option<JoinHandle<poem::Response>>,
    /// When the head arrived, if it was read ahead.
    pub(crate) arrived_at: Option<Instant>,
}

/// Request extension with the arrival time of a request that was read ahead.
///
/// The caller's timeout runs while the request waits behind others on its connection.
#[derive(Debug, Clone, Copy)]
pub struct ArrivedAt(pub Instant);

impl PipelinedRequests {
    /// Records the arrival of a request whose head was read ahead.
    pub(crate) fn record_arrival(&self, index: u64) {
        let mut state = self.lock();
        if index >= state.dispatched {
            state.arrived_at.insert(index, Instant::now());
        }
    }

    /// Starts a request, unless the HTTP library has dispatched it already or too many are started.
    pub(crate) fn start(&self, index: u64, start: impl FnOnce() -> JoinHandle<poem::Response>) {
        let mut state = self.lock();
        // The first request is dispatched as soon as it is read.
        let waits_behind_another = index >= state.dispatched && index > 0;
        if waits_behind_another && state.started.len() < STARTED_MAX {
            state.started.insert(index, start());
        }
    }

    /// Records that the HTTP library dispatches the next request.
    pub(crate) fn dispatch_next(&self) -> DispatchedRequest {
        let mut state = self.lock();
        let index = state.dispatched;
        state.dispatched += 1;
        DispatchedRequest {
            started: state.started.remove(&index),
            arrived_at: state.arrived_at.remove(&index),
        }
    }

    /// Returns whether requests were received that have not been dispatched yet.
    pub(crate) fn has_waiting(&self) -> bool {
        !self.lock().arrived_at.is_empty()
    }

    /// Returns whether requests were started that have not been dispatched yet.
    pub(crate) fn has_started(&self) -> bool {
        !self.lock().started.is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for PipelinedRequests {
    fn drop(&mut self) {
        for (_, task) in self.lock().started.drain() {
            task.abort();
        }
    }
}

/// Aborts the task that makes an answer when the caller disconnects before it is done.
pub(crate) struct AbortOnDrop(pub(crate) JoinHandle<poem::Response>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
