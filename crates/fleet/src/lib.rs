//! How the entries of a fleet share work: whom callers are sent to, who reads the platform,
//! how often heartbeats are exchanged, and whether the platform answers any of them.
//!
//! Pure decisions, which every entry makes by itself from what it knows of the others.

mod active;
mod beat;
mod beliefs;
mod contacts;
mod heads;
mod helpers;
mod member;
mod order;
mod outreach;
mod pace;
mod readers;
mod sight;
mod told;
mod words;

pub use active::{ActiveEntry, Regions, active_entries, entries_for};
pub use beat::Beat;
pub use beliefs::Beliefs;
pub use contacts::{Contacts, Standing, contacts};
pub use heads::heads;
pub use helpers::with_helpers;
pub use member::{FleetMember, OwnState};
pub use order::{Candidate, fleet_order};
pub use outreach::first_seed;
pub use pace::{PERIOD, near_periods, spread_time};
pub use readers::{choose_readers, may_have_to_read};
pub use sight::{PlatformAges, PlatformSight};
