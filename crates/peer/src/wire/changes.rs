//! Published values and their changes.

use capnp::Result;
use shallotfork_types::{Bytes, Epoch, Position, Revision};

use super::{list_length, read_age, read_epoch, write_age, write_epoch};
use crate::peer_capnp as schema;
use crate::{Bundle, Changes, PeerError, ValueChange};

/// Wire value for a revision that is not stated.
const UNKNOWN_REVISION: u64 = u64::MAX;

pub(crate) fn write_changes(changes: &Changes, mut to: schema::changes::Builder<'_>) {
    to.set_revision(changes.revision.value());
    to.set_epoch(write_epoch(changes.epoch));
    to.set_whole(changes.is_snapshot);
    to.set_gap(changes.has_gap);
    if let Some(bundle) = &changes.bundle {
        to.set_bundle(&bundle.content);
        to.set_unpacked_bundle_bytes(unpacked_bytes(bundle.unpacked_size));
    }
    to.set_settles_ms(write_age(changes.settles_in));
    to.set_seen_from(changes.seen_from.map_or(UNKNOWN_REVISION, Revision::value));
    if !changes.retained.is_empty() {
        let count = list_length(changes.retained.len());
        write_values(&changes.retained, to.reborrow().init_retained(count));
    }
    write_values(&changes.values, to.init_values(list_length(changes.values.len())));
}

fn write_values(
    values: &[ValueChange],
    mut to: capnp::struct_list::Builder<'_, schema::value::Owned>,
) {
    for (index, change) in (0..).zip(values) {
        let mut value = to.reborrow().get(index);
        value.set_name(&change.name[..]);
        value.set_revision(change.position.revision().value());
        value.set_epoch(change.position.epoch().value());
        value.set_content(&change.content);
        value.set_removed(change.removed);
        value.set_unpacked_bytes(change.unpacked_size.map_or(0, unpacked_bytes));
    }
}

/// Encodes values for a [`Bundle`]; the result is not packed yet.
pub fn encode_values(values: &[ValueChange]) -> Vec<u8> {
    let mut message = capnp::message::Builder::new_default();
    let to = message.init_root::<schema::values::Builder<'_>>();
    write_values(values, to.init_values(list_length(values.len())));
    capnp::serialize::write_message_to_words(&message)
}

/// Decodes the output of [`encode_values`].
///
/// # Errors
/// Returns an error if `content` is not a valid encoding of values.
pub fn decode_values(content: &[u8]) -> std::result::Result<Vec<ValueChange>, PeerError> {
    let options = capnp::message::ReaderOptions::new();
    let message = capnp::serialize::read_message(&mut &content[..], options)?;
    let values = message.get_root::<schema::values::Reader<'_>>()?.get_values()?;
    Ok(values.iter().map(read_value).collect::<Result<_>>()?)
}

pub(crate) fn read_changes(from: schema::changes::Reader<'_>) -> Result<Changes> {
    let values = from.get_values()?.iter().map(read_value).collect::<Result<_>>()?;
    let revision = Revision::new(from.get_revision());
    let bundle = match from.get_unpacked_bundle_bytes() {
        0 => None,
        bytes => Some(Bundle {
            content: from.get_bundle()?.to_vec(),
            unpacked_size: Bytes::new(u64::from(bytes)),
        }),
    };
    Ok(Changes {
        revision,
        epoch: read_epoch(from.get_epoch()),
        values,
        is_snapshot: from.get_whole(),
        has_gap: from.get_gap(),
        bundle,
        retained: from.get_retained()?.iter().map(read_value).collect::<Result<_>>()?,
        settles_in: read_age(from.get_settles_ms()),
        seen_from: Some(from.get_seen_from())
            .filter(|revision| *revision != UNKNOWN_REVISION)
            .map(Revision::new),
    })
}

fn unpacked_bytes(size: Bytes) -> u32 {
    u32::try_from(size.value()).unwrap_or(u32::MAX)
}

fn read_value(from: schema::value::Reader<'_>) -> Result<ValueChange> {
    Ok(ValueChange {
        name: from.get_name()?.to_string()?,
        position: Position::new(Epoch::new(from.get_epoch()), Revision::new(from.get_revision())),
        content: from.get_content()?.to_vec(),
        unpacked_size: match from.get_unpacked_bytes() {
            0 => None,
            bytes => Some(Bytes::new(u64::from(bytes))),
        },
        removed: from.get_removed(),
    })
}
