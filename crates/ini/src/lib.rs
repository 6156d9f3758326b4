//! Parses INI text into sections and entries with line numbers.
//!
//! The settings and the rule lists are both INI. `rust-ini` reports only the first error and keeps
//! no line numbers, so it parses each line separately: one pass finds every error, and a value
//! cannot span lines.

mod document;
mod ini_error;

pub use document::{Document, Entry, Section};
pub use ini_error::IniError;
