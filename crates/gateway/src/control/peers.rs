//! Connections to other entries.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use shallotfork_peer::{PeerClient, PeerConfig, PeerError, PeerId, PeerKey};
use shallotfork_types::Endpoint;

/// Open connections to other entries, at most one to each.
pub struct Peers {
    key: PeerKey,
    own: PeerId,
    config: PeerConfig,
    clients: RefCell<BTreeMap<Endpoint, Rc<PeerClient>>>,
    /// Entries with a call in flight.
    in_flight: RefCell<BTreeSet<Endpoint>>,
}

/// Guard for a call to an entry. The next call to that entry may begin when this is dropped.
pub struct CallGuard<'a> {
    peers: &'a Peers,
    endpoint: Endpoint,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.peers.in_flight.borrow_mut().remove(&self.endpoint);
    }
}

impl Peers {
    /// Creates an instance without open connections.
    pub fn new(key: PeerKey, own: PeerId, config: PeerConfig) -> Self {
        Self { key, own, config, clients: RefCell::default(), in_flight: RefCell::default() }
    }

    /// Returns a guard for a call to an entry; `None` while another call to it is in flight.
    pub fn try_begin_call(&self, endpoint: Endpoint) -> Option<CallGuard<'_>> {
        let is_free = self.in_flight.borrow_mut().insert(endpoint);
        is_free.then_some(CallGuard { peers: self, endpoint })
    }

    /// Returns the connection to an entry, opening one if there is none.
    ///
    /// # Errors
    /// Returns an error if the connection can't be opened in time or the other side does not prove
    /// the key.
    pub async fn client(&self, endpoint: Endpoint) -> Result<Rc<PeerClient>, PeerError> {
        let open = self.clients.borrow().get(&endpoint).cloned();
        if let Some(client) = open.filter(|client| !client.is_closed()) {
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

    /// Closes all connections except those to `kept` and those with a call in flight.
    pub fn retain(&self, kept: &BTreeSet<Endpoint>) {
        let in_flight = self.in_flight.borrow();
        self.clients
            .borrow_mut()
            .retain(|endpoint, _| kept.contains(endpoint) || in_flight.contains(endpoint));
    }
}
