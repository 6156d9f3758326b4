//! Tests of the roster as records are published, renewed, removed, and expire.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::QuickCheck;
use shallotfork_roster::{
    Availability, PublishedState, Roster, RosterChange, RosterConfig, TargetChange, TargetRecord,
};
use shallotfork_types::{Epoch, FailureDomain, Mono, Position, Revision, ServiceName, TargetId};

fn at_revision(revision: u64) -> Position {
    Position::new(Epoch::NONE, Revision::new(revision))
}

fn id(name: &str) -> TargetId {
    TargetId::new(name).unwrap()
}

fn record(port: u16) -> TargetRecord {
    TargetRecord {
        service: ServiceName::new("recipes").unwrap(),
        endpoint: format!("10.0.0.1:{port}").parse().unwrap(),
        failure_domain: FailureDomain::new("hall").unwrap(),
        slots: 2,
        availability: Availability::Serving,
        cold_for: Duration::ZERO,
        started_at_ms: Some(1000),
        sequence: 1,
    }
}

fn change(name: &str, revision: u64, published: PublishedState) -> TargetChange {
    TargetChange { id: id(name), position: at_revision(revision), published }
}

fn present(name: &str, revision: u64, port: u16) -> TargetChange {
    change(name, revision, PublishedState::Target(record(port)))
}

fn draining(name: &str, revision: u64, port: u16) -> TargetChange {
    let record = TargetRecord { availability: Availability::Draining, ..record(port) };
    change(name, revision, PublishedState::Target(record))
}

fn names(roster: &Roster) -> Vec<&str> {
    roster.targets().into_iter().map(|(id, _)| id.as_str()).collect()
}

fn at(ms: u64) -> Mono {
    Mono::from_millis(ms)
}

fn roster_with_two_targets() -> Roster {
    let mut roster = Roster::new(RosterConfig::default());
    let joined = roster.apply(vec![present("a", 1, 1), present("b", 2, 2)], at(0));
    assert_eq!(joined, [RosterChange::Joined(id("a")), RosterChange::Joined(id("b"))]);
    roster
}

#[test]
fn removed_target_leaves_at_once_while_the_platform_is_connected() {
    let mut roster = roster_with_two_targets();
    let left = roster.apply(vec![change("a", 3, PublishedState::Removed)], at(100));
    assert_eq!(left, [RosterChange::Left(id("a"))]);
    assert_eq!(names(&roster), ["b"]);
}

/// Guards against a service without targets after an outage of the platform: the leases of all
/// records expire within a five-second outage, although the targets are running.
#[test]
fn targets_with_expired_records_are_kept_for_the_grace_period() {
    let mut roster = roster_with_two_targets();
    roster.platform_disconnected();
    roster.platform_reconnected(at(5000));
    let removed =
        vec![change("a", 3, PublishedState::Removed), change("b", 4, PublishedState::Removed)];
    let lapsed = roster.apply(removed, at(5010));
    assert_eq!(lapsed, [RosterChange::Lapsed(id("a")), RosterChange::Lapsed(id("b"))]);
    assert_eq!(names(&roster), ["a", "b"]);
    assert_eq!(roster.apply(vec![present("a", 5, 1)], at(6000)), [RosterChange::Returned(id("a"))]);
    assert_eq!(roster.expire(at(7000)), []);
    assert_eq!(roster.expire(at(7300)), [RosterChange::Left(id("b"))]);
    assert_eq!(names(&roster), ["a"]);
}

/// Guards against requests to a target that drained and ended during an outage of the platform, if
/// it were kept for the grace period of two seconds.
#[test]
fn draining_target_gets_no_grace_period() {
    let mut roster = roster_with_two_targets();
    assert_eq!(roster.apply(vec![draining("a", 3, 1)], at(10)), [RosterChange::Draining(id("a"))]);
    roster.platform_disconnected();
    roster.platform_reconnected(at(5000));
    let left = roster.apply(vec![change("a", 4, PublishedState::Removed)], at(5010));
    assert_eq!(left, [RosterChange::Left(id("a"))]);
}

/// Guards against a full read that is seconds old and restores a target whose removal the watch has
/// already reported.
#[test]
fn stale_full_read_restores_no_target() {
    let mut roster = roster_with_two_targets();
    roster.apply(vec![change("a", 9, PublishedState::Removed)], at(10));
    let changes =
        roster.replace(vec![present("a", 1, 1), present("b", 2, 2)], at_revision(5), at(20));
    assert_eq!(changes, []);
    assert_eq!(names(&roster), ["b"]);
}

#[test]
fn full_read_removes_missing_targets_except_later_ones() {
    let mut roster = roster_with_two_targets();
    roster.apply(vec![present("c", 8, 3)], at(10));
    let changes = roster.replace(vec![present("b", 2, 2)], at_revision(6), at(20));
    assert_eq!(changes, [RosterChange::Left(id("a"))]);
    assert_eq!(names(&roster), ["b", "c"]);
}

#[test]
fn unreadable_record_removes_only_its_target() {
    let mut roster = roster_with_two_targets();
    let left = roster.apply(vec![change("a", 3, PublishedState::Unreadable)], at(10));
    assert_eq!(left, [RosterChange::Left(id("a"))]);
    assert_eq!(names(&roster), ["b"]);
}

