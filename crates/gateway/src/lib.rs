//! An entry process for platforms that publish routes and targets one by one.
//!
//! One thread owns the control state (`control`): published items and the view of the fleet.
//! Traffic threads (`traffic`) read snapshots that it publishes. A platform is accessed through a
//! [`Feed`](shallotfork_feed::Feed), and its header names and formats are given by a [`Dialect`];
//! this crate contains no names of any platform.

mod context;
mod control;
mod dialect;
mod large;
mod leave;
mod log_budget;
mod metrics_page;
mod millis;
mod reload;
mod run;
mod settings;
mod snapshot;
mod traffic;
mod transfer;

pub use dialect::{Dialect, HeaderNames, Paths};
pub use reload::ignore_sighup;
pub use run::{PlatformAdapter, ReloadFn, run};
pub use settings::{GatewaySettings, Ports};
