//! An entry process for platforms that publish routes and targets one by one.
//!
//! Control state lives on one thread ([`control`]): what is published, and which other entries
//! live. Traffic threads ([`traffic`]) read snapshots that control publishes. A platform is a
//! [`Feed`](shallotfork_feed::Feed) that is read and a [`Dialect`] that is spoken; nothing here knows its names.

mod context;
mod control;
mod dialect;
mod follow_settings;
mod leave;
mod log_budget;
mod metrics_page;
mod run;
mod settings;
mod snapshot;
mod traffic;
mod transfer;

pub use dialect::{Dialect, HeaderNames, Paths};
pub use follow_settings::ignore_sighup;
pub use run::{PlatformAdapter, ReloadFn, run};
pub use settings::{GatewaySettings, Ports};
