//! Exchange of published items between entries.

use quickcheck::QuickCheck;
use shallotfork_feed::{Archive, FeedChanges, PullError, PullResponse, RawItem, Retained};
use shallotfork_history::Precedence;
use shallotfork_types::{Epoch, Mono, Position, Revision};

const NOW: Mono = Mono::ZERO;

/// Leaves the order of any two versions undecided.
fn undecided(_: &RawItem, _: &RawItem) -> Precedence {
    Precedence::Undecided
}

fn at(revision: u64) -> Position {
    Position::new(Epoch::NONE, Revision::new(revision))
}

fn item(key: u8, revision: u64, content: Option<&str>) -> RawItem {
    let content = content.map(|text| text.as_bytes().to_vec());
    RawItem { key: format!("key-{key}"), position: at(revision), content }
}

fn changes(items: Vec<RawItem>, revision: u64) -> FeedChanges {
    FeedChanges { items, position: at(revision) }
}

fn response(changes: FeedChanges, is_snapshot: bool) -> PullResponse {
    PullResponse { changes, is_snapshot, seen_from: None, retained: Retained::default() }
}

fn archive() -> Archive {
    let mut archive = Archive::new();
    archive.replace(&[item(1, 3, Some("a")), item(2, 5, Some("b"))], at(6), NOW, &undecided);
    archive
}

#[test]
fn pull_without_a_revision_returns_a_snapshot() {
    let response = archive().changes_after(Position::NONE);
    assert!(response.is_snapshot);
    assert_eq!(response.changes, changes(vec![item(1, 3, Some("a")), item(2, 5, Some("b"))], 6));
}

/// Guards against a lost removal: an entry that is disconnected from the platform would go on sending
/// requests to a removed target.
#[test]
fn incremental_pull_includes_removals() {
    let mut archive = archive();
    archive.apply(&changes(vec![item(1, 8, None)], 9), &undecided);
    let response = archive.changes_after(at(6));
    assert!(!response.is_snapshot);
    assert_eq!(response.changes, changes(vec![item(1, 8, None)], 9));
}

#[test]
fn pull_before_the_retained_history_returns_a_snapshot() {
    let response = archive().changes_after(at(2));
    assert!(response.is_snapshot);
}

#[test]
fn full_read_keeps_newer_changes() {
    let mut archive = archive();
    archive.apply(&changes(vec![item(3, 9, Some("c"))], 9), &undecided);
    archive.replace(&[item(1, 3, Some("a"))], at(7), NOW, &undecided);
    let keys: Vec<String> = archive
        .changes_after(Position::NONE)
        .changes
        .items
        .into_iter()
        .map(|item| item.key)
        .collect();
    assert_eq!(keys, ["key-1", "key-3"]);
    assert_eq!(archive.position(), at(9));
}

/// Pulls at arbitrary times leave an entry with the same items as the one it pulls from.
#[test]
fn follower_converges_to_its_source() {
    fn property(steps: Vec<(u8, bool, bool)>) -> bool {
        let (mut source, mut follower) = (archive(), Archive::new());
        for (revision, (key, removed, pull)) in (7..).zip(steps) {
            let content = if removed { None } else { Some("x") };
            source.apply(&changes(vec![item(key % 8, revision, content)], revision), &undecided);
            if pull {
                follow(&source, &mut follower);
            }
        }
        follow(&source, &mut follower);
        source.changes_after(Position::NONE) == follower.changes_after(Position::NONE)
    }
    QuickCheck::new().tests(400).quickcheck(property as fn(Vec<(u8, bool, bool)>) -> bool);
}

fn follow(source: &Archive, follower: &mut Archive) {
    let response = source.changes_after(follower.position());
    follower.apply_response(&response, NOW, &undecided);
}

/// An entry that has just started responds without items, and one that was paused with items from a
/// minute ago. Applying such a response would remove all targets and cause every request to be rejected.
#[test]
fn truncated_or_outdated_responses_are_rejected() {
    let archive = archive();
    let check = |items: Vec<RawItem>, revision: u64, is_snapshot: bool| {
        archive.check(&response(changes(items, revision), is_snapshot))
    };
    let known = at(6);
    assert_eq!(check(Vec::new(), 9, true), Err(PullError::Empty));
    let older = PullError::Older { received: at(5), known };
    assert_eq!(check(vec![item(1, 3, Some("a"))], 5, true), Err(older.clone()));
    assert_eq!(check(Vec::new(), 5, false), Err(older));
    assert_eq!(check(vec![item(1, 0, Some("a"))], 9, false), Err(PullError::BadItem));
    assert_eq!(
        check(vec![item(3, 7, Some("c")); 100_001], 9, true),
        Err(PullError::TooMany(100_001))
    );
    assert_eq!(check(Vec::new(), 6, false), Ok(()));
    assert_eq!(check(vec![item(1, 8, None)], 9, false), Ok(()));
}

fn at_epoch(epoch: u64, revision: u64) -> Position {
    Position::new(Epoch::new(epoch), Revision::new(revision))
}

/// A platform is restored and publishes at lower revisions than before. Guards against taking that for
/// old, and against transferring everything to every entry although most items are as before.
#[test]
fn restore_is_adopted_and_served_as_a_difference() {
    let mut archive = archive();
    archive
        .apply(&changes(vec![item(3, 9, Some("lost")), item(4, 10, Some("lost"))], 10), &undecided);
    let written =
        RawItem { position: at_epoch(1, 7), ..item(3, 7, Some("written after the restore")) };
    let unchanged = [item(1, 3, Some("a")), item(2, 5, Some("b"))]
        .map(|item| RawItem { position: at_epoch(1, item.position.revision().value()), ..item });
    let read: Vec<RawItem> = unchanged.into_iter().chain([written.clone()]).collect();
    archive.replace(&read, at_epoch(1, 7), NOW, &undecided);
    assert_eq!(archive.position(), at_epoch(1, 7));

    let response = archive.changes_after(at(10));
    assert!(!response.is_snapshot);
    let removed = RawItem { position: at_epoch(1, 0), ..item(4, 0, None) };
    assert_eq!(response.changes.items, [removed, written]);
    let is_snapshot = |position| archive.changes_after(position).is_snapshot;
    assert!(is_snapshot(at(11)), "the other entry has known more than this one");
    assert!(is_snapshot(at_epoch(3, 7)), "the other entry is in an epoch that is unknown here");
}

/// Guards against an entry that goes back to an earlier epoch because the other entry's revision is
/// higher.
#[test]
fn response_of_an_earlier_epoch_is_rejected() {
    let mut archive = archive();
    archive.replace(&[item(1, 3, Some("a"))], at_epoch(1, 4), NOW, &undecided);
    let response = response(changes(Vec::new(), 90), false);
    let older = PullError::Older { received: at(90), known: at_epoch(1, 4) };
    assert_eq!(archive.check(&response), Err(older));
}

/// Guards against versions of the current epoch that would hold in place of later ones.
#[test]
fn retained_versions_are_of_an_earlier_epoch() {
    let archive = archive();
    let retained = |position| {
        let items = vec![RawItem { position, ..item(1, 8, Some("lost")) }];
        let changes = FeedChanges { items: Vec::new(), position: at_epoch(1, 9) };
        let response = response(changes, false);
        PullResponse { retained: Retained { items, settles_in: None }, ..response }
    };
    assert_eq!(archive.check(&retained(at(8))), Ok(()));
    let position = at_epoch(1, 8);
    assert_eq!(archive.check(&retained(position)), Err(PullError::NotRetained(position)));
}
