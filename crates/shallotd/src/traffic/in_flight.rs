//! Counter of requests in flight, which a planned stop waits for.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

#[derive(Debug, Default)]
struct Counter {
    requests: AtomicUsize,
    drained: Notify,
}

/// Number of requests in flight in this process.
#[derive(Debug, Clone, Default)]
pub struct InFlight {
    counter: Arc<Counter>,
}

/// Guard that counts one request until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    counter: Arc<Counter>,
}

impl InFlight {
    /// Adds one request until the guard is dropped.
    pub fn enter(&self) -> InFlightGuard {
        self.counter.requests.fetch_add(1, Ordering::SeqCst);
        InFlightGuard { counter: Arc::clone(&self.counter) }
    }

    /// Returns the number of requests in flight.
    pub fn requests(&self) -> usize {
        self.counter.requests.load(Ordering::SeqCst)
    }

    /// Waits until no request is in flight.
    pub async fn wait_until_drained(&self) {
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
