//! The control thread: reads published items, tracks the live entries, and publishes both for the
//! traffic threads.

mod advertise;
mod configuration;
mod demand_shares;
mod handler;
mod heartbeat_messages;
mod heartbeats;
mod ignored_elements;
mod peers;
mod publish;
mod pull;
mod pulled_items;
mod reader;
mod serve_pulls;
mod state;
mod thread;

pub use thread::{ControlHandle, ControlParts, start};
