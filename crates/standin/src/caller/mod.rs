//! Stand-in for a caller, modelled on the applications of the users: it asks an entry which entries
//! to use, caches the response for the time that it states, connects to those entries and fails
//! over between them.

mod call;
mod client;
mod config;
mod entries;

pub use call::{Answer, Attempt, Call, Report};
pub use client::{Caller, CallerError, plain_client};
pub use config::CallerConfig;
pub use entries::{EntriesAnswer, EntryAddress};
