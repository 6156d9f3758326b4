//! Published items from and for other entries.

use std::cell::Cell;

use metrics::{counter, gauge};
use shallotfork_events::{ITEMS_TOLD, event};
use shallotfork_peer::{Changes, ChangesAsked, Heartbeat, ValueChange};
use shallotfork_types::{Bytes, Revision};

use crate::control::publish::{take_all, take_changes};
use crate::control::reader::note_synced;
use crate::control::state::State;
use shallotfork_feed::{FeedChanges, RawItem, TellError, Told, unpack};

/// From this size on, what is read from other entries or told to them is logged.
pub const LARGE: Bytes = Bytes::from_kib(64);

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

/// What other entries were told since the last report.
#[derive(Debug, Default)]
pub struct TellCount {
    readings: Cell<u64>,
    bytes: Cell<u64>,
    put_off: Cell<u64>,
}

impl TellCount {
    fn add(&self, bytes: u64) {
        self.readings.set(self.readings.get() + 1);
        self.bytes.set(self.bytes.get() + bytes);
        counter!("shallotfork_told_bytes").increment(bytes);
    }
}

/// Reports what other entries were told since the last call, if it was much, and how far this entry
/// itself knows what is published.
pub fn report_told(state: &State) {
    let revision = state.archive.borrow().position();
    gauge!("shallotfork_revision").set(revision.value() as f64);
    let TellCount { readings, bytes, put_off } = &state.told;
    let (readings, bytes, put_off) = (readings.take(), bytes.take(), put_off.take());
    if bytes >= LARGE.value() || put_off > 0 {
        event!(state.context.log, ITEMS_TOLD, "readings" => readings, "bytes" => bytes,
            "put_off" => put_off);
    }
}

/// What another entry is told that knows everything up to `after`; `None` while the link has enough to
/// carry.
pub fn told(state: &State, asked: ChangesAsked) -> Option<Changes> {
    let now = state.now();
    if state.uplink.borrow().is_full(now) {
        state.told.put_off.set(state.told.put_off.get() + 1);
        return None;
    }
    let told = state.archive.borrow().after(asked.after);
    let mut packer = state.packer.borrow_mut();
    let items = told.changes.items.into_iter();
    let values: Vec<ValueChange> = items
        .map(|item| {
            let packed = if asked.takes_packed { packer.pack(&item) } else { None };
            value(&item, packed)
        })
        .collect();
    let size = values.iter().map(|value| value.name.len() + value.content.len()).sum::<usize>();
    state.told.add(size as u64);
    state.uplink.borrow_mut().hand_on(Bytes::new(size as u64), now);
    Some(Changes { revision: told.changes.revision, values, whole: told.whole })
}

/// Takes what another entry has told.
///
/// # Errors
/// Why it can't be taken.
pub fn take(state: &State, changes: Changes) -> Result<(), TellError> {
    let Changes { revision, values, whole } = changes;
    let items = values.into_iter().map(item).collect::<Result<_, _>>()?;
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

/// An item as it is handed on, with its packed content if it has one.
fn value(item: &RawItem, packed: Option<&[u8]>) -> ValueChange {
    let RawItem { key, revision, content } = item;
    let whole = content.as_deref().unwrap_or_default();
    ValueChange {
        name: key.clone(),
        revision: *revision,
        content: packed.unwrap_or(whole).to_vec(),
        unpacked_size: packed.map(|_| Bytes::new(whole.len() as u64)),
        removed: content.is_none(),
    }
}

fn item(value: ValueChange) -> Result<RawItem, TellError> {
    let ValueChange { name, revision, content, unpacked_size, removed } = value;
    let content = match unpacked_size {
        Some(size) => unpack(&content, size)?,
        None => content,
    };
    Ok(RawItem { key: name, revision, content: (!removed).then_some(content) })
}
