//! Report on the configuration in force, in the body of the answer to a readiness check.

use serde::Serialize;
use shallotfork_routes::{ConfigurationStatus, NotInForce, TableVersion};

/// How far the newest known configuration is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum ConfigurationState {
    /// No configuration is in force.
    None,
    /// The newest known configuration is not in force; an earlier one is.
    Outdated,
    /// The newest known configuration is in force, without some of its elements.
    Partial,
    /// The newest known configuration is in force as a whole.
    Complete,
}

#[derive(Debug, Serialize)]
struct ReadinessReport {
    configuration: ConfigurationReport,
}

#[derive(Debug, Serialize)]
struct ConfigurationReport {
    state: ConfigurationState,
    /// Version in force.
    version: Option<u64>,
    unusable_routes: usize,
    ignored_elements: usize,
    not_in_force: Option<NotInForceReport>,
}

/// The newest known configuration, if it is not in force.
#[derive(Debug, Serialize)]
struct NotInForceReport {
    version: Option<u64>,
    revision: u64,
    reason: String,
}

/// Returns the report as JSON.
pub fn readiness_report(status: &ConfigurationStatus) -> String {
    let not_in_force = status.not_in_force.as_ref().map(|not_in_force| {
        let NotInForce { position, version, cause } = not_in_force;
        NotInForceReport {
            version: version.map(TableVersion::number),
            revision: position.revision().value(),
            reason: cause.to_string(),
        }
    });
    let configuration = ConfigurationReport {
        state: state_of(status),
        version: status.version.map(TableVersion::number),
        unusable_routes: status.unusable_routes,
        ignored_elements: status.ignored_elements,
        not_in_force,
    };
    serde_json::to_string(&ReadinessReport { configuration })
        .expect("numbers and strings can be serialized")
}

fn state_of(status: &ConfigurationStatus) -> ConfigurationState {
    if status.version.is_none() {
        ConfigurationState::None
    } else if status.not_in_force.is_some() {
        ConfigurationState::Outdated
    } else if status.is_partial() {
        ConfigurationState::Partial
    } else {
        ConfigurationState::Complete
    }
}
