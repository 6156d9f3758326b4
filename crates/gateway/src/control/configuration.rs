//! Puts published configurations into force and reports which one is.

use std::sync::Arc;

use metrics::gauge;
use shallotfork_events::{
    CONFIGURATION_COMPLETE, CONFIGURATION_NOT_IN_FORCE, CONFIGURATION_PARTIAL, ROUTES_ACCEPTED,
    ROUTES_REFUSED, event,
};
use shallotfork_feed::{ElementKind, IgnoredElement};
use shallotfork_routes::{ConfigurationStatus, NotInForce, OfferOutcome, RouteTable, TableVersion};
use shallotfork_types::Position;

use crate::control::ignored_elements::{count_ignored, report_ignored};
use crate::control::state::ControlState;
use crate::snapshot::Published;

/// Name of the configuration in log lines about ignored elements.
const WHOLE_CONFIGURATION: &str = "as a whole";

/// Offers a table. Elements that are not used as published are reported when the table comes into force.
pub fn offer_table(
    state: &ControlState,
    table: RouteTable,
    ignored: &[IgnoredElement],
    position: Position,
    source: &str,
) {
    let (version, routes) = (table.version(), table.routes().count());
    let outcome = state.configuration.borrow_mut().offer(table, ignored.len(), position);
    if outcome == OfferOutcome::Accepted {
        event!(state.context.log, ROUTES_ACCEPTED, "version" => version.number(),
            "routes" => routes, "revision" => position.revision().value(),
            "epoch" => position.epoch().value(), "source" => source);
        report_ignored(state, ignored, position);
    }
    publish_status(state);
}

/// Records a configuration that can't be used. It is reported once, although the same one is read again
/// whenever everything is.
pub fn reject_configuration(
    state: &ControlState,
    version: Option<TableVersion>,
    reason: &str,
    position: Position,
) {
    let before = state.configuration.borrow().status().not_in_force;
    let ignored = IgnoredElement::new(ElementKind::Configuration, WHOLE_CONFIGURATION, reason);
    let reason = ignored.reason().to_owned();
    state.configuration.borrow_mut().reject(version, reason, position);
    let after = state.configuration.borrow().status().not_in_force;
    if after != before {
        event!(state.context.log, ROUTES_REFUSED, "reason" => ignored.reason(),
            "revision" => position.revision().value());
        count_ignored(&ignored);
    }
    publish_status(state);
}

/// Publishes the status of the configuration and logs it, if it has changed.
fn publish_status(state: &ControlState) {
    let status = state.configuration.borrow().status();
    let published = state.context.published.load();
    if *published.configuration == status {
        return;
    }
    log_change(state, &published.configuration, &status);
    set_metrics(&status);
    let published = Published { configuration: Arc::new(status), ..Published::clone(&published) };
    state.context.published.store(Arc::new(published));
}

fn log_change(state: &ControlState, before: &ConfigurationStatus, now: &ConfigurationStatus) {
    let log = &state.context.log;
    if let Some(not_in_force) = now.not_in_force.as_ref()
        && before.not_in_force != now.not_in_force
    {
        let NotInForce { position, version, cause } = not_in_force;
        event!(log, CONFIGURATION_NOT_IN_FORCE,
            "revision" => position.revision().value(), "epoch" => position.epoch().value(),
            "version" => version.map(TableVersion::number),
            "in_force" => now.version.map(TableVersion::number),
            "reason" => cause.to_string());
    }
    let is_new = before.version != now.version;
    let has_returned = before.not_in_force.is_some() && now.not_in_force.is_none();
    if now.is_partial() && (is_new || has_returned) {
        event!(log, CONFIGURATION_PARTIAL,
            "version" => now.version.map(TableVersion::number),
            "unusable_routes" => now.unusable_routes, "ignored" => now.ignored_elements);
    }
    if now.is_complete() && (before.is_partial() || has_returned) {
        event!(log, CONFIGURATION_COMPLETE,
            "version" => now.version.map(TableVersion::number));
    }
}

/// Sets the metrics of the configuration. Versions and revisions that do not exist are 0.
pub fn set_metrics(status: &ConfigurationStatus) {
    let version = status.version.map_or(0, TableVersion::number);
    let newest = status.not_in_force.as_ref();
    let newest_version = newest.and_then(|newest| newest.version).map_or(0, TableVersion::number);
    let newest_revision = newest.map_or(0, |newest| newest.position.revision().value());
    gauge!("shallotfork_configuration_version").set(version as f64);
    gauge!("shallotfork_configuration_unusable_routes").set(status.unusable_routes as f64);
    gauge!("shallotfork_configuration_ignored_elements").set(status.ignored_elements as f64);
    gauge!("shallotfork_configuration_not_in_force_version").set(newest_version as f64);
    gauge!("shallotfork_configuration_not_in_force_revision").set(newest_revision as f64);
}
