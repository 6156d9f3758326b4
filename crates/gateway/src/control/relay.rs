//! Published items from and for other entries.

use std::rc::Rc;

use shallotfork_peer::{Changes, Heartbeat, PeerClient, ValueChange};
use shallotfork_types::Revision;

use crate::control::publish::{take_all, take_changes};
use crate::control::reader::note_synced;
use crate::control::state::State;
use shallotfork_feed::{FeedChanges, RawItem};

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
    // One that fails is asked again after the next heartbeat.
    if let Ok(changes) = client.changes(after).await {
        take(&state, changes);
    }
    state.catch_up.borrow_mut().end();
}

/// What another entry is told that knows everything up to `after`.
pub fn told(state: &State, after: Revision) -> Changes {
    let told = state.archive.borrow().after(after);
    let values = told.changes.items.into_iter().map(value).collect();
    Changes { revision: told.changes.revision, values, whole: told.whole }
}

fn take(state: &State, changes: Changes) {
    let Changes { revision, values, whole } = changes;
    let items: Vec<RawItem> = values.into_iter().map(item).collect();
    if whole {
        take_all(state, &items, revision);
    } else {
        take_changes(state, &FeedChanges { items, revision });
    }
    note_synced(state);
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
