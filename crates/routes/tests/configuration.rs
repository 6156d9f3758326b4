//! Tests of which configuration is reported as in force.

use shallotfork_routes::{
    Configuration, ConfigurationStatus, NotInForceCause, OfferOutcome, RouteTable, TableVersion,
    UnusableRoute,
};
use shallotfork_types::{Epoch, Position, Revision};

fn at(revision: u64) -> Position {
    Position::new(Epoch::NONE, Revision::new(revision))
}

fn table(version: u64) -> RouteTable {
    RouteTable::new(TableVersion::new(version))
}

fn table_with_unusable(version: u64) -> RouteTable {
    let route = UnusableRoute {
        name: "r".to_owned(),
        host: "shop.example".to_owned(),
        prefix: "/a/".to_owned(),
        reason: "kind is missing".to_owned(),
    };
    table(version).with_routes(Vec::new(), vec![route])
}

/// Returns version and cause of the newest known configuration that is not in force.
fn not_in_force(status: ConfigurationStatus) -> Option<(Option<u64>, NotInForceCause)> {
    let not_in_force = status.not_in_force?;
    Some((not_in_force.version.map(TableVersion::number), not_in_force.cause))
}

fn rejected(reason: &str) -> NotInForceCause {
    NotInForceCause::Rejected(reason.to_owned())
}

/// Guards against an operator who takes a published configuration for being in force, and against a
/// report that outlasts its cause.
#[test]
fn rejected_configuration_is_reported_until_a_later_one_is_in_force() {
    let mut configuration = Configuration::new();
    configuration.offer(table(1), 0, at(1));
    assert!(configuration.status().is_complete());
    configuration.reject(Some(TableVersion::new(2)), "bad".to_owned(), at(2));
    let status = configuration.status();
    assert!(!status.is_complete());
    assert_eq!(status.version, Some(TableVersion::new(1)));
    assert_eq!(not_in_force(status), Some((Some(2), rejected("bad"))));
    configuration.offer(table(3), 0, at(3));
    assert!(configuration.status().is_complete());
}

#[test]
fn rejected_configuration_is_reported_before_any_is_in_force() {
    let mut configuration = Configuration::new();
    assert!(!configuration.status().is_complete());
    configuration.reject(None, "bad".to_owned(), at(2));
    let status = configuration.status();
    assert_eq!(status.version, None);
    assert_eq!(not_in_force(status), Some((None, rejected("bad"))));
}

/// Guards against false reports by a read or a peer that is behind.
#[test]
fn earlier_publications_change_nothing() {
    let mut configuration = Configuration::new();
    configuration.offer(table(5), 0, at(5));
    configuration.reject(None, "bad".to_owned(), at(4));
    configuration.offer(table(3), 0, at(3));
    assert!(configuration.status().is_complete());
    configuration.reject(None, "newest".to_owned(), at(7));
    configuration.reject(None, "older".to_owned(), at(6));
    assert_eq!(not_in_force(configuration.status()), Some((None, rejected("newest"))));
    configuration.offer(table(6), 0, at(6));
    assert_eq!(not_in_force(configuration.status()), Some((None, rejected("newest"))));
}

/// Guards against an operator who publishes an earlier version again and takes it for being in force.
/// The report must not depend on the order in which an entry learns of both.
#[test]
fn earlier_version_published_later_is_reported() {
    let expected = Some((Some(4), NotInForceCause::OlderVersion));
    let mut configuration = Configuration::new();
    configuration.offer(table(5), 0, at(5));
    configuration.offer(table(4), 0, at(6));
    assert_eq!(not_in_force(configuration.status()), expected);
    let mut configuration = Configuration::new();
    configuration.offer(table(4), 0, at(6));
    configuration.offer(table(5), 0, at(5));
    assert_eq!(not_in_force(configuration.status()), expected);
}

/// Guards against an operator who mends a configuration without a new version, which has no effect.
#[test]
fn other_content_of_the_same_version_is_reported() {
    let mut configuration = Configuration::new();
    configuration.offer(table_with_unusable(5), 1, at(5));
    assert_eq!(configuration.offer(table(5), 0, at(6)), OfferOutcome::SameVersion);
    let expected = Some((Some(5), NotInForceCause::SameVersion));
    assert_eq!(not_in_force(configuration.status()), expected);
    // The content in force is published again.
    configuration.offer(table_with_unusable(5), 1, at(7));
    assert_eq!(not_in_force(configuration.status()), None);
}

#[test]
fn configuration_in_part_is_reported_until_a_complete_one_is_in_force() {
    let mut configuration = Configuration::new();
    configuration.offer(table_with_unusable(1), 3, at(1));
    let status = configuration.status();
    assert!(status.is_partial() && !status.is_complete());
    assert_eq!((status.unusable_routes, status.ignored_elements), (1, 3));
    configuration.offer(table(2), 0, at(2));
    assert!(configuration.status().is_complete());
}
