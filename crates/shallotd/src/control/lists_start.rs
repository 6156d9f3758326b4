//! The lists with which a process starts.

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use shallotfork_membership::{EntryVm, heartbeat_peers};
use shallotfork_platform::{Backoff, BackoffConfig};
use shallotfork_types::Revision;

use crate::control::lists_pull::read_lists;
use crate::control::members::own_heartbeat;
use crate::control::publish::publish;
use crate::control::state::State;
use crate::control::watch::read_platform;

/// How long answers of peers are waited for; one that is paused must not hold up the start.
const PEERS_WAIT_MAX: Duration = Duration::from_secs(2);

/// Peers asked at once; the highest version is soon known to all that can reach each other.
const PEERS_MAX: usize = 16;

/// Waits between two rounds while nobody has a rule list; calls to the platform are capped besides.
const ROUND_BACKOFF: BackoffConfig =
    BackoffConfig { first: Duration::from_millis(50), max: Duration::from_millis(500) };

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
        tokio::time::sleep(backoff.failed()).await;
    }
    state.lists.borrow_mut().complete_start();
    publish(state);
}

async fn ask_platform(state: &Rc<State>) {
    for _ in 0..state.platform.replica_count() {
        if read_platform(state, Duration::ZERO).await.is_ok() {
            state.platform.next_replica();
        }
    }
}

async fn ask_peers(state: &Rc<State>) {
    let entries = state.view.borrow().entries();
    let peers = heartbeat_peers(&state.context.identity.vm, &entries, PEERS_MAX);
    let asked = peers.into_iter().map(|entry| ask_peer(state, entry));
    let _late = tokio::time::timeout(PEERS_WAIT_MAX, join_all(asked)).await;
}

/// Reads the lists of a peer that has others than the platform gave.
///
/// A peer that cannot be reached is left out: without it, others or the platform must do. Reading
/// all lists of all peers, megabytes each, would make the restart of a rack a storm.
async fn ask_peer(state: &Rc<State>, entry: EntryVm) {
    let Ok(client) = state.peers.client(&entry).await else { return };
    let Ok(beat) = client.heartbeat(&own_heartbeat(state)).await else { return };
    if beat.lists_digest != state.lists.borrow().digest() {
        let _unread = read_lists(state, &client, Revision::NONE).await;
    }
}
