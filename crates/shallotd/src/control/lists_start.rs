//! Initial reads of the published lists when a process starts.

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use shallotfork_membership::{EntryVm, heartbeat_peers};
use shallotfork_peer::PeerClient;
use shallotfork_platform::{Backoff, BackoffConfig};
use shallotfork_types::{ListsDigest, Revision};

use crate::control::lists_pull::read_lists;
use crate::control::members::own_heartbeat;
use crate::control::publish::publish;
use crate::control::state::State;
use crate::control::watch::read_platform;

/// Timeout for reading the lists of all peers.
const PEERS_TIMEOUT: Duration = Duration::from_secs(4);

/// Timeout for a peer's answer to a heartbeat, so that a paused peer does not delay the start.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of peers to read from; the highest version soon spreads to all entries that can
/// reach each other.
const PEERS_MAX: usize = 16;

/// Delay between two rounds while no rule list is found; calls to the platform also have a rate
/// limit.
const ROUND_BACKOFF: BackoffConfig = BackoffConfig {
    initial_delay: Duration::from_millis(50),
    max_delay: Duration::from_millis(500),
};

/// Reads every replica of the platform and the peers, in rounds, until a rule list is in force.
///
/// A process starts without any state. A lagging replica, or a platform that was rolled back, would
/// give it a list that has already been replaced, and its callers would be served by the old list
/// again. Only the other replicas and the peers have the newer one, so all of them are read and the
/// highest version comes into force before the first caller is served.
pub async fn load_initial_lists(state: &Rc<State>) {
    let seed = state.context.identity.incarnation.value();
    let mut backoff = Backoff::new(ROUND_BACKOFF, seed);
    loop {
        read_all_replicas(state).await;
        read_peers(state).await;
        if state.lists.borrow().rules.is_some() {
            break;
        }
        tokio::time::sleep(backoff.next_delay()).await;
    }
    state.lists.borrow_mut().mark_start_complete();
    publish(state);
}

async fn read_all_replicas(state: &Rc<State>) {
    for _ in 0..state.platform.replica_count() {
        if read_platform(state, Duration::ZERO).await.is_ok() {
            state.platform.switch_replica();
        }
    }
}

/// Reads the lists of peers whose digest differs from this process's.
///
/// The peers are read one after another, since the others mostly have the same lists as the
/// first one. Reading all lists of all peers, megabytes each, would cause a load peak when a whole
/// rack restarts.
async fn read_peers(state: &Rc<State>) {
    let entries = state.view.borrow().entries();
    let peers = heartbeat_peers(&state.context.identity.vm, &entries, PEERS_MAX);
    let reads = async {
        let exchanges = peers.into_iter().map(|entry| exchange_heartbeat(state, entry));
        for peer in join_all(exchanges).await.into_iter().flatten() {
            read_if_different(state, &peer).await;
        }
    };
    let _timed_out = tokio::time::timeout(PEERS_TIMEOUT, reads).await;
}

/// A peer that answered a heartbeat.
struct RespondingPeer {
    client: Rc<PeerClient>,
    digest: ListsDigest,
}

/// Exchanges heartbeats with a peer; `None` if the peer cannot be reached, in which case the lists
/// of other peers or the platform have to suffice.
async fn exchange_heartbeat(state: &Rc<State>, entry: EntryVm) -> Option<RespondingPeer> {
    let exchange = async {
        let client = state.peers.client(&entry).await.ok()?;
        let heartbeat = client.heartbeat(&own_heartbeat(state)).await.ok()?;
        Some(RespondingPeer { client, digest: heartbeat.lists_digest })
    };
    tokio::time::timeout(HEARTBEAT_TIMEOUT, exchange).await.ok().flatten()
}

async fn read_if_different(state: &Rc<State>, peer: &RespondingPeer) {
    if peer.digest != state.lists.borrow().digest() {
        let _failed = read_lists(state, &peer.client, Revision::NONE).await;
    }
}
