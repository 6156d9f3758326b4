//! Connections to other entries, opened when first needed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use shallotfork_membership::EntryVm;
use shallotfork_peer::{PeerClient, PeerConfig, PeerError, PeerId, PeerKey};
use shallotfork_types::{Endpoint, VmId};
use tokio::sync::Mutex;

/// One open connection, and the address that it was opened to.
struct Open {
    endpoint: Endpoint,
    client: Rc<PeerClient>,
}

/// The connections of this process to other entries.
pub struct Peers {
    key: PeerKey,
    own_id: PeerId,
    config: PeerConfig,
    open: RefCell<HashMap<VmId, Open>>,
    connecting: RefCell<HashMap<VmId, Rc<Mutex<()>>>>,
}

impl Peers {
    /// No connection yet.
    pub fn new(key: PeerKey, own_id: PeerId, config: PeerConfig) -> Self {
        Self { key, own_id, config, open: RefCell::default(), connecting: RefCell::default() }
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
        let client =
            PeerClient::connect(entry.peers, &self.key, &self.own_id, &self.config).await?;
        let client = Rc::new(client);
        let open = Open { endpoint: entry.peers, client: Rc::clone(&client) };
        self.open.borrow_mut().insert(entry.vm.clone(), open);
        Ok(client)
    }

    /// Drops the connection to an entry that failed to answer, so that the next call opens one.
    pub fn drop_client(&self, vm: &VmId) {
        self.open.borrow_mut().remove(vm);
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
