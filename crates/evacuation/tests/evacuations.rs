//! Evacuations as they are published, read late, in part or twice.

use std::collections::BTreeSet;

use quickcheck::QuickCheck;
use shallotfork_evacuation::{EvacuationChange, EvacuationEvent, Evacuations, PublishedState};
use shallotfork_types::{FailureDomain, Mono, Revision};

fn domain(name: &str) -> FailureDomain {
    FailureDomain::new(name).expect("a valid name")
}

fn change(name: &str, revision: u64, evacuated: bool) -> EvacuationChange {
    let published = if evacuated { PublishedState::Evacuated } else { PublishedState::Removed };
    EvacuationChange { failure_domain: domain(name), revision: Revision::new(revision), published }
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

/// Guards against a stale full read that brings a failure domain back which is evacuated.
#[test]
fn a_full_read_from_before_the_evacuation_does_not_end_it() {
    let mut evacuations = Evacuations::new();
    evacuations.apply(vec![change("hall", 9, true)], at(0));
    assert_eq!(evacuations.replace(Vec::new(), Revision::new(8), at(1)), []);
    assert!(evacuations.contains(&domain("hall")));
}

/// Guards against a stale full read that evacuates a failure domain again which was taken back.
#[test]
fn a_full_read_from_before_the_end_does_not_begin_it_again() {
    let mut evacuations = Evacuations::new();
    evacuations.apply(vec![change("hall", 5, true), change("hall", 9, false)], at(0));
    assert_eq!(evacuations.replace(vec![change("hall", 5, true)], Revision::new(8), at(1)), []);
    assert!(!evacuations.contains(&domain("hall")));
}

/// Guards against an evacuation that lasts for ever because its end fell into lost history.
#[test]
fn a_later_full_read_without_it_ends_an_evacuation() {
    let mut evacuations = Evacuations::new();
    evacuations.apply(vec![change("hall", 5, true)], at(0));
    let events = evacuations.replace(Vec::new(), Revision::new(8), at(1));
    assert!(matches!(events.as_slice(), [EvacuationEvent::Ended(_)]), "{events:?}");
    assert_eq!(names(&evacuations), BTreeSet::new());
}

/// Guards against two evacuations that end each other, and against losing when the first began.
#[test]
fn evacuations_overlap_and_repeat() {
    let mut evacuations = Evacuations::new();
    evacuations.apply(vec![change("hall", 5, true)], at(10));
    evacuations.apply(vec![change("barn", 6, true), change("hall", 7, true)], at(20));
    assert_eq!(names(&evacuations), evacuated(&["barn", "hall"]));
    let learned: Vec<Mono> =
        evacuations.in_force().values().map(|known| known.learned_at).collect();
    assert_eq!(learned, [at(20), at(10)]);
    evacuations.apply(vec![change("hall", 8, false)], at(30));
    assert_eq!(names(&evacuations), evacuated(&["barn"]));
    evacuations.apply(vec![change("hall", 9, true)], at(40));
    assert_eq!(names(&evacuations), evacuated(&["barn", "hall"]));
}

/// Guards against an evacuation that ends because its item was overwritten by one that can't be read.
#[test]
fn what_cannot_be_read_neither_begins_nor_ends_an_evacuation() {
    let unreadable = |revision| EvacuationChange {
        published: PublishedState::Unreadable,
        ..change("hall", revision, true)
    };
    let mut evacuations = Evacuations::new();
    assert_eq!(evacuations.apply(vec![unreadable(3)], at(0)), []);
    evacuations.apply(vec![change("hall", 5, true)], at(0));
    assert_eq!(evacuations.apply(vec![unreadable(6)], at(0)), []);
    assert_eq!(evacuations.replace(vec![unreadable(6)], Revision::new(8), at(1)), []);
    assert!(evacuations.contains(&domain("hall")));
}

/// Guards against reverting, whatever mix of late, repeated and partial news arrives: once a
/// revision has been in force, no older state of the failure domain is.
#[test]
fn what_is_in_force_never_goes_back() {
    fn property(news: Vec<(u8, bool, bool)>) -> bool {
        let mut evacuations = Evacuations::new();
        let mut newest = None;
        for (number, whole, repeats) in news {
            // The operator's requests alternate: odd revisions evacuate, even ones take back.
            let revision = u64::from(number) + 1;
            let published = change("hall", revision, revision % 2 == 1);
            let of_read = Revision::new(revision);
            let times = if repeats { 2 } else { 1 };
            for _ in 0..times {
                if !whole {
                    evacuations.apply(vec![published.clone()], at(0));
                } else if published.published == PublishedState::Evacuated {
                    evacuations.replace(vec![published.clone()], of_read, at(0));
                } else {
                    evacuations.replace(Vec::new(), of_read, at(0));
                }
            }
            newest = newest.max(Some(revision));
            let expected = newest.is_some_and(|revision| revision % 2 == 1);
            if evacuations.contains(&domain("hall")) != expected {
                return false;
            }
        }
        true
    }
    QuickCheck::new().tests(2000).quickcheck(property as fn(Vec<(u8, bool, bool)>) -> bool);
}
