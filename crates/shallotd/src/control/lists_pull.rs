//! Reads lists from peers.

use std::rc::Rc;
use std::time::Duration;

use metrics::counter;
use shallotfork_peer::{Changes, Heartbeat, PeerClient, PeerError, PeerId, ValueChange};
use shallotfork_platform::PublishedList;
use shallotfork_revisions::DigestPair;
use shallotfork_types::{ListName, Revision};

use crate::control::lists_source::ListSource;
use crate::control::lists_take::take_lists;
use crate::control::state::State;
use crate::metrics_catalogue::LIST_PULLS;

/// How long the platform gets to tell this process what it has just told a peer.
const PLATFORM_FIRST: Duration = Duration::from_millis(100);

/// Reads the lists of a peer when its heartbeat shows that it has others in force.
///
/// Entries that cannot reach the platform, or reach a replica that lags or has other contents,
/// learn of changes in this way only; and entries that were apart compare what they have.
pub async fn pull_lists(state: Rc<State>, client: Rc<PeerClient>, beat: Heartbeat) {
    state.lists.borrow_mut().cursor.record_seen(beat.seen_revision);
    if beat.lists_digest == state.lists.borrow().digest() {
        return;
    }
    tokio::time::sleep(PLATFORM_FIRST).await;
    if is_behind(&state, &beat) {
        return;
    }
    let pair = DigestPair { own: state.lists.borrow().digest(), peer: beat.lists_digest };
    let peer = &client.peer().vm;
    let now = state.context.clock.now();
    if !state.pulls.borrow_mut().try_admit(peer, pair, now) {
        return;
    }
    counter!(LIST_PULLS.name).increment(1);
    if read_lists(&state, &client, pull_after(&state, &beat)).await.is_err() {
        state.pulls.borrow_mut().forget(peer);
    }
}

/// As `pull_lists`, for a peer that sent the heartbeat over its own connection.
pub async fn pull_lists_from(state: Rc<State>, peer: PeerId, beat: Heartbeat) {
    if beat.lists_digest == state.lists.borrow().digest() {
        return;
    }
    let entries = state.view.borrow().entries();
    let Some(entry) = entries.into_iter().find(|entry| entry.vm == peer.vm) else { return };
    if let Ok(client) = state.peers.client(&entry).await {
        pull_lists(state, client, beat).await;
    }
}

/// Whether the peer was at an earlier revision when it sent the heartbeat.
///
/// It reads what is new from here, or has read it by now. Reading its lists as well, all of them
/// since the difference has no revision, would cost megabytes at each change. Once it has caught
/// up, another content under one revision shows as a difference at the same revision.
fn is_behind(state: &State, beat: &Heartbeat) -> bool {
    beat.synced_revision < state.lists.borrow().cursor.synced_revision()
}

/// What is new at a peer that knows later revisions; else everything, since the difference lies in
/// what both have.
fn pull_after(state: &State, beat: &Heartbeat) -> Revision {
    let complete = state.lists.borrow().cursor.synced_revision();
    if beat.synced_revision > complete { complete } else { Revision::NONE }
}

/// Reads the lists of a peer that changed after a revision.
///
/// # Errors
/// When the peer does not answer in time.
pub async fn read_lists(
    state: &State,
    client: &PeerClient,
    after: Revision,
) -> Result<(), PeerError> {
    let changes = client.changes(after).await?;
    let complete = state.lists.borrow().cursor.synced_revision();
    let lists = changes.values.into_iter().filter_map(published).collect();
    let taken = take_lists(state, lists, &ListSource::Peer(client.peer().vm.clone()));
    if after <= complete {
        state.lists.borrow_mut().cursor.record_synced(changes.revision);
    }
    show_outranked(client, changes.revision, taken.outranked).await
}

/// Shows the peer the contents that its own have just replaced here.
///
/// The fingerprints agree from now on, so that the peer would never learn of the conflict, and an
/// operator who looks at it would see nothing wrong.
async fn show_outranked(
    client: &PeerClient,
    revision: Revision,
    outranked: Vec<PublishedList>,
) -> Result<(), PeerError> {
    if outranked.is_empty() {
        return Ok(());
    }
    let values = outranked.into_iter().map(value_change).collect();
    client.push(&Changes { revision, values, is_snapshot: false, bundle: None }).await
}

/// A published list as a peer's value.
pub fn value_change(list: PublishedList) -> ValueChange {
    ValueChange {
        name: list.name.to_string(),
        revision: list.revision,
        content: list.content.into_bytes(),
        unpacked_size: None,
        removed: false,
    }
}

/// A peer's value as a published list; `None` for names or texts that this version cannot read,
/// packed ones among them.
pub fn published(change: ValueChange) -> Option<PublishedList> {
    let name: ListName = change.name.parse().ok()?;
    if change.unpacked_size.is_some() {
        return None;
    }
    let content = String::from_utf8(change.content).ok()?;
    Some(PublishedList { name, revision: change.revision, content })
}
