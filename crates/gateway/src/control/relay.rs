//! Published items from and for other entries.

use std::cell::Cell;
use std::time::Duration;

use metrics::{counter, gauge};
use shallotfork_events::{ITEMS_READ, ITEMS_TOLD, TOLD_REFUSED, event};
use shallotfork_peer::{Changes, Heartbeat, PeerClient, ValueChange};
use shallotfork_types::{Bytes, FailureDomain, Mono, Revision};

use crate::carried::Carried;
use crate::control::publish::{take_all, take_changes};
use crate::control::reader::note_synced;
use crate::control::state::State;
use shallotfork_feed::{FeedChanges, RawItem, TellError, Told};

/// Readings that are at least this large, or take at least [`SLOW_READING`], are logged one by one.
const LARGE_READING: Bytes = Bytes::from_kib(64);
const SLOW_READING: Duration = Duration::from_millis(300);

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

/// Reads from another entry, which stands in `domain`, what it knows beyond this one.
pub async fn pull(state: &State, client: &PeerClient, domain: &FailureDomain) {
    let began_at = state.now();
    if !state.catch_up.borrow_mut().begin(began_at) {
        return;
    }
    let after = state.archive.borrow().position();
    let answer = client.changes(after).await;
    let bytes = client.take_bytes();
    Carried::Lists.count(domain, bytes);
    let taken = match answer {
        Ok(changes) => {
            let reading = Reading::new(&changes, bytes, after, began_at);
            let taken = take(state, changes).map_err(|error| error.to_string());
            if taken.is_ok() {
                report_reading(state, client, &reading);
            }
            taken
        }
        Err(error) => Err(error.to_string()),
    };
    if let Err(reason) = taken {
        event!(state.context.log, TOLD_REFUSED, "peer" => client.peer().vm.as_str(),
            "reason" => reason, "after" => after.value(),
            "took_ms" => millis(state.now().since(began_at)));
    }
    state.catch_up.borrow_mut().end();
}

/// What one reading from another entry brought.
struct Reading {
    after: Revision,
    began_at: Mono,
    revision: Revision,
    items: usize,
    bytes: u64,
    whole: bool,
}

impl Reading {
    fn new(changes: &Changes, bytes: u64, after: Revision, began_at: Mono) -> Self {
        let Changes { revision, values, whole } = changes;
        let items = values.len();
        Self { after, began_at, revision: *revision, items, bytes, whole: *whole }
    }
}

fn report_reading(state: &State, client: &PeerClient, reading: &Reading) {
    let took = state.now().since(reading.began_at);
    if reading.bytes < LARGE_READING.value() && took < SLOW_READING {
        return;
    }
    event!(state.context.log, ITEMS_READ, "peer" => client.peer().vm.as_str(),
        "after" => reading.after.value(), "revision" => reading.revision.value(),
        "items" => reading.items, "bytes" => reading.bytes, "took_ms" => millis(took),
        "whole" => reading.whole);
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// What other entries were told since the last report.
#[derive(Debug, Default)]
pub struct TellCount {
    readings: Cell<u64>,
    bytes: Cell<u64>,
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
    let (readings, bytes) = (state.told.readings.take(), state.told.bytes.take());
    if bytes >= LARGE_READING.value() {
        event!(state.context.log, ITEMS_TOLD, "readings" => readings, "bytes" => bytes);
    }
}

/// What another entry is told that knows everything up to `after`.
pub fn told(state: &State, after: Revision) -> Changes {
    let told = state.archive.borrow().after(after);
    let values: Vec<ValueChange> = told.changes.items.into_iter().map(value).collect();
    let bytes = values.iter().map(|value| value.name.len() + value.content.len()).sum::<usize>();
    state.told.add(bytes as u64);
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
