//! The control thread: what is published, and which entries live.

mod beats;
mod contacts;
mod handler;
mod naming;
mod peers;
mod publish;
mod reader;
mod relay;
mod state;
mod thread;

pub use thread::{ControlHandle, ControlParts, start};
