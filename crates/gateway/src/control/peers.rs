//! Connections to other entries.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use shallotfork_peer::{PeerClient, PeerConfig, PeerError, PeerId, PeerKey};
use shallotfork_types::Endpoint;

/// One kept connection to each entry that is called.
pub struct Peers {
    key: PeerKey,
    own: PeerId,
    config: PeerConfig,
    clients: RefCell<BTreeMap<Endpoint, Rc<PeerClient>>>,
    /// Entries with a call in flight.
    busy: RefCell<BTreeSet<Endpoint>>,
}

/// One call to an entry at a time; the next may begin when this is dropped.
pub struct Turn<'a> {
    peers: &'a Peers,
    endpoint: Endpoint,
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.peers.busy.borrow_mut().remove(&self.endpoint);
    }
}

impl Peers {
    /// No connection is open yet.
    pub fn new(key: PeerKey, own: PeerId, config: PeerConfig) -> Self {
        Self { key, own, config, clients: RefCell::default(), busy: RefCell::default() }
    }

    /// The turn to call an entry, unless a call to it is in flight.
    pub fn turn(&self, endpoint: Endpoint) -> Option<Turn<'_>> {
        let free = self.busy.borrow_mut().insert(endpoint);
        free.then_some(Turn { peers: self, endpoint })
    }

    /// The connection to an entry, opened if there is none.
    ///
    /// # Errors
    /// When it can't be opened in time, or the other side does not prove the key.
    pub async fn client(&self, endpoint: Endpoint) -> Result<Rc<PeerClient>, PeerError> {
        let known = self.clients.borrow().get(&endpoint).cloned();
        if let Some(client) = known.filter(|client| !client.is_closed()) {
            return Ok(client);
        }
        let opened = PeerClient::connect(endpoint, &self.key, &self.own, &self.config).await?;
        let client = Rc::new(opened);
        self.clients.borrow_mut().insert(endpoint, Rc::clone(&client));
        Ok(client)
    }

    /// Closes the connection to an entry that did not answer.
    pub fn drop_client(&self, endpoint: Endpoint) {
        self.clients.borrow_mut().remove(&endpoint);
    }

    /// Closes the connections to entries that are no longer called.
    pub fn keep_only(&self, called: &BTreeSet<Endpoint>) {
        let busy = self.busy.borrow();
        self.clients
            .borrow_mut()
            .retain(|endpoint, _| called.contains(endpoint) || busy.contains(endpoint));
    }
}
