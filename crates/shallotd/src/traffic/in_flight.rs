//! Counts the requests in flight, so that a planned stop can wait for them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

#[derive(Debug, Default)]
struct Counter {
    requests: AtomicUsize,
    drained: Notify,
}

/// The number of requests that this process is working on.
#[derive(Debug, Clone, Default)]
pub struct InFlight {
    counter: Arc<Counter>,
}

/// Counts one request for as long as it lives.
#[derive(Debug)]
pub struct InFlightGuard {
    counter: Arc<Counter>,
}

impl InFlight {
    /// Counts one more request.
    pub fn enter(&self) -> InFlightGuard {
        self.counter.requests.fetch_add(1, Ordering::SeqCst);
        InFlightGuard { counter: Arc::clone(&self.counter) }
    }

    /// Requests in flight now.
    pub fn requests(&self) -> usize {
        self.counter.requests.load(Ordering::SeqCst)
    }

    /// Waits until no request is in flight.
    pub async fn drained(&self) {
        loop {
            let drained = self.counter.drained.notified();
            if self.requests() == 0 {
                return;
            }
            drained.await;
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if self.counter.requests.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.counter.drained.notify_waiters();
        }
    }
}
