//! How the entries of a fleet share work: whom callers are sent to, who reads the platform,
//! how often heartbeats are exchanged, and whether the platform answers any of them.
//!
//! Pure decisions, which every entry makes by itself from what it knows of the others.

mod advertised;
mod contacts;
mod core_entries;
mod core_sync;
mod discovery;
mod fleet_view;
mod heartbeat;
mod intervals;
mod member;
mod overflow;
mod platform_availability;
mod ranking;
mod readers;
mod reported_states;

pub use advertised::{AdvertisedEntry, Regions, active_entries, endpoints_for_caller};
pub use contacts::{Contacts, Standing, contacts};
pub use core_entries::heads;
pub use discovery::choose_initial_seed;
pub use fleet_view::FleetView;
pub use heartbeat::FleetHeartbeat;
pub use intervals::{HEARTBEAT_PERIOD, near_periods, propagation_delay};
pub use member::{FleetMember, OwnState};
pub use overflow::with_helpers;
pub use platform_availability::{PlatformAges, PlatformAvailability};
pub use ranking::{Candidate, fleet_order};
pub use readers::{choose_readers, may_have_to_read};
