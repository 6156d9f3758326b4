//! Calls between `shallotd` processes over capnp-rpc on TCP.
//!
//! Both sides prove a shared key before either can call a function of the other. Everything here
//! runs on one thread, in a [`tokio::task::LocalSet`], since capnp-rpc's futures are not `Send`.
//! No type generated from the schema is public. `docs/design/peer.md` gives the choices.

mod client;
mod error;
mod gate;
mod handler;
mod key;
mod message;
mod metered;
mod peer_config;
mod server;
mod wire;

/// Generated from `schema/peer.capnp`; committed so that a build needs no generator.
#[rustfmt::skip]
#[allow(clippy::all, clippy::unwrap_used)]
mod peer_capnp;

pub use client::PeerClient;
pub use error::PeerError;
pub use handler::PeerHandler;
pub use key::{KEY_BYTES_MIN, KeyError, PeerKey};
pub use message::{
    Bundle, Changes, ChangesRequest, Heartbeat, LoadHint, PeerId, PeerState, PeerUpdate,
    PlatformReport, ValueChange,
};
pub use peer_config::PeerConfig;
pub use server::PeerServer;
pub use wire::{decode_values, encode_values};
