//! Detects whether the caller of a request has disconnected.

use std::sync::{Mutex, PoisonError, Weak};

use tokio::time::Instant;

use crate::activity::{Activity, ReceivingGuard};
use crate::read_ahead::ReadState;

/// Request extension that refers to the caller's connection.
#[derive(Debug, Clone)]
pub struct CallerConnection {
    /// Weak, because a request in progress must not keep the socket of a closed connection open.
    state: Weak<Mutex<ReadState>>,
    activity: Weak<Activity>,
}

impl CallerConnection {
    pub(crate) fn new(state: Weak<Mutex<ReadState>>, activity: Weak<Activity>) -> Self {
        Self { state, activity }
    }

    /// Records that the body of a request is being received, until the returned guard is dropped.
    pub(crate) fn receive_body(&self) -> Option<ReceivingGuard> {
        self.activity.upgrade().map(|activity| activity.receive_body())
    }

    /// Returns whether earlier answers wait for the caller and it takes none of them, so that a further
    /// answer would only be held with them.
    pub fn is_held_up(&self) -> bool {
        let activity = self.activity.upgrade();
        activity.is_some_and(|activity| activity.held_up_for(Instant::now()).is_some())
    }

    /// Returns whether the caller has closed its connection, according to the kernel.
    ///
    /// In an overloaded process the async runtime detects a closed connection late, and work would
    /// start for callers that have disconnected.
    pub fn is_closed(&self) -> bool {
        self.state
            .upgrade()
            .is_none_or(|state| state.lock().unwrap_or_else(PoisonError::into_inner).is_closed())
    }
}