/// Guards against state of a target's previous run (connections, requests in flight) being applied
/// to the new run after a crash and a restart with the same ID.
#[test]
fn later_start_with_the_same_id_is_a_restart() {
    let mut roster = roster_with_two_targets();
    let restarted = TargetRecord { started_at_ms: Some(2000), ..record(1) };
    let changes = roster.apply(vec![change("a", 3, PublishedState::Target(restarted))], at(10));
    assert_eq!(changes, [RosterChange::Restarted(id("a"))]);
}

/// Guards against requests that are sent to the wrong target, and rejected by it, when the address
/// of a lost target is reused before its record has expired.
#[test]
fn shared_address_belongs_to_the_latest_record() {
    let mut roster = roster_with_two_targets();
    roster.apply(vec![present("new", 7, 1)], at(10));
    assert_eq!(names(&roster), ["b", "new"]);
}

/// Guards against results that depend on the order in which changes arrive: the highest revision
/// decides.
#[test]
fn order_of_arrival_is_irrelevant_while_the_platform_is_connected() {
    fn property(mut changes: Vec<(u8, bool)>) -> bool {
        let to_change = |(revision, is_present): &(u8, bool)| match is_present {
            true => present("a", u64::from(*revision), 1),
            false => change("a", u64::from(*revision), PublishedState::Removed),
        };
        changes.sort_unstable();
        changes.dedup_by_key(|(revision, _)| *revision);
        let mut roster = Roster::new(RosterConfig::default());
        roster.apply(changes.iter().map(to_change).collect(), at(0));
        let in_order = names(&roster).len();
        changes.reverse();
        let mut reversed = Roster::new(RosterConfig::default());
        reversed.apply(changes.iter().map(to_change).collect(), at(0));
        names(&reversed).len() == in_order
    }
    QuickCheck::new().tests(500).quickcheck(property as fn(Vec<(u8, bool)>) -> bool);
}

/// Guards against publishing all targets to the traffic threads at each renewal of a record.
/// Targets renew their records every 1.5 s, so hundreds of records would cause hundreds of such
/// updates per second.
#[test]
fn renewed_record_does_not_change_the_version() {
    let mut roster = roster_with_two_targets();
    let version = roster.version();
    roster.apply(vec![present("a", 5, 1)], at(100));
    assert_eq!(roster.version(), version);
    roster.apply(vec![draining("a", 6, 1)], at(200));
    assert_ne!(roster.version(), version);
}

/// Guards against a stale holder of a shared address: a renewal makes its record the latest one.
#[test]
fn renewed_record_reclaims_its_address() {
    let mut roster = roster_with_two_targets();
    roster.apply(vec![present("c", 7, 1)], at(100));
    assert_eq!(names(&roster), ["b", "c"]);
    let version = roster.version();
    roster.apply(vec![present("a", 8, 1)], at(200));
    assert_eq!(names(&roster), ["a", "b"]);
    assert_ne!(roster.version(), version);
}

/// Guards against a full read that takes the square of the number of targets: with thousands of
/// them, a small VM could apply nothing else for seconds after the platform had discarded its history.
#[test]
fn full_read_of_unchanged_records_takes_linear_time() {
    const TARGETS: u32 = 18_000;
    /// Time within which a change has to be in force.
    const IN_FORCE_MAX: Duration = Duration::from_secs(8);
    let records = || {
        (0..TARGETS).map(|number| {
            let endpoint =
                format!("10.{}.{}.{}:80", number / 65_536, number / 256 % 256, number % 256);
            let record = TargetRecord { endpoint: endpoint.parse().unwrap(), ..record(1) };
            change(&format!("target-{number:05}"), 1, PublishedState::Target(record))
        })
    };
    let mut roster = Roster::new(RosterConfig::default());
    assert_eq!(roster.replace(records().collect(), at_revision(1), at(0)).len(), 18_000);
    let started_at = std::time::Instant::now();
    assert_eq!(roster.replace(records().collect(), at_revision(2), at(1)), []);
    assert!(started_at.elapsed() < IN_FORCE_MAX, "{:?}", started_at.elapsed());
}

/// Guards against an address that is looked up under a target that no longer has it.
#[test]
fn each_address_is_used_by_the_target_published_last() {
    fn property(steps: Vec<(u8, u8, bool)>) -> bool {
        let mut roster = Roster::new(RosterConfig::default());
        let mut published: BTreeMap<String, (u64, u16)> = BTreeMap::new();
        for (revision, (name, port, is_removed)) in (1..).zip(steps) {
            let (name, port) = (format!("target-{}", name % 5), u16::from(port % 3));
            if is_removed {
                published.remove(&name);
                roster.apply(vec![change(&name, revision, PublishedState::Removed)], at(0));
            } else {
                published.insert(name.clone(), (revision, port));
                roster.apply(vec![present(&name, revision, port)], at(0));
            }
        }
        let is_last = |revision: u64, port: u16| {
            published.values().all(|other| other.1 != port || other.0 <= revision)
        };
        let holders = published.iter().filter(|(_, (revision, port))| is_last(*revision, *port));
        names(&roster) == holders.map(|(name, _)| name.as_str()).collect::<Vec<_>>()
    }
    QuickCheck::new().tests(500).quickcheck(property as fn(Vec<(u8, u8, bool)>) -> bool);
}
