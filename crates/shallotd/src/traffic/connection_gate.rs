//! Spaces and bounds new connections to targets by this process's share of the fleet's budget.

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

/// A published target that connections may be opened to.
pub struct GateTarget {
    /// Where it is reached.
    pub endpoint: Endpoint,
    /// Its name.
    pub id: TargetId,
}

struct State {
    budget: ConnectionBudget,
    ids: HashMap<Endpoint, TargetId>,
}

struct Inner {
    clock: Clock,
    state: Mutex<State>,
    /// Signalled when an attempt to connect has ended.
    ended: Notify,
}

/// Makes each new connection wait for its turn.
///
/// Entries that all restart or lose their connections at once would reconnect at once; with a
/// millisecond each on a target with two slots, that alone would hold up the requests.
#[derive(Clone)]
pub struct TargetGate {
    inner: Arc<Inner>,
}

impl fmt::Debug for TargetGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TargetGate").finish_non_exhaustive()
    }
}

/// Held while a connection is being opened.
struct Opening {
    inner: Arc<Inner>,
    permit: Option<ConnectionPermit>,
}

impl Drop for Opening {
    fn drop(&mut self) {
        let now = self.inner.clock.now();
        if let Some(permit) = self.permit.take() {
            self.inner.lock().budget.release(permit, now);
        }
        self.inner.ended.notify_waiters();
    }
}

impl TargetGate {
    /// A gate that refuses every connection until it knows targets.
    pub fn new(budget: ConnectionBudget, clock: Clock) -> Self {
        let state = Mutex::new(State { budget, ids: HashMap::new() });
        Self { inner: Arc::new(Inner { clock, state, ended: Notify::new() }) }
    }

    /// Takes a change of the published targets.
    pub fn change_targets(&self, gone: &[GateTarget], present: &[GateTarget]) {
        let now = self.inner.clock.now();
        let mut state = self.inner.lock();
        for target in gone {
            let same = state.ids.get(&target.endpoint) == Some(&target.id);
            if same {
                state.ids.remove(&target.endpoint);
            }
        }
        let ids = present.iter().map(|target| (target.endpoint, target.id.clone()));
        state.ids.extend(ids);
        let gone: Vec<TargetId> = gone.iter().map(|target| target.id.clone()).collect();
        let present: Vec<TargetId> = present.iter().map(|target| target.id.clone()).collect();
        state.budget.change_targets(&gone, &present, now);
    }

    /// How many connections this process may hold to a target that takes `connections_max`.
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
            let opening = self.inner.turn(target).await?;
            Some(Box::new(opening) as ExchangePermit)
        })
    }
}

impl Inner {
    /// Waits for the next turn; nothing for an address that is no published target's.
    async fn turn(self: &Arc<Self>, target: Endpoint) -> Option<Opening> {
        let id = self.lock().ids.get(&target).cloned()?;
        loop {
            let ended = self.ended.notified();
            let taken = self.lock().budget.try_acquire(&id, self.clock.now());
            match taken {
                Ok(permit) => {
                    return Some(Opening { inner: Arc::clone(self), permit: Some(permit) });
                }
                Err(Some(at)) => tokio::time::sleep(at.since(self.clock.now())).await,
                Err(None) if !self.lock().ids.contains_key(&target) => return None,
                Err(None) => ended.await,
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
