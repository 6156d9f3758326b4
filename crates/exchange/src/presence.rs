//! Whether the caller of a request is still there.

use std::sync::{Mutex, PoisonError, Weak};

use crate::ahead::Reading;

/// The caller's side of a connection, in the extensions of each request on it.
#[derive(Debug, Clone)]
pub struct CallerConnection {
    /// Weak, since a request in the making must not keep a closed connection's socket.
    reading: Weak<Mutex<Reading>>,
}

impl CallerConnection {
    pub(crate) fn new(reading: Weak<Mutex<Reading>>) -> Self {
        Self { reading }
    }

    /// Whether the caller has ended its connection, as the kernel knows it now. A process that is
    /// behind hears of that from its runtime only when it gets to it, and would begin the work of
    /// callers that have left.
    pub fn is_closed(&self) -> bool {
        self.reading.upgrade().is_none_or(|reading| {
            reading.lock().unwrap_or_else(PoisonError::into_inner).has_ended()
        })
    }
}
