//! Published items from other entries.

use shallotfork_peer::{Bundle, Changes, Heartbeat, ValueChange, decode_values};
use shallotfork_types::Revision;

use crate::control::publish::{take_all, take_changes};
use crate::control::reader::note_synced;
use crate::control::state::State;
use shallotfork_feed::{FeedChanges, PullError, PullResponse, RawItem, unpack};

/// Whether to read from another entry what it knows beyond this one.
///
/// One that can't read the platform itself may know more all the same, from those who can. An entry
/// that reads the platform learns of most changes from there first; one that stays behind what
/// others know for longer than it takes to spread has a reading that hangs.
pub fn should_read_from(state: &State, beat: &Heartbeat) -> bool {
    let (known, own) = (beat.synced_revision, state.archive.borrow().position());
    let beliefs = state.beliefs();
    let settings = &state.context.settings;
    if known <= own {
        return false;
    }
    let reads = beliefs.readers.contains(&settings.vm);
    let near = beat.failure_domain == settings.failure_domain && !reads;
    if near || own == Revision::NONE || beliefs.contacts.monitors_readers && !reads {
        return true;
    }
    state.catch_up.borrow_mut().should_pull_from_other_domain(
        known,
        own,
        beliefs.propagation_delay(),
        state.now(),
    )
}

/// Takes what another entry has told; how many items.
///
/// # Errors
/// Why it can't be taken.
pub fn take(state: &State, changes: Changes) -> Result<usize, PullError> {
    let Changes { revision, mut values, is_snapshot, bundle } = changes;
    if let Some(Bundle { content, unpacked_size }) = bundle {
        let content = unpack(&content, unpacked_size)?;
        let bundled = decode_values(&content).map_err(|_| PullError::BadPacked(unpacked_size))?;
        values.extend(bundled);
    }
    let items = values.into_iter().map(item).collect::<Result<Vec<_>, _>>()?;
    let count = items.len();
    let told = PullResponse { changes: FeedChanges { items, revision }, is_snapshot };
    state.archive.borrow().check(&told)?;
    if is_snapshot {
        take_all(state, &told.changes.items, revision);
    } else {
        take_changes(state, &told.changes);
    }
    note_synced(state);
    Ok(count)
}

fn item(value: ValueChange) -> Result<RawItem, PullError> {
    let ValueChange { name, revision, content, unpacked_size, removed } = value;
    let content = match unpacked_size {
        Some(size) => unpack(&content, size)?,
        None => content,
    };
    Ok(RawItem { key: name, revision, content: (!removed).then_some(content) })
}
