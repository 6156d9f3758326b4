//! Commands of `shallotctl`, one module each.

mod audit;
mod audit_config;
mod check;
mod check_config;
mod configuration;
mod configuration_config;
mod explain;
mod explain_config;
mod status;
mod status_config;
mod watch;
mod watch_config;

pub use audit::audit;
pub use audit_config::AuditConfig;
pub use check::check;
pub use check_config::CheckConfig;
pub use configuration::configuration;
pub use configuration_config::ConfigurationConfig;
pub use explain::explain;
pub use explain_config::{ExplainConfig, RulesSource};
pub use status::status;
pub use status_config::StatusConfig;
pub use watch::watch;
pub use watch_config::WatchConfig;
