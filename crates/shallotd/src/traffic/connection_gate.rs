//! Limits new connections to targets to this process's share of the fleet's budget.

use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use shallotfork_exchange::{ConnectionGate, ConnectionPermit as ExchangePermit};
use shallotfork_measure::{ConnectionBudget, ConnectionPermit};
use shallotfork_timer::Clock;
use shallotfork_types::{Endpoint, TargetId};
use tokio::sync::Notify;

/// Published target that connections may be opened to.
pub struct GateTarget {
    /// Address of the target.
    pub endpoint: Endpoint,
    /// Name of the target.
    pub id: TargetId,
}

struct State {
    budget: ConnectionBudget,
    ids: HashMap<Endpoint, TargetId>,
}

struct Inner {
    clock: Clock,
    state: Mutex<State>,
    /// Notified when an attempt to connect has ended.
    attempt_ended: Notify,
}

/// Delays each new connection until the connection budget allows it.
///
/// Entries that all restart or lose their connections at once would otherwise reconnect at once.
/// Each new connection costs a target a millisecond; on a target with two slots, that alone would
/// delay the requests.
#[derive(Clone)]
pub struct TargetGate {
    inner: Arc<Inner>,
}

impl fmt::Debug for TargetGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TargetGate").finish_non_exhaustive()
    }
}

/// Guard held while a connection is being opened.
struct ConnectionAttempt {
    inner: Arc<Inner>,
    permit: Option<ConnectionPermit>,
}

impl Drop for ConnectionAttempt {
    fn drop(&mut self) {
        let now = self.inner.clock.now();
        if let Some(permit) = self.permit.take() {
            self.inner.lock().budget.release(permit, now);
        }
        self.inner.attempt_ended.notify_waiters();
    }
}

impl TargetGate {
    /// Creates a gate that rejects all connections until it knows targets.
    pub fn new(budget: ConnectionBudget, clock: Clock) -> Self {
        let state = Mutex::new(State { budget, ids: HashMap::new() });
        Self { inner: Arc::new(Inner { clock, state, attempt_ended: Notify::new() }) }
    }

    /// Applies a change of the published targets.
    pub fn change_targets(&self, removed: &[GateTarget], present: &[GateTarget]) {
        let now = self.inner.clock.now();
        let mut state = self.inner.lock();
        for target in removed {
            let is_same_target = state.ids.get(&target.endpoint) == Some(&target.id);
            if is_same_target {
                state.ids.remove(&target.endpoint);
            }
        }
        let ids = present.iter().map(|target| (target.endpoint, target.id.clone()));
        state.ids.extend(ids);
        let removed: Vec<TargetId> = removed.iter().map(|target| target.id.clone()).collect();
        let present: Vec<TargetId> = present.iter().map(|target| target.id.clone()).collect();
        state.budget.change_targets(&removed, &present, now);
    }

    /// Returns the maximum number of connections that this process may hold to a target that
    /// accepts `connections_max`.
    pub fn open_max(&self, connections_max: u32) -> u32 {
        self.inner.lock().budget.open_max(connections_max)
    }
}

impl ConnectionGate for TargetGate {
    fn open(
        &self,
        target: Endpoint,
    ) -> Pin<Box<dyn Future<Output = Option<ExchangePermit>> + Send + '_>> {
        Box::pin(async move {
            let attempt = self.inner.acquire(target).await?;
            Some(Box::new(attempt) as ExchangePermit)
        })
    }
}

impl Inner {
    /// Waits until a connection may be opened; returns `None` if no published target has this
    /// address.
    async fn acquire(self: &Arc<Self>, target: Endpoint) -> Option<ConnectionAttempt> {
        let id = self.lock().ids.get(&target).cloned()?;
        loop {
            let attempt_ended = self.attempt_ended.notified();
            let acquired = self.lock().budget.try_acquire(&id, self.clock.now());
            match acquired {
                Ok(permit) => {
                    return Some(ConnectionAttempt {
                        inner: Arc::clone(self),
                        permit: Some(permit),
                    });
                }
                Err(Some(at)) => tokio::time::sleep(at.since(self.clock.now())).await,
                Err(None) if !self.lock().ids.contains_key(&target) => return None,
                Err(None) => attempt_ended.await,
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
