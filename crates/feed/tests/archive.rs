//! What entries tell each other of published items.

use quickcheck::QuickCheck;
use shallotfork_feed::{Archive, FeedChanges, PullError, PullResponse, RawItem};
use shallotfork_types::Revision;

fn item(key: u8, revision: u64, content: Option<&str>) -> RawItem {
    let content = content.map(|text| text.as_bytes().to_vec());
    RawItem { key: format!("key-{key}"), revision: Revision::new(revision), content }
}

fn changes(items: Vec<RawItem>, revision: u64) -> FeedChanges {
    FeedChanges { items, revision: Revision::new(revision) }
}

fn first() -> Archive {
    let mut archive = Archive::new();
    archive.replace(&[item(1, 3, Some("a")), item(2, 5, Some("b"))], Revision::new(6));
    archive
}

#[test]
fn who_knows_nothing_is_told_everything() {
    let told = first().changes_after(Revision::NONE);
    assert!(told.is_snapshot);
    assert_eq!(told.changes, changes(vec![item(1, 3, Some("a")), item(2, 5, Some("b"))], 6));
}

/// A server leaves while an entry can't read the platform. It must hear of the removal from the
/// other entries, or it goes on sending requests there.
#[test]
fn who_knows_a_part_is_told_the_rest_with_removals() {
    let mut archive = first();
    archive.apply(&changes(vec![item(1, 8, None)], 9));
    let told = archive.changes_after(Revision::new(6));
    assert!(!told.is_snapshot);
    assert_eq!(told.changes, changes(vec![item(1, 8, None)], 9));
}

#[test]
fn who_was_away_for_too_long_is_told_everything() {
    let told = first().changes_after(Revision::new(2));
    assert!(told.is_snapshot);
}

#[test]
fn a_full_read_keeps_what_came_later_than_it() {
    let mut archive = first();
    archive.apply(&changes(vec![item(3, 9, Some("c"))], 9));
    archive.replace(&[item(1, 3, Some("a"))], Revision::new(7));
    let keys: Vec<String> = archive
        .changes_after(Revision::NONE)
        .changes
        .items
        .into_iter()
        .map(|item| item.key)
        .collect();
    assert_eq!(keys, ["key-1", "key-3"]);
    assert_eq!(archive.position(), Revision::new(9));
}

/// An entry that is told by another one, at whatever moments, ends with the same items.
#[test]
fn a_follower_ends_with_the_same_items() {
    fn property(steps: Vec<(u8, bool, bool)>) -> bool {
        let (mut source, mut follower) = (first(), Archive::new());
        for (revision, (key, removed, tell)) in (7..).zip(steps) {
            let content = if removed { None } else { Some("x") };
            source.apply(&changes(vec![item(key % 8, revision, content)], revision));
            if tell {
                follow(&source, &mut follower);
            }
        }
        follow(&source, &mut follower);
        source.changes_after(Revision::NONE) == follower.changes_after(Revision::NONE)
    }
    QuickCheck::new().tests(400).quickcheck(property as fn(Vec<(u8, bool, bool)>) -> bool);
}

fn follow(source: &Archive, follower: &mut Archive) {
    let told = source.changes_after(follower.position());
    if told.is_snapshot {
        follower.replace(&told.changes.items, told.changes.revision);
    } else {
        follower.apply(&told.changes);
    }
}

/// An entry that has just started answers with nothing, or one that was paused with what it knew a
/// minute ago. Taken as all there is, it would end every target, and each request would be refused.
#[test]
fn what_is_cut_short_or_older_is_not_taken() {
    let archive = first();
    let told = |items: Vec<RawItem>, revision: u64, is_snapshot: bool| {
        archive.check(&PullResponse { changes: changes(items, revision), is_snapshot })
    };
    let known = Revision::new(6);
    assert_eq!(told(Vec::new(), 9, true), Err(PullError::Empty));
    let older = PullError::Older { received: Revision::new(5), known };
    assert_eq!(told(vec![item(1, 3, Some("a"))], 5, true), Err(older.clone()));
    assert_eq!(told(Vec::new(), 5, false), Err(older));
    assert_eq!(told(vec![item(1, 0, Some("a"))], 9, false), Err(PullError::BadItem));
    assert_eq!(
        told(vec![item(3, 7, Some("c")); 100_001], 9, true),
        Err(PullError::TooMany(100_001))
    );
    assert_eq!(told(Vec::new(), 6, false), Ok(()));
    assert_eq!(told(vec![item(1, 8, None)], 9, false), Ok(()));
}
