//! Applies published items that were pulled from other entries.

use shallotfork_peer::{Bundle, Changes, Heartbeat, ValueChange, decode_values};
use shallotfork_revisions::DigestPair;
use shallotfork_types::{Epoch, ListsDigest, Position, VmId};

use crate::control::publish::apply_pulled;
use crate::control::reader::mark_synced;
use crate::control::state::ControlState;
use shallotfork_feed::{
    FeedChanges, PullError, PullResponse, PullScheduler, RawItem, Retained, unpack,
};

/// Whether to pull published items from the sender of a heartbeat because it is at a later position.
///
/// An entry that can't read the platform itself may still be at a later position, by what it has
/// received from entries that can. A reader receives most changes from the platform first; if its
/// position stays before that of others for longer than the propagation delay, its read of the platform
/// hangs.
///
/// An entry that has left its first read to others waits for its own failure domain first.
pub fn should_pull_from(state: &ControlState, peer: &VmId, heartbeat: &Heartbeat) -> bool {
    let own = state.archive.borrow().position();
    let Some(epoch) = epoch_of(heartbeat.synced_epoch, own) else { return false };
    let theirs = Position::new(epoch, heartbeat.synced_revision);
    let view = state.view();
    let settings = &state.context.settings;
    if theirs <= own {
        return theirs == own && should_pull_retained(state, peer, heartbeat);
    }
    if let Some(since) = state.first_pull_awaited_since.get()
        && heartbeat.failure_domain != settings.failure_domain
    {
        return PullScheduler::may_pull_first_from_other_domain(state.now().since(since));
    }
    let is_reader = view.readers.contains(&settings.vm);
    let is_local = heartbeat.failure_domain == settings.failure_domain && !is_reader;
    if is_local || own == Position::NONE || view.contacts.monitors_readers && !is_reader {
        return true;
    }
    state.pull_scheduler.borrow_mut().should_pull_from_other_domain(
        theirs,
        own,
        view.propagation_delay(),
        state.now(),
    )
}

/// Returns the epoch that another entry states. One of an older release states none: its items can be
/// used only where the platform has no epochs.
fn epoch_of(stated: Option<Epoch>, own: Position) -> Option<Epoch> {
    stated.or_else(|| (own.epoch() == Epoch::NONE).then_some(Epoch::NONE))
}

/// Whether to pull the items of earlier epochs that the sender of a heartbeat retains. An entry that has
/// read the restored platform itself when it started knows none.
fn should_pull_retained(state: &ControlState, peer: &VmId, heartbeat: &Heartbeat) -> bool {
    let pair = DigestPair {
        own: state.archive.borrow().retained_digest(),
        peer: heartbeat.retained_digest,
    };
    heartbeat.retained_digest != ListsDigest::default()
        && state.retained_pulls.borrow_mut().try_admit(peer, pair, state.now())
}

/// Applies the answer to a pull and returns the number of its items.
///
/// # Errors
/// Returns an error if the answer can't be decoded or does not fit the archive.
pub fn apply_response(
    state: &ControlState,
    changes: Changes,
    source: &str,
) -> Result<usize, PullError> {
    let Changes {
        revision,
        epoch,
        mut values,
        is_snapshot,
        has_gap,
        bundle,
        retained,
        settles_in,
        seen_from,
    } = changes;
    let own = state.archive.borrow().position();
    let epoch = epoch_of(epoch, own).ok_or(PullError::NoEpoch)?;
    let position = Position::new(epoch, revision);
    if let Some(Bundle { content, unpacked_size }) = bundle {
        let content = unpack(&content, unpacked_size)?;
        let bundled = decode_values(&content).map_err(|_| PullError::BadPacked(unpacked_size))?;
        values.extend(bundled);
    }
    let items = values.into_iter().map(decode_item).collect::<Result<Vec<_>, _>>()?;
    let count = items.len();
    let retained = retained.into_iter().map(decode_item).collect::<Result<_, _>>()?;
    let response = PullResponse {
        changes: FeedChanges { items, position },
        is_snapshot,
        has_gap,
        seen_from,
        retained: Retained { items: retained, settles_in },
    };
    state.archive.borrow().check(&response)?;
    apply_pulled(state, &response, source);
    mark_synced(state);
    state.peer_compared.notify_waiters();
    Ok(count)
}

fn decode_item(value: ValueChange) -> Result<RawItem, PullError> {
    let ValueChange { name, position, content, unpacked_size, removed } = value;
    let content = match unpacked_size {
        Some(size) => unpack(&content, size)?,
        None => content,
    };
    Ok(RawItem { key: name, position, content: (!removed).then_some(content) })
}
