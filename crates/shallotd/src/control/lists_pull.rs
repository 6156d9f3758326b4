//! Pulls lists from peers.

use std::rc::Rc;
use std::time::Duration;

use metrics::counter;
use shallotfork_peer::{
    Changes, ChangesRequest, Heartbeat, PeerClient, PeerError, PeerId, ValueChange,
};
use shallotfork_platform::PublishedList;
use shallotfork_revisions::DigestPair;
use shallotfork_types::{Epoch, ListName, Position, Revision};

use crate::control::lists_apply::apply_lists;
use crate::control::lists_source::ListSource;
use crate::control::state::State;
use crate::metrics_catalogue::LIST_PULLS;

/// Delay before a pull, in which the platform can deliver the change that it has just sent to the
/// peer.
const PULL_DELAY: Duration = Duration::from_millis(100);

/// Pulls the lists of a peer if its heartbeat shows that its lists in force differ.
///
/// Entries that cannot reach the platform, or whose replica lags or has other contents, receive
/// changes only in this way. It also reconciles entries that were partitioned from each other.
pub async fn pull_lists(state: Rc<State>, client: Rc<PeerClient>, heartbeat: Heartbeat) {
    state.lists.borrow_mut().cursor.record_seen(heartbeat.seen_revision);
    if heartbeat.lists_digest == state.lists.borrow().digest() {
        return;
    }
    tokio::time::sleep(PULL_DELAY).await;
    if is_peer_behind(&state, &heartbeat) {
        return;
    }
    let pair = DigestPair { own: state.lists.borrow().digest(), peer: heartbeat.lists_digest };
    let peer = &client.peer().vm;
    let now = state.context.clock.now();
    if !state.pull_gate.borrow_mut().try_admit(peer, pair, now) {
        return;
    }
    counter!(LIST_PULLS.name).increment(1);
    if read_lists(&state, &client, pull_after(&state, &heartbeat)).await.is_err() {
        state.pull_gate.borrow_mut().forget(peer);
    }
}

/// Pulls the lists of a peer that sent a heartbeat over its own connection; opens a connection to
/// it for that.
pub async fn connect_and_pull_lists(state: Rc<State>, peer: PeerId, heartbeat: Heartbeat) {
    if heartbeat.lists_digest == state.lists.borrow().digest() {
        return;
    }
    let entries = state.view.borrow().entries();
    let Some(entry) = entries.into_iter().find(|entry| entry.vm == peer.vm) else { return };
    if let Ok(client) = state.peers.client(&entry).await {
        pull_lists(state, client, heartbeat).await;
    }
}

/// Returns whether the peer was at an earlier revision when it sent the heartbeat.
///
/// Such a peer reads the changes from this entry, or has already done so. Pulling its lists as well
/// would transfer all of them, megabytes at each change, as a digest does not show which revisions
/// differ. Once the peer has caught up, a conflict under one revision shows as different digests at
/// the same revision.
fn is_peer_behind(state: &State, heartbeat: &Heartbeat) -> bool {
    heartbeat.synced_revision < state.lists.borrow().cursor.synced_revision()
}

/// Returns the revision after which to read: the synced revision of this process if the peer's is
/// later, otherwise `Revision::NONE` for all lists, because the difference is then in lists that
/// both processes have.
fn pull_after(state: &State, heartbeat: &Heartbeat) -> Revision {
    let synced = state.lists.borrow().cursor.synced_revision();
    if heartbeat.synced_revision > synced { synced } else { Revision::NONE }
}

/// Reads the lists of a peer that changed after a revision.
///
/// # Errors
/// Returns an error if the peer does not answer in time.
pub async fn read_lists(
    state: &State,
    client: &PeerClient,
    after: Revision,
) -> Result<(), PeerError> {
    let changes = client.changes(&ChangesRequest::new(position_of(after))).await?;
    let synced = state.lists.borrow().cursor.synced_revision();
    let lists = changes.values.into_iter().filter_map(to_published_list).collect();
    let applied = apply_lists(state, lists, &ListSource::Peer(client.peer().vm.clone()));
    if after <= synced {
        state.lists.borrow_mut().cursor.record_synced(changes.revision);
    }
    push_outranked(client, changes.revision, applied.outranked).await
}

/// Pushes to the peer the lists that its lists of the same revision have just replaced here.
///
/// From now on the digests agree, so the peer would not detect the conflict otherwise, and its
/// operators would not see it.
async fn push_outranked(
    client: &PeerClient,
    revision: Revision,
    outranked: Vec<PublishedList>,
) -> Result<(), PeerError> {
    if outranked.is_empty() {
        return Ok(());
    }
    let values = outranked.into_iter().map(to_value_change).collect();
    client.push(&list_changes(revision, values)).await
}

/// Returns the message with changed lists up to a revision.
pub fn list_changes(revision: Revision, values: Vec<ValueChange>) -> Changes {
    Changes {
        revision,
        epoch: None,
        values,
        is_snapshot: false,
        has_gap: false,
        bundle: None,
        retained: Vec::new(),
        settles_in: None,
        seen_from: None,
    }
}

/// Returns the position of a list's revision; lists have no epochs.
fn position_of(revision: Revision) -> Position {
    Position::new(Epoch::NONE, revision)
}

/// Converts a published list to a peer message.
pub fn to_value_change(list: PublishedList) -> ValueChange {
    ValueChange {
        name: list.name.to_string(),
        position: position_of(list.revision),
        content: list.content.into_bytes(),
        unpacked_size: None,
        removed: false,
    }
}

/// Converts a peer message to a published list; `None` if its name or content cannot be read by
/// this version, as with compressed content.
pub fn to_published_list(change: ValueChange) -> Option<PublishedList> {
    let name: ListName = change.name.parse().ok()?;
    if change.unpacked_size.is_some() {
        return None;
    }
    let content = String::from_utf8(change.content).ok()?;
    Some(PublishedList { name, revision: change.position.revision(), content })
}
