//! A caller as the users' applications are: asks an entry which to use, keeps the answer for as
//! long as told, connects there, and fails over.

mod call;
mod client;
mod config;
mod entries;

pub use call::{Answer, Attempt, Call, Report};
pub use client::{Caller, CallerError, plain_client};
pub use config::CallerConfig;
pub use entries::{EntriesAnswer, EntryAddress};
