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

pub use active::{AdvertisedEntry, Regions, active_entries, endpoints_for_caller};
pub use beat::FleetHeartbeat;
pub use beliefs::FleetView;
pub use contacts::{Contacts, Standing, contacts};
pub use heads::heads;
pub use helpers::with_helpers;
pub use member::{FleetMember, OwnState};
pub use order::{Candidate, fleet_order};
pub use outreach::choose_initial_seed;
pub use pace::{HEARTBEAT_PERIOD, near_periods, propagation_delay};
pub use readers::{choose_readers, may_have_to_read};
pub use sight::{PlatformAges, PlatformAvailability};
