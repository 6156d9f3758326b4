//! The control thread: what is published, and which entries live.

mod beats;
mod handler;
mod hearing;
mod naming;
mod peers;
mod publish;
mod reader;
mod reading;
mod relay;
mod state;
mod telling;
mod thread;

pub use thread::{ControlHandle, ControlParts, start};
