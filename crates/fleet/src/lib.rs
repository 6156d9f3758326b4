//! How the entries of a fleet share work: which of them are advertised to callers, which read the
//! platform, how often heartbeats are exchanged, and whether the platform is available.
//!
//! All decisions are pure functions of the state that an entry holds about the others; each entry
//! makes them by itself.

mod advertised;
mod contacts;
mod core_entries;
mod core_sync;
mod demand_exchange;
mod demand_reports;
mod discovery;
mod fleet_load;
mod fleet_view;
mod forwarding;
mod heartbeat;
mod intervals;
mod member;
mod overflow;
mod own_load;
mod platform_availability;
mod ranking;
mod readers;
mod reported_states;

pub use advertised::{AdvertisedEntry, Regions, endpoints_for_caller, select_advertised_entries};
pub use contacts::{Contacts, FleetPosition, select_contacts};
pub use core_entries::select_core_entries;
pub use demand_exchange::DemandExchange;
pub use demand_reports::{REPORT_SERVICES_MAX, REPORTS_BYTES_MAX};
pub use discovery::choose_initial_seed;
pub use fleet_load::FleetLoad;
pub use fleet_view::FleetView;
pub use forwarding::forwarding_order;
pub use heartbeat::FleetHeartbeat;
pub use intervals::{HEARTBEAT_PERIOD, local_interval_periods, propagation_delay};
pub use member::{FleetMember, OwnState};
pub use overflow::add_overflow_entries;
pub use platform_availability::{PlatformAges, PlatformAvailability};
pub use ranking::{Candidate, rank_entries};
pub use readers::{choose_readers, may_become_reader};
