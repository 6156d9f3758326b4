//! The control thread: what is published, and which entries live.

mod beats;
mod fleet_order;
mod handler;
mod naming;
mod peers;
mod publish;
mod reader;
mod state;
mod thread;

pub use thread::{ControlHandle, ControlParts, start};
