//! Serves published items to other entries.

use std::cell::Cell;

use metrics::{counter, gauge};
use shallotfork_events::{ITEMS_SERVED, event};
use shallotfork_feed::{PACK_MIN_BYTES, PullResponse, RawItem, Retained, pack};
use shallotfork_peer::{Bundle, Changes, ChangesRequest, ValueChange, encode_values};
use shallotfork_types::{Bytes, Position};

use crate::control::state::ControlState;

/// Size from which pulls from other entries, and pulls served to them, are logged.
pub const LOG_MIN_SIZE: Bytes = Bytes::from_kib(64);

/// Pulls served to other entries since the last report.
#[derive(Debug, Default)]
pub struct PullCounts {
    pulls: Cell<u64>,
    bytes: Cell<u64>,
    deferred: Cell<u64>,
}

impl PullCounts {
    fn record(&self, bytes: u64) {
        self.pulls.set(self.pulls.get() + 1);
        self.bytes.set(self.bytes.get() + bytes);
        counter!("shallotfork_told_bytes").increment(bytes);
    }
}

/// Logs the pulls served since the last call if they were large or some were deferred, and sets the
/// metrics of what this entry knows of the platform: the revision up to which it has published items,
/// and how old the platform's last answer to it is.
pub fn report_served_pulls(state: &ControlState) {
    let position = state.archive.borrow().position();
    gauge!("shallotfork_revision").set(position.revision().value() as f64);
    gauge!("shallotfork_platform_epoch").set(position.epoch().value() as f64);
    let retained = state.archive.borrow().retained_keys().len();
    gauge!("shallotfork_retained_items").set(retained as f64);
    if let Some(answered_at) = state.platform_answered_at.get() {
        let age = state.now().since(answered_at);
        gauge!("shallotfork_platform_answer_age_seconds").set(age.as_secs_f64());
    }
    let PullCounts { pulls, bytes, deferred } = &state.served_pulls;
    let (pulls, bytes, deferred) = (pulls.take(), bytes.take(), deferred.take());
    if bytes >= LOG_MIN_SIZE.value() || deferred > 0 {
        event!(state.context.log, ITEMS_SERVED, "readings" => pulls, "bytes" => bytes,
            "put_off" => deferred);
    }
}

/// Returns the changes after the requested position; `None` while the uplink is full.
pub fn answer_pull(state: &ControlState, request: ChangesRequest) -> Option<Changes> {
    let now = state.now();
    if state.uplink.borrow().is_full(now) {
        state.served_pulls.deferred.set(state.served_pulls.deferred.get() + 1);
        return None;
    }
    let archive = state.archive.borrow();
    let after = Position::new(request.epoch.unwrap_or(archive.position().epoch()), request.after);
    let mut response = if request.accepts_gap {
        archive.changes_with_gap_after(after)
    } else {
        archive.changes_after(after)
    };
    if request.wants_retained {
        response.retained = archive.retained_for(after, now);
    }
    // An entry of an older release can't be told what holds in place of an item.
    if request.epoch.is_none() {
        archive.fill_in_retained(&mut response.changes.items);
    }
    drop(archive);
    let changes = if request.accepts_packed {
        packed_changes(state, &response, request.epoch.is_some())
    } else {
        unpacked_changes(&response)
    };
    let changes = Changes {
        retained: retained_values(state, &response.retained, request.accepts_packed),
        settles_in: response.retained.settles_in,
        seen_from: response.seen_from,
        has_gap: response.has_gap,
        ..changes
    };
    let size = size(&changes);
    state.served_pulls.record(size.value());
    state.uplink.borrow_mut().record_sent(size, now);
    Some(changes)
}

fn size(changes: &Changes) -> Bytes {
    let values = changes.values.iter().chain(&changes.retained);
    let values = values.map(|value| value.name.len() + value.content.len());
    let bundle = changes.bundle.as_ref().map_or(0, |bundle| bundle.content.len());
    Bytes::new((values.sum::<usize>() + bundle) as u64)
}

fn unpacked_changes(response: &PullResponse) -> Changes {
    let values = response.changes.items.iter().map(|item| value_change(item, None)).collect();
    let position = response.changes.position;
    Changes {
        revision: position.revision(),
        epoch: Some(position.epoch()),
        values,
        is_snapshot: response.is_snapshot,
        has_gap: false,
        bundle: None,
        retained: Vec::new(),
        settles_in: None,
        seen_from: None,
    }
}

/// Packs large items one by one, so that each packed item serves all pulls until it changes, and
/// small items together.
///
/// `is_published` tells that the contents are the published ones, which other pulls can share.
fn packed_changes(state: &ControlState, response: &PullResponse, is_published: bool) -> Changes {
    let PullResponse { changes, is_snapshot, .. } = response;
    let (large, small): (Vec<&RawItem>, Vec<&RawItem>) =
        changes.items.iter().partition(|item| is_large(item));
    let packer = if is_published { &state.packer } else { &state.retained_packer };
    let mut packer = packer.borrow_mut();
    let mut values: Vec<ValueChange> =
        large.into_iter().map(|item| value_change(item, packer.pack(item))).collect();
    let small: Vec<ValueChange> = small.into_iter().map(|item| value_change(item, None)).collect();
    let bundle = bundle_values(state, changes.position, *is_snapshot && is_published, &small);
    if bundle.is_none() {
        values.extend(small);
    }
    Changes {
        revision: changes.position.revision(),
        epoch: Some(changes.position.epoch()),
        values,
        is_snapshot: *is_snapshot,
        has_gap: false,
        bundle,
        retained: Vec::new(),
        settles_in: None,
        seen_from: None,
    }
}

fn retained_values(
    state: &ControlState,
    retained: &Retained,
    accepts_packed: bool,
) -> Vec<ValueChange> {
    let mut packer = state.retained_packer.borrow_mut();
    let values = retained.items.iter().map(|item| {
        let packed = if accepts_packed { packer.pack(item) } else { None };
        value_change(item, packed)
    });
    values.collect()
}

fn is_large(item: &RawItem) -> bool {
    item.content.as_ref().is_some_and(|content| content.len() >= PACK_MIN_BYTES)
}

/// Packs small values together, unless they are few. Entries that start at the same time all pull a
/// snapshot at the same position, and share one bundle.
fn bundle_values(
    state: &ControlState,
    position: Position,
    is_shared: bool,
    values: &[ValueChange],
) -> Option<Bundle> {
    let mut cached = state.snapshot_bundle.borrow_mut();
    if let Some((cached_position, bundle)) = cached.as_ref().filter(|_| is_shared)
        && *cached_position == position
    {
        return Some(bundle.clone());
    }
    let content = encode_values(values);
    let unpacked_size = Bytes::new(content.len() as u64);
    let bundle = Bundle { content: pack(&content)?, unpacked_size };
    if is_shared {
        *cached = Some((position, bundle.clone()));
    }
    Some(bundle)
}

/// Converts an item for another entry, with its packed content if there is any.
fn value_change(item: &RawItem, packed: Option<&[u8]>) -> ValueChange {
    let RawItem { key, position, content } = item;
    let unpacked = content.as_deref().unwrap_or_default();
    ValueChange {
        name: key.clone(),
        position: *position,
        content: packed.unwrap_or(unpacked).to_vec(),
        unpacked_size: packed.map(|_| Bytes::new(unpacked.len() as u64)),
        removed: content.is_none(),
    }
}
