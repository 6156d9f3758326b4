//! Requests that are begun while the one before them on the connection is being answered.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Requests begun early on one connection at most.
const EARLY_MAX: usize = 8;

/// The early requests of one connection. Dropping it ends those that nobody has asked for: their
/// caller has left, or sends them again because the connection closes before their answers.
#[derive(Debug, Default)]
pub(crate) struct EarlyRequests {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Requests that the HTTP library has handed over.
    handed_over: u64,
    begun: HashMap<u64, JoinHandle<poem::Response>>,
    /// When the heads arrived that have been found ahead of their turn.
    arrived: HashMap<u64, Instant>,
}

/// A request whose turn has come.
#[derive(Debug)]
pub(crate) struct Turn {
    /// Its answer in the making, if it was begun early.
    pub(crate) begun: Option<JoinHandle<poem::Response>>,
    /// When its head arrived, if it was found ahead of its turn.
    pub(crate) arrived: Option<Instant>,
}

/// When a request arrived, in its extensions. One that has waited behind others on its connection
/// has used up that much of its caller's patience before it is handed over.
#[derive(Debug, Clone, Copy)]
pub struct ArrivedAt(pub Instant);

impl EarlyRequests {
    /// A head has been found ahead of its turn.
    pub(crate) fn arrived(&self, number: u64) {
        let mut state = self.lock();
        if number >= state.handed_over {
            state.arrived.insert(number, Instant::now());
        }
    }

    /// Begins a request unless the library has handed it over already, or too many wait.
    pub(crate) fn begin(&self, number: u64, begin: impl FnOnce() -> JoinHandle<poem::Response>) {
        let mut state = self.lock();
        // The first one is handed over as soon as it is read.
        let waits_behind_another = number >= state.handed_over && number > 0;
        if waits_behind_another && state.begun.len() < EARLY_MAX {
            state.begun.insert(number, begin());
        }
    }

    /// The library hands over the next request.
    pub(crate) fn hand_over(&self) -> Turn {
        let mut state = self.lock();
        let number = state.handed_over;
        state.handed_over += 1;
        Turn { begun: state.begun.remove(&number), arrived: state.arrived.remove(&number) }
    }

    /// Whether requests were found that have not been handed over yet.
    pub(crate) fn any(&self) -> bool {
        !self.lock().arrived.is_empty()
    }

    /// Whether requests were begun that have not been handed over yet.
    pub(crate) fn any_begun(&self) -> bool {
        !self.lock().begun.is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for EarlyRequests {
    fn drop(&mut self) {
        for (_, answer) in self.lock().begun.drain() {
            answer.abort();
        }
    }
}

/// Ends an answer in the making when its caller leaves.
pub(crate) struct Awaited(pub(crate) JoinHandle<poem::Response>);

impl Drop for Awaited {
    fn drop(&mut self) {
        self.0.abort();
    }
}
