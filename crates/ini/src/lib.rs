//! INI text as sections and entries that know their line.
//!
//! The settings and the rule lists are both INI. `rust-ini` reports the first error only and keeps
//! no line numbers, so each line is handed to it on its own: every error is found in one pass, and
//! a value cannot span lines.

mod document;
mod ini_error;

pub use document::{Document, Entry, Section};
pub use ini_error::IniError;
