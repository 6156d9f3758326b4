//! Published items from and for other entries.

use std::rc::Rc;

use shallotfork_events::{TOLD_REFUSED, event};
use shallotfork_peer::{Changes, Heartbeat, PeerClient, ValueChange};
use shallotfork_types::Revision;

use crate::control::publish::{take_all, take_changes};
use crate::control::reader::note_synced;
use crate::control::state::State;
use shallotfork_feed::{FeedChanges, RawItem, TellError, Told};

/// Whether to read from another entry what it knows beyond this one.
///
/// One that can't read the platform itself may know more all the same, from those who can.
pub fn should_read_from(state: &State, beat: &Heartbeat) -> bool {
    let (known, own) = (beat.synced_revision, state.archive.borrow().position());
    let beliefs = state.beliefs();
    let settings = &state.context.settings;
    if known <= own || beliefs.readers.contains(&settings.vm) {
        return false;
    }
    let near = beat.failure_domain == settings.failure_domain;
    if near || own == Revision::NONE || beliefs.contacts.hears_readers {
        return true;
    }
    state.catch_up.borrow_mut().far_knows(known, own, beliefs.spread_time(), state.now())
}

/// Reads from another entry what it knows beyond this one.
pub async fn pull(state: Rc<State>, client: Rc<PeerClient>) {
    if !state.catch_up.borrow_mut().begin(state.context.clock.now()) {
        return;
    }
    let after = state.archive.borrow().position();
    let taken = match client.changes(after).await {
        Ok(changes) => take(&state, changes).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    if let Err(reason) = taken {
        event!(state.context.log, TOLD_REFUSED, "peer" => client.peer().vm.as_str(),
            "reason" => reason);
    }
    state.catch_up.borrow_mut().end();
}

/// What another entry is told that knows everything up to `after`.
pub fn told(state: &State, after: Revision) -> Changes {
    let told = state.archive.borrow().after(after);
    let values = told.changes.items.into_iter().map(value).collect();
    Changes { revision: told.changes.revision, values, whole: told.whole }
}

fn take(state: &State, changes: Changes) -> Result<(), TellError> {
    let Changes { revision, values, whole } = changes;
    let items = values.into_iter().map(item).collect();
    let told = Told { changes: FeedChanges { items, revision }, whole };
    state.archive.borrow().check(&told)?;
    if whole {
        take_all(state, &told.changes.items, revision);
    } else {
        take_changes(state, &told.changes);
    }
    note_synced(state);
    Ok(())
}

fn value(item: RawItem) -> ValueChange {
    let RawItem { key, revision, content } = item;
    let removed = content.is_none();
    ValueChange { name: key, revision, content: content.unwrap_or_default(), removed }
}

fn item(value: ValueChange) -> RawItem {
    let ValueChange { name, revision, content, removed } = value;
    RawItem { key: name, revision, content: (!removed).then_some(content) }
}
