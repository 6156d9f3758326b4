//! Connections to other entries, opened on demand.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use shallotfork_membership::EntryVm;
use shallotfork_peer::{PeerClient, PeerConfig, PeerError, PeerId, PeerKey};
use shallotfork_types::{Endpoint, VmId};
use tokio::sync::Mutex;
use tokio::time::Instant;

/// An open connection and the address that it was opened to.
struct OpenConnection {
    endpoint: Endpoint,
    client: Rc<PeerClient>,
}

/// The last failure to reach an entry.
struct Failure {
    failed_at: Instant,
    error: PeerError,
}

/// Time after a failure during which no connection to the entry is attempted.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);

/// Connections of this process to other entries.
pub struct Peers {
    key: PeerKey,
    own_id: PeerId,
    config: PeerConfig,
    open: RefCell<HashMap<VmId, OpenConnection>>,
    connect_locks: RefCell<HashMap<VmId, Rc<Mutex<()>>>>,
    failures: RefCell<HashMap<Endpoint, Failure>>,
}

impl Peers {
    /// Creates an instance without connections.
    pub fn new(key: PeerKey, own_id: PeerId, config: PeerConfig) -> Self {
        Self {
            key,
            own_id,
            config,
            open: RefCell::default(),
            connect_locks: RefCell::default(),
            failures: RefCell::default(),
        }
    }

    /// Returns the connection to an entry, and opens one if necessary.
    ///
    /// # Errors
    /// Returns an error if the entry cannot be reached or does not prove the key.
    pub async fn client(&self, entry: &EntryVm) -> Result<Rc<PeerClient>, PeerError> {
        if let Some(client) = self.open_client(entry) {
            return Ok(client);
        }
        let connect_lock = self.connect_lock(&entry.vm);
        let _guard = connect_lock.lock().await;
        if let Some(client) = self.open_client(entry) {
            return Ok(client);
        }
        if let Some(error) = self.recent_failure(entry.peers) {
            return Err(error);
        }
        let connected =
            PeerClient::connect(entry.peers, &self.key, &self.own_id, &self.config).await;
        match connected {
            Ok(client) => {
                let client = Rc::new(client);
                let open = OpenConnection { endpoint: entry.peers, client: Rc::clone(&client) };
                self.open.borrow_mut().insert(entry.vm.clone(), open);
                Ok(client)
            }
            Err(error) => {
                self.record_failure(entry.peers, error.clone());
                Err(error)
            }
        }
    }

    /// Drops a connection on which a call was not answered; no new connection is attempted for a
    /// short time.
    pub fn drop_client(&self, client: &Rc<PeerClient>) {
        let vm = &client.peer().vm;
        let mut open = self.open.borrow_mut();
        if !open.get(vm).is_some_and(|open| Rc::ptr_eq(&open.client, client)) {
            return;
        }
        if let Some(dropped) = open.remove(vm) {
            self.record_failure(dropped.endpoint, PeerError::TimedOut);
        }
    }

    /// Returns the error of the last failure to reach an endpoint if it is recent.
    ///
    /// A paused process accepts connections but answers nothing. Without this check, all tasks that
    /// wait for a connection to it would try one after another, each for the whole timeout, and the
    /// callers of the last ones would give up without an answer.
    fn recent_failure(&self, endpoint: Endpoint) -> Option<PeerError> {
        let mut failures = self.failures.borrow_mut();
        failures.retain(|_, failure| failure.failed_at.elapsed() < RECONNECT_DELAY);
        failures.get(&endpoint).map(|failure| failure.error.clone())
    }

    fn record_failure(&self, endpoint: Endpoint, error: PeerError) {
        let failure = Failure { failed_at: Instant::now(), error };
        self.failures.borrow_mut().insert(endpoint, failure);
    }

    /// Returns the lock held by the one task that connects to an entry. When an entry restarts or
    /// is reachable again, many claims wait for it at the same time, and without the lock each
    /// would open its own connection.
    fn connect_lock(&self, vm: &VmId) -> Rc<Mutex<()>> {
        let mut connect_locks = self.connect_locks.borrow_mut();
        connect_locks.retain(|other, lock| other == vm || Rc::strong_count(lock) > 1);
        Rc::clone(connect_locks.entry(vm.clone()).or_default())
    }

    fn open_client(&self, entry: &EntryVm) -> Option<Rc<PeerClient>> {
        let open = self.open.borrow();
        let open = open.get(&entry.vm)?;
        let usable = open.endpoint == entry.peers && !open.client.is_closed();
        usable.then(|| Rc::clone(&open.client))
    }
}
