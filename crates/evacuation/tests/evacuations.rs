//! Tests of evacuations under stale, partial and repeated reads.

use std::collections::BTreeSet;

use quickcheck::QuickCheck;
use shallotfork_evacuation::{EvacuationChange, EvacuationEvent, Evacuations, PublishedState};
use shallotfork_types::{Epoch, FailureDomain, Mono, Position, Revision};

fn at_revision(revision: u64) -> Position {
    Position::new(Epoch::NONE, Revision::new(revision))
}

fn domain(name: &str) -> FailureDomain {
    FailureDomain::new(name).expect("a valid name")
}

fn change(name: &str, revision: u64, evacuated: bool) -> EvacuationChange {
    let published = if evacuated { PublishedState::Evacuated } else { PublishedState::Removed };
    EvacuationChange { failure_domain: domain(name), position: at_revision(revision), published }
}

fn at(ms: u64) -> Mono {
    Mono::from_millis(ms)
}

fn names(evacuations: &Evacuations) -> BTreeSet<FailureDomain> {
    evacuations.in_force().into_keys().collect()
}

fn evacuated(names: &[&str]) -> BTreeSet<FailureDomain> {
    names.iter().map(|name| domain(name)).collect()
}

/// Guards against a stale full read that ends a current evacuation.
#[test]
fn stale_full_read_does_not_end_an_evacuation() {
    let mut evacuations = Evacuations::new();
    evacuations.apply(vec![change("hall", 9, true)], at(0));
    assert_eq!(evacuations.replace(Vec::new(), at_revision(8), at(1)), []);
    assert!(evacuations.contains(&domain("hall")));
}

/// Guards against a stale full read that restores an evacuation after its end.
#[test]
fn stale_full_read_does_not_restore_an_ended_evacuation() {
    let mut evacuations = Evacuations::new();
    evacuations.apply(vec![change("hall", 5, true), change("hall", 9, false)], at(0));
    assert_eq!(evacuations.replace(vec![change("hall", 5, true)], at_revision(8), at(1)), []);
    assert!(!evacuations.contains(&domain("hall")));
}

/// Guards against an evacuation that never ends because its removal was in history that the
/// platform no longer keeps.
#[test]
fn full_read_without_the_item_ends_an_evacuation() {
    let mut evacuations = Evacuations::new();
    evacuations.apply(vec![change("hall", 5, true)], at(0));
    let events = evacuations.replace(Vec::new(), at_revision(8), at(1));
    assert!(matches!(events.as_slice(), [EvacuationEvent::Ended(_)]), "{events:?}");
    assert_eq!(names(&evacuations), BTreeSet::new());
}

/// Guards against concurrent evacuations that end each other, and against a repeated request that
/// resets when an evacuation began.
#[test]
fn concurrent_and_repeated_evacuations() {
    let mut evacuations = Evacuations::new();
    evacuations.apply(vec![change("hall", 5, true)], at(10));
    evacuations.apply(vec![change("barn", 6, true), change("hall", 7, true)], at(20));
    assert_eq!(names(&evacuations), evacuated(&["barn", "hall"]));
    let learned: Vec<Mono> =
        evacuations.in_force().values().map(|evacuation| evacuation.learned_at).collect();
    assert_eq!(learned, [at(20), at(10)]);
    evacuations.apply(vec![change("hall", 8, false)], at(30));
    assert_eq!(names(&evacuations), evacuated(&["barn"]));
    evacuations.apply(vec![change("hall", 9, true)], at(40));
    assert_eq!(names(&evacuations), evacuated(&["barn", "hall"]));
}

/// Guards against an evacuation that ends because its item was overwritten with undecodable
/// content.
#[test]
fn undecodable_item_does_not_change_an_evacuation() {
    let unreadable = |revision| EvacuationChange {
        published: PublishedState::Unreadable,
        ..change("hall", revision, true)
    };
    let mut evacuations = Evacuations::new();
    assert_eq!(evacuations.apply(vec![unreadable(3)], at(0)), []);
    evacuations.apply(vec![change("hall", 5, true)], at(0));
    assert_eq!(evacuations.apply(vec![unreadable(6)], at(0)), []);
    assert_eq!(evacuations.replace(vec![unreadable(6)], at_revision(8), at(1)), []);
    assert!(evacuations.contains(&domain("hall")));
}

/// Guards against reverting to an older state of a failure domain when delayed, repeated and
/// partial reads arrive in any order.
#[test]
fn state_in_force_never_reverts() {
    fn property(reads: Vec<(u8, bool, bool)>) -> bool {
        let mut evacuations = Evacuations::new();
        let mut newest_revision = None;
        for (number, is_full, is_repeated) in reads {
            // The operator's requests alternate: odd revisions evacuate, even ones end the
            // evacuation.
            let revision = u64::from(number) + 1;
            let change_read = change("hall", revision, revision % 2 == 1);
            let read_revision = at_revision(revision);
            let times = if is_repeated { 2 } else { 1 };
            for _ in 0..times {
                if !is_full {
                    evacuations.apply(vec![change_read.clone()], at(0));
                } else if change_read.published == PublishedState::Evacuated {
                    evacuations.replace(vec![change_read.clone()], read_revision, at(0));
                } else {
                    evacuations.replace(Vec::new(), read_revision, at(0));
                }
            }
            newest_revision = newest_revision.max(Some(revision));
            let expected = newest_revision.is_some_and(|revision| revision % 2 == 1);
            if evacuations.contains(&domain("hall")) != expected {
                return false;
            }
        }
        true
    }
    QuickCheck::new().tests(2000).quickcheck(property as fn(Vec<(u8, bool, bool)>) -> bool);
}
