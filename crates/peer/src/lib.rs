//! RPC between `shallotd` processes, using capnp-rpc over TCP.
//!
//! Both sides prove possession of a shared key before either can call the other. All code in this
//! crate runs on a single thread, in a [`tokio::task::LocalSet`], because the futures of capnp-rpc
//! are not `Send`. No type generated from the schema is public. See `docs/design/peer.md` for the
//! design decisions.

mod client;
mod error;
mod handler;
mod key;
mod message;
mod metered;
mod peer_config;
mod pre_auth;
mod server;
mod wire;

/// Generated from `schema/peer.capnp`; committed so that a build does not need the generator.
#[rustfmt::skip]
#[allow(clippy::all, clippy::unwrap_used)]
mod peer_capnp;

pub use client::PeerClient;
pub use error::PeerError;
pub use handler::PeerHandler;
pub use key::{KEY_BYTES_MIN, KeyError, PeerKey};
pub use message::{
    Bundle, Changes, ChangesRequest, Heartbeat, LoadHint, NO_LOAD, PeerId, PeerState, PeerUpdate,
    PlatformReport, ValueChange,
};
pub use peer_config::PeerConfig;
pub use server::PeerServer;
pub use wire::{decode_values, encode_values};
