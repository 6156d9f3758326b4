//! Memory for the bodies of requests that are being received.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::progress::Progress;

/// Lag after which a body gives way to others that need its memory. Shorter gaps occur in the
/// network.
const YIELD_AFTER: Duration = Duration::from_millis(500);

/// The request bodies that a process is receiving.
///
/// When memory is short, those give way that lag furthest behind. Otherwise, callers that stop just
/// before the end of their bodies would keep all others out until the timeout for bodies.
#[derive(Debug, Default)]
pub(crate) struct IncomingBodies {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next_number: u64,
    bodies: HashMap<u64, Incoming>,
}

#[derive(Debug)]
struct Incoming {
    held_bytes: u64,
    progress: Progress,
    give_way: CancellationToken,
}

impl IncomingBodies {
    /// Registers a body until the guard is dropped.
    pub(crate) fn start(self: &Arc<Self>) -> IncomingGuard {
        let mut state = self.lock();
        let number = state.next_number;
        state.next_number += 1;
        let give_way = CancellationToken::new();
        let progress = Progress::new(Instant::now());
        let body = Incoming { held_bytes: 0, progress, give_way: give_way.clone() };
        state.bodies.insert(number, body);
        IncomingGuard { bodies: Arc::clone(self), number, give_way }
    }

    /// Asks bodies to give way until `needed_bytes` are about to be released; returns `false`, and
    /// asks none, if not enough of them lag behind.
    pub(crate) fn make_room(&self, needed_bytes: u64) -> bool {
        let now = Instant::now();
        let state = self.lock();
        let is_yielding = |body: &&Incoming| body.give_way.is_cancelled();
        let mut freed_bytes: u64 =
            state.bodies.values().filter(is_yielding).map(|body| body.held_bytes).sum();
        let mut lagging: Vec<&Incoming> = state
            .bodies
            .values()
            .filter(|body| !is_yielding(body) && body.held_bytes > 0)
            .filter(|body| body.progress.lag(now) >= YIELD_AFTER)
            .collect();
        lagging.sort_by_key(|body| std::cmp::Reverse(body.progress.lag(now)));
        let mut chosen = Vec::new();
        for body in lagging {
            if freed_bytes >= needed_bytes {
                break;
            }
            freed_bytes += body.held_bytes;
            chosen.push(body);
        }
        if freed_bytes < needed_bytes {
            return false;
        }
        chosen.iter().for_each(|body| body.give_way.cancel());
        true
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Registration of one body.
#[derive(Debug)]
pub(crate) struct IncomingGuard {
    bodies: Arc<IncomingBodies>,
    number: u64,
    give_way: CancellationToken,
}

impl IncomingGuard {
    /// Records bytes that were received.
    pub(crate) fn record_received(&self, size_bytes: u64) {
        if let Some(body) = self.bodies.lock().bodies.get_mut(&self.number) {
            body.progress.record(size_bytes, Instant::now());
        }
    }

    /// Sets the memory that the body uses.
    pub(crate) fn set_held(&self, held_bytes: u64) {
        if let Some(body) = self.bodies.lock().bodies.get_mut(&self.number) {
            body.held_bytes = held_bytes;
        }
    }

    /// Returns the token that is cancelled when the body has to give way to others.
    pub(crate) fn give_way(&self) -> CancellationToken {
        self.give_way.clone()
    }
}

impl Drop for IncomingGuard {
    fn drop(&mut self) {
        self.bodies.lock().bodies.remove(&self.number);
    }
}
