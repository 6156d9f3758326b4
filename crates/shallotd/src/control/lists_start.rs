//! The lists with which a process starts.

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

/// How long the lists of peers are waited for.
const PEERS_WAIT_MAX: Duration = Duration::from_secs(4);

/// How long answers to heartbeats are waited for; a peer that is paused must not hold up the start.
const GREETING_WAIT_MAX: Duration = Duration::from_secs(1);

/// Peers asked at once; the highest version is soon known to all that can reach each other.
const PEERS_MAX: usize = 16;

/// Waits between two rounds while nobody has a rule list; calls to the platform are capped besides.
const ROUND_BACKOFF: BackoffConfig = BackoffConfig {
    initial_delay: Duration::from_millis(50),
    max_delay: Duration::from_millis(500),
};

/// Asks every replica of the platform and the peers, in rounds, until a rule list is in force.
///
/// A process starts with no memory. A replica that lags, or a platform that was rolled back, would
/// give it a list that operators have already seen replaced, and its callers would see the old one
/// come back. Only who was there knows better: so all replicas and the peers are asked, and the
/// highest version counts, before the first caller is served.
pub async fn first_lists(state: &Rc<State>) {
    let seed = state.context.identity.incarnation.value();
    let mut backoff = Backoff::new(ROUND_BACKOFF, seed);
    loop {
        ask_platform(state).await;
        ask_peers(state).await;
        if state.lists.borrow().rules.is_some() {
            break;
        }
        tokio::time::sleep(backoff.next_delay()).await;
    }
    state.lists.borrow_mut().complete_start();
    publish(state);
}

async fn ask_platform(state: &Rc<State>) {
    for _ in 0..state.platform.replica_count() {
        if read_platform(state, Duration::ZERO).await.is_ok() {
            state.platform.switch_replica();
        }
    }
}

/// Reads the lists of peers that have others than the platform gave, one after another: once the
/// first has been read, the others mostly have nothing else. Reading all lists of all peers,
/// megabytes each, would make the restart of a rack a storm.
async fn ask_peers(state: &Rc<State>) {
    let entries = state.view.borrow().entries();
    let peers = heartbeat_peers(&state.context.identity.vm, &entries, PEERS_MAX);
    let asked = async {
        let greeted = peers.into_iter().map(|entry| greet(state, entry));
        for peer in join_all(greeted).await.into_iter().flatten() {
            read_if_other(state, &peer).await;
        }
    };
    let _late = tokio::time::timeout(PEERS_WAIT_MAX, asked).await;
}

/// A peer that answered a heartbeat.
struct Greeted {
    client: Rc<PeerClient>,
    digest: ListsDigest,
}

/// A peer that cannot be reached is left out: without it, others or the platform must do.
async fn greet(state: &Rc<State>, entry: EntryVm) -> Option<Greeted> {
    let greeted = async {
        let client = state.peers.client(&entry).await.ok()?;
        let beat = client.heartbeat(&own_heartbeat(state)).await.ok()?;
        Some(Greeted { client, digest: beat.lists_digest })
    };
    tokio::time::timeout(GREETING_WAIT_MAX, greeted).await.ok().flatten()
}

async fn read_if_other(state: &Rc<State>, peer: &Greeted) {
    if peer.digest != state.lists.borrow().digest() {
        let _unread = read_lists(state, &peer.client, Revision::NONE).await;
    }
}
