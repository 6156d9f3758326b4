//! Connections to other entries, opened when first needed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use shallotfork_membership::EntryVm;
use shallotfork_peer::{PeerClient, PeerConfig, PeerError, PeerId, PeerKey};
use shallotfork_types::{Endpoint, VmId};
use tokio::sync::Mutex;
use tokio::time::Instant;

/// One open connection, and the address that it was opened to.
struct Open {
    endpoint: Endpoint,
    client: Rc<PeerClient>,
}

/// Why an entry could not be reached, and when that was found.
struct Failure {
    at: Instant,
    error: PeerError,
}

/// Time after a failure in which an entry is not tried again.
const BACK_OFF: Duration = Duration::from_millis(500);

/// The connections of this process to other entries.
pub struct Peers {
    key: PeerKey,
    own_id: PeerId,
    config: PeerConfig,
    open: RefCell<HashMap<VmId, Open>>,
    connecting: RefCell<HashMap<VmId, Rc<Mutex<()>>>>,
    failures: RefCell<HashMap<Endpoint, Failure>>,
}

impl Peers {
    /// No connection yet.
    pub fn new(key: PeerKey, own_id: PeerId, config: PeerConfig) -> Self {
        Self {
            key,
            own_id,
            config,
            open: RefCell::default(),
            connecting: RefCell::default(),
            failures: RefCell::default(),
        }
    }

    /// The connection to an entry, opened if there is none.
    ///
    /// # Errors
    /// When the entry cannot be reached or does not prove the key.
    pub async fn client(&self, entry: &EntryVm) -> Result<Rc<PeerClient>, PeerError> {
        if let Some(client) = self.existing(entry) {
            return Ok(client);
        }
        let connecting = self.connecting(&entry.vm);
        let _turn = connecting.lock().await;
        if let Some(client) = self.existing(entry) {
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
                let open = Open { endpoint: entry.peers, client: Rc::clone(&client) };
                self.open.borrow_mut().insert(entry.vm.clone(), open);
                Ok(client)
            }
            Err(error) => {
                self.note_failure(entry.peers, error.clone());
                Err(error)
            }
        }
    }

    /// Drops a connection on which a call got no answer; a new one is not tried for a short time.
    pub fn drop_client(&self, client: &Rc<PeerClient>) {
        let vm = &client.peer().vm;
        let mut open = self.open.borrow_mut();
        if !open.get(vm).is_some_and(|open| Rc::ptr_eq(&open.client, client)) {
            return;
        }
        if let Some(dropped) = open.remove(vm) {
            self.note_failure(dropped.endpoint, PeerError::TimedOut);
        }
    }

    /// Why the last try failed, while that is recent.
    ///
    /// A paused process takes connections and answers nothing. Without this, all who wait for a
    /// connection to it would try in turn, each for the whole timeout, and the callers of the last
    /// would give up unanswered.
    fn recent_failure(&self, endpoint: Endpoint) -> Option<PeerError> {
        let mut failures = self.failures.borrow_mut();
        failures.retain(|_, failure| failure.at.elapsed() < BACK_OFF);
        failures.get(&endpoint).map(|failure| failure.error.clone())
    }

    fn note_failure(&self, endpoint: Endpoint, error: PeerError) {
        let failure = Failure { at: Instant::now(), error };
        self.failures.borrow_mut().insert(endpoint, failure);
    }

    /// Held by the one task that connects to an entry. After an entry came back, many claims wait
    /// for it at once: without this each would open a connection of its own.
    fn connecting(&self, vm: &VmId) -> Rc<Mutex<()>> {
        let mut connecting = self.connecting.borrow_mut();
        connecting.retain(|other, turn| other == vm || Rc::strong_count(turn) > 1);
        Rc::clone(connecting.entry(vm.clone()).or_default())
    }

    fn existing(&self, entry: &EntryVm) -> Option<Rc<PeerClient>> {
        let open = self.open.borrow();
        let open = open.get(&entry.vm)?;
        let usable = open.endpoint == entry.peers && !open.client.is_closed();
        usable.then(|| Rc::clone(&open.client))
    }
}
