//! Pipelined requests that start while an earlier request on the connection is being answered.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::activity::RequestGuard;
use crate::serve_control::CountGuard;

/// Limit on the requests of one connection that are started before their turn.
const STARTED_MAX: usize = 8;

/// The pipelined requests of one connection.
///
/// Dropping it aborts started requests that the HTTP library has not dispatched yet, since their
/// caller has disconnected.
#[derive(Debug, Default)]
pub(crate) struct PipelinedRequests {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of requests that the HTTP library has dispatched.
    dispatched: u64,
    started: HashMap<u64, StartedRequest>,
    /// Arrival times of requests that were received but not dispatched yet.
    arrived_at: HashMap<u64, Instant>,
}

/// Counts a request as in progress, at its port and on its connection, until dropped.
#[derive(Debug)]
pub(crate) struct InProgress {
    _in_flight: CountGuard,
    _on_connection: RequestGuard,
}

impl InProgress {
    pub(crate) fn new(in_flight: CountGuard, on_connection: RequestGuard) -> Self {
        Self { _in_flight: in_flight, _on_connection: on_connection }
    }
}

/// A request that was started before the HTTP library dispatched it.
#[derive(Debug)]
pub(crate) struct StartedRequest {
    /// The task that makes the answer.
    pub(crate) task: AbortOnDrop,
    /// Held from the start, so that neither the connection nor the process ends while a finished
    /// answer waits for its turn.
    pub(crate) in_progress: InProgress,
}

/// What is known about a request when the HTTP library dispatches it.
#[derive(Debug)]
pub(crate) struct DispatchedRequest {
    /// The request's task and guard, if it was started early.
    pub(crate) started: Option<StartedRequest>,
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
    pub(crate) fn start(&self, index: u64, start: impl FnOnce() -> StartedRequest) {
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

    /// Aborts the started requests that have not been dispatched yet.
    pub(crate) fn abort_started(&self) {
        self.lock().started.clear();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Aborts the task that makes an answer when the caller disconnects before it is done.
#[derive(Debug)]
pub(crate) struct AbortOnDrop(pub(crate) JoinHandle<poem::Response>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
