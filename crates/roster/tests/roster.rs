//! Which targets count, as their entries come, lapse, return and end.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::time::Duration;

use quickcheck::QuickCheck;
use shallotfork_roster::{
    Availability, PublishedState, Roster, RosterChange, RosterConfig, TargetChange, TargetRecord,
};
use shallotfork_types::{FailureDomain, Mono, Revision, ServiceName, TargetId};

fn id(name: &str) -> TargetId {
    TargetId::new(name).unwrap()
}

fn entry(port: u16) -> TargetRecord {
    TargetRecord {
        service: ServiceName::new("recipes").unwrap(),
        endpoint: format!("10.0.0.1:{port}").parse().unwrap(),
        failure_domain: FailureDomain::new("hall").unwrap(),
        slots: 2,
        availability: Availability::Serving,
        cold_for: Duration::ZERO,
        started_at_ms: Some(1000),
    }
}

fn change(name: &str, revision: u64, published: PublishedState) -> TargetChange {
    TargetChange { id: id(name), revision: Revision::new(revision), published }
}

fn present(name: &str, revision: u64, port: u16) -> TargetChange {
    change(name, revision, PublishedState::Target(entry(port)))
}

fn draining(name: &str, revision: u64, port: u16) -> TargetChange {
    let entry = TargetRecord { availability: Availability::Draining, ..entry(port) };
    change(name, revision, PublishedState::Target(entry))
}

fn names(roster: &Roster) -> Vec<&str> {
    roster.targets().into_iter().map(|(id, _)| id.as_str()).collect()
}

fn at(ms: u64) -> Mono {
    Mono::from_millis(ms)
}

fn with_two() -> Roster {
    let mut roster = Roster::new(RosterConfig::default());
    let joined = roster.apply(vec![present("a", 1, 1), present("b", 2, 2)], at(0));
    assert_eq!(joined, [RosterChange::Joined(id("a")), RosterChange::Joined(id("b"))]);
    roster
}

#[test]
fn a_removed_target_is_gone_at_once_while_the_platform_is_steady() {
    let mut roster = with_two();
    let left = roster.apply(vec![change("a", 3, PublishedState::Removed)], at(100));
    assert_eq!(left, [RosterChange::Left(id("a"))]);
    assert_eq!(names(&roster), ["b"]);
}

/// The platform is away for five seconds; meanwhile every entry's lease runs out. A stallholder
/// who asks right after the return would be told that no server exists, although all of them run.
#[test]
fn targets_whose_entries_lapsed_are_kept_until_they_had_time_to_return() {
    let mut roster = with_two();
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

/// A server announces that it leaves and is gone while the platform is away. Keeping it for two
/// more seconds would send orders to a server that has ended.
#[test]
fn a_draining_target_is_never_excused() {
    let mut roster = with_two();
    assert_eq!(roster.apply(vec![draining("a", 3, 1)], at(10)), [RosterChange::Draining(id("a"))]);
    roster.platform_disconnected();
    roster.platform_reconnected(at(5000));
    let left = roster.apply(vec![change("a", 4, PublishedState::Removed)], at(5010));
    assert_eq!(left, [RosterChange::Left(id("a"))]);
}

/// A full read that is seconds old still shows a target that has left; the watch knew better.
#[test]
fn a_stale_read_brings_nothing_back() {
    let mut roster = with_two();
    roster.apply(vec![change("a", 9, PublishedState::Removed)], at(10));
    let changes =
        roster.replace(vec![present("a", 1, 1), present("b", 2, 2)], Revision::new(5), at(20));
    assert_eq!(changes, []);
    assert_eq!(names(&roster), ["b"]);
}

#[test]
fn a_full_read_ends_what_it_lacks_but_not_what_came_later() {
    let mut roster = with_two();
    roster.apply(vec![present("c", 8, 3)], at(10));
    let changes = roster.replace(vec![present("b", 2, 2)], Revision::new(6), at(20));
    assert_eq!(changes, [RosterChange::Left(id("a"))]);
    assert_eq!(names(&roster), ["b", "c"]);
}

#[test]
fn an_unreadable_entry_ends_its_target_and_no_other() {
    let mut roster = with_two();
    let left = roster.apply(vec![change("a", 3, PublishedState::Unreadable)], at(10));
    assert_eq!(left, [RosterChange::Left(id("a"))]);
    assert_eq!(names(&roster), ["b"]);
}

/// A server crashes and starts again under its old id. What was learnt of the old run (its
/// connections, its requests in flight) does not hold for the new one.
#[test]
fn a_later_start_under_one_id_is_another_run() {
    let mut roster = with_two();
    let again = TargetRecord { started_at_ms: Some(2000), ..entry(1) };
    let changes = roster.apply(vec![change("a", 3, PublishedState::Target(again))], at(10));
    assert_eq!(changes, [RosterChange::Restarted(id("a"))]);
}

/// A server falls silent; its address goes to a new server before its entry has run out. Requests
/// meant for the old one would all be turned away by the new one.
#[test]
fn an_address_belongs_to_the_target_published_last() {
    let mut roster = with_two();
    roster.apply(vec![present("new", 7, 1)], at(10));
    assert_eq!(names(&roster), ["b", "new"]);
}

/// Whatever order news arrives in, the entry with the highest revision decides.
#[test]
fn the_order_of_arrival_does_not_matter_while_the_platform_is_steady() {
    fn property(mut order: Vec<(u8, bool)>) -> bool {
        let of = |(revision, present_then): &(u8, bool)| match present_then {
            true => present("a", u64::from(*revision), 1),
            false => change("a", u64::from(*revision), PublishedState::Removed),
        };
        order.sort_unstable();
        order.dedup_by_key(|(revision, _)| *revision);
        let mut roster = Roster::new(RosterConfig::default());
        roster.apply(order.iter().map(of).collect(), at(0));
        let in_order = names(&roster).len();
        order.reverse();
        let mut reversed = Roster::new(RosterConfig::default());
        reversed.apply(order.iter().map(of).collect(), at(0));
        names(&reversed).len() == in_order
    }
    QuickCheck::new().tests(500).quickcheck(property as fn(Vec<(u8, bool)>) -> bool);
}

/// Targets renew their entries each second and a half. Were each renewal to hand all targets to the
/// traffic side anew, hundreds of entries would do so hundreds of times a second for nothing.
#[test]
fn a_renewed_entry_changes_nothing() {
    let mut roster = with_two();
    let version = roster.version();
    roster.apply(vec![present("a", 5, 1)], at(100));
    assert_eq!(roster.version(), version);
    roster.apply(vec![draining("a", 6, 1)], at(200));
    assert_ne!(roster.version(), version);
}

/// Two entries name one address; the one written last holds it. A renewal decides which.
#[test]
fn a_renewed_entry_takes_its_address_back() {
    let mut roster = with_two();
    roster.apply(vec![present("c", 7, 1)], at(100));
    assert_eq!(names(&roster), ["b", "c"]);
    let version = roster.version();
    roster.apply(vec![present("a", 8, 1)], at(200));
    assert_eq!(names(&roster), ["a", "b"]);
    assert_ne!(roster.version(), version);
}
