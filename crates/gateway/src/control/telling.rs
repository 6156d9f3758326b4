//! Published items for other entries.

use std::cell::Cell;

use metrics::{counter, gauge};
use shallotfork_events::{ITEMS_TOLD, event};
use shallotfork_feed::{PACK_MIN_BYTES, PullResponse, RawItem, pack};
use shallotfork_peer::{Bundle, Changes, ChangesRequest, ValueChange, encode_values};
use shallotfork_types::{Bytes, Revision};

use crate::control::state::State;

/// From this size on, what is read from other entries or told to them is logged.
pub const LARGE: Bytes = Bytes::from_kib(64);

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
pub fn told(state: &State, asked: ChangesRequest) -> Option<Changes> {
    let now = state.now();
    if state.uplink.borrow().is_full(now) {
        state.told.put_off.set(state.told.put_off.get() + 1);
        return None;
    }
    let told = state.archive.borrow().changes_after(asked.after);
    let changes = if asked.accepts_packed { packed(state, &told) } else { unpacked(&told) };
    let size = size(&changes);
    state.told.add(size.value());
    state.uplink.borrow_mut().record_sent(size, now);
    Some(changes)
}

fn size(changes: &Changes) -> Bytes {
    let values = changes.values.iter().map(|value| value.name.len() + value.content.len());
    let bundle = changes.bundle.as_ref().map_or(0, |bundle| bundle.content.len());
    Bytes::new((values.sum::<usize>() + bundle) as u64)
}

fn unpacked(told: &PullResponse) -> Changes {
    let values = told.changes.items.iter().map(|item| value(item, None)).collect();
    Changes { revision: told.changes.revision, values, is_snapshot: told.is_snapshot, bundle: None }
}

/// Large items are packed one by one, which serves everybody who asks until they change; the others
/// together.
fn packed(state: &State, told: &PullResponse) -> Changes {
    let PullResponse { changes, is_snapshot } = told;
    let (large, small): (Vec<&RawItem>, Vec<&RawItem>) =
        changes.items.iter().partition(|item| is_large(item));
    let mut packer = state.packer.borrow_mut();
    let mut values: Vec<ValueChange> =
        large.into_iter().map(|item| value(item, packer.pack(item))).collect();
    let small: Vec<ValueChange> = small.into_iter().map(|item| value(item, None)).collect();
    let bundle = bundle_of(state, changes.revision, *is_snapshot, &small);
    if bundle.is_none() {
        values.extend(small);
    }
    Changes { revision: changes.revision, values, is_snapshot: *is_snapshot, bundle }
}

fn is_large(item: &RawItem) -> bool {
    item.content.as_ref().is_some_and(|content| content.len() >= PACK_MIN_BYTES)
}

/// Small values packed together, unless they are few. Those who start together are told all at the same
/// revision, and share one bundle.
fn bundle_of(
    state: &State,
    revision: Revision,
    whole: bool,
    values: &[ValueChange],
) -> Option<Bundle> {
    let mut kept = state.whole_bundle.borrow_mut();
    if let Some((kept_revision, bundle)) = kept.as_ref().filter(|_| whole)
        && *kept_revision == revision
    {
        return Some(bundle.clone());
    }
    let content = encode_values(values);
    let unpacked_size = Bytes::new(content.len() as u64);
    let bundle = Bundle { content: pack(&content)?, unpacked_size };
    if whole {
        *kept = Some((revision, bundle.clone()));
    }
    Some(bundle)
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
