//! Conversion between the typed messages and the types generated from the schema.

mod changes;
mod heartbeat;
mod operations;

use std::time::Duration;

use capnp::{Error, Result};
use shallotfork_types::{Epoch, Incarnation, ParseError};

pub use changes::{decode_values, encode_values};
pub(crate) use changes::{read_changes, write_changes};
pub(crate) use heartbeat::{read_heartbeat, write_heartbeat};
pub(crate) use operations::{
    read_claim_answer, read_completion, read_ledger, read_operation, write_claim_answer,
    write_completion, write_ledger, write_operation,
};

use crate::PeerId;
use crate::key::NONCE_BYTES;

pub(crate) fn to_capnp_error(error: ParseError) -> Error {
    Error::failed(error.to_string())
}

/// Converts a list length for capnp, which uses 32 bits; longer lists cannot fit into a message.
fn list_length(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

pub(crate) fn read_nonce(bytes: &[u8]) -> Result<[u8; NONCE_BYTES]> {
    bytes.try_into().map_err(|_| Error::failed("nonce of wrong length".to_owned()))
}

pub(crate) fn read_peer_id(vm: capnp::text::Reader<'_>, incarnation: u64) -> Result<PeerId> {
    let vm = vm.to_str()?.parse().map_err(to_capnp_error)?;
    Ok(PeerId::new(vm, Incarnation::new(incarnation)))
}

/// Wire value for the epoch of a process that does not know of epochs.
const UNKNOWN_EPOCH: u64 = u64::MAX;

pub(crate) fn write_epoch(epoch: Option<Epoch>) -> u64 {
    epoch.map_or(UNKNOWN_EPOCH, Epoch::value)
}

pub(crate) fn read_epoch(epoch: u64) -> Option<Epoch> {
    (epoch != UNKNOWN_EPOCH).then(|| Epoch::new(epoch))
}

/// Wire value for an unknown age.
const UNKNOWN_AGE_MS: u32 = u32::MAX;

fn write_age(age: Option<Duration>) -> u32 {
    age.map_or(UNKNOWN_AGE_MS, |age| u32::try_from(age.as_millis()).unwrap_or(UNKNOWN_AGE_MS))
}

fn read_age(age_ms: u32) -> Option<Duration> {
    (age_ms != UNKNOWN_AGE_MS).then(|| Duration::from_millis(age_ms.into()))
}
