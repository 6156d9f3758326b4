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
    let retained = Retained::default();
    PullResponse { changes, is_snapshot, has_gap: false, seen_from: None, retained }
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

/// Guards against a transfer of all items to all entries after the platform has discarded its history:
/// the entries that read it again know what differs.
#[test]
fn pull_across_a_lost_history_returns_the_difference() {
    let mut source = archive();
    source.end_read(at(6));
    let mut follower = Archive::new();
    follow(&source, &mut follower);
    source.replace(&[item(1, 3, Some("a")), item(3, 9, Some("c"))], at(9), NOW, &undecided);
    assert!(source.changes_after(at(6)).is_snapshot, "an older release takes no gap");
    let response = source.changes_with_gap_after(follower.position());
    assert!(response.has_gap && !response.is_snapshot);
    assert_eq!(response.changes, changes(vec![item(2, 9, None), item(3, 9, Some("c"))], 9));
    follower.apply_response(&response, NOW, &undecided);
    assert_eq!(follower.items(), source.items());
    assert!(follower.changes_after(at(6)).is_snapshot, "what came and went is unknown here too");
}

/// Guards against an item that is used for ever: its removal is missing in the difference, because the
/// entry that was pulled from has never seen it.
#[test]
fn entry_with_later_items_than_its_position_accepts_no_gap() {
    let mut reader = Archive::new();
    assert!(reader.accepts_gap());
    reader.replace(&[item(1, 3, Some("a")), item(2, 8, Some("b"))], at(6), NOW, &undecided);
    assert!(!reader.accepts_gap());
    reader.apply(&changes(Vec::new(), 8), &undecided);
    assert!(reader.accepts_gap());
}

/// Published items with their history, which readers may find discarded.
#[derive(Default)]
struct Platform {
    items: std::collections::BTreeMap<u8, RawItem>,
    history: Vec<RawItem>,
    revision: u64,
}

impl Platform {
    fn write(&mut self, key: u8, content: Option<&str>) {
        self.revision += 1;
        let written = item(key, self.revision, content);
        self.history.push(written.clone());
        self.items.insert(key, written);
        self.items.retain(|_, item| item.content.is_some());
    }

    fn watch(&self, archive: &mut Archive) {
        let after = archive.position();
        let items = self.history.iter().filter(|item| item.position > after).cloned();
        archive.apply(&changes(items.collect(), self.revision), &undecided);
    }

    /// Reads all items while `key` is written after the first page.
    fn read(&mut self, archive: &mut Archive, key: u8, content: Option<&str>) {
        let position = at(self.revision);
        self.write(key, content);
        let items: Vec<RawItem> = self.items.values().cloned().collect();
        archive.replace(&items, position, NOW, &undecided);
        archive.end_read(at(self.revision));
    }
}

/// Guards against an item that is used for ever: it was removed while the entry that is pulled from read
/// all items, so that this entry has never known it.
#[test]
fn removal_during_a_full_read_is_not_left_out() {
    let mut platform = Platform::default();
    platform.write(0, Some("x"));
    let (mut source, mut follower) = (Archive::new(), Archive::new());
    platform.read(&mut source, 0, Some("x"));
    platform.read(&mut follower, 0, Some("x"));
    platform.write(1, Some("x"));
    platform.watch(&mut follower);
    platform.read(&mut source, 1, None);
    platform.read(&mut source, 0, Some("x"));
    let response = source.changes_with_gap_after(follower.position());
    assert!(response.is_snapshot);
    follower.apply_response(&response, NOW, &undecided);
    assert_eq!(follower.items(), source.items());
}

/// Whatever is read, watched and pulled across lost histories, entries that have followed to the same
/// position hold the published items.
#[test]
fn entries_hold_the_published_items_across_lost_histories() {
    const ENTRIES: usize = 4;
    fn property(steps: Vec<(u8, u8, u8, bool)>) -> bool {
        let mut platform = Platform::default();
        platform.write(0, Some("x"));
        let mut entries: Vec<Archive> = (0..ENTRIES).map(|_| Archive::new()).collect();
        entries.iter_mut().for_each(|archive| platform.read(archive, 0, Some("x")));
        for (action, key, entry, is_removed) in steps {
            let content = if is_removed { None } else { Some("x") };
            let (key, index) = (key % 6, usize::from(entry) % ENTRIES);
            match action % 5 {
                0 | 1 => platform.write(key, content),
                2 => platform.watch(&mut entries[index]),
                3 => platform.read(&mut entries[index], key, content),
                _ => pull(&mut entries, index, (index + 1 + usize::from(key) % 3) % ENTRIES),
            }
        }
        platform.watch(&mut entries[0]);
        (1..ENTRIES).for_each(|index| pull(&mut entries, index, 0));
        let published: Vec<RawItem> = platform.items.values().cloned().collect();
        entries.iter().all(|archive| archive.items() == published)
    }
    QuickCheck::new().tests(20_000).quickcheck(property as fn(Vec<(u8, u8, u8, bool)>) -> bool);
}

/// Pulls from an entry that is ahead.
fn pull(entries: &mut [Archive], to: usize, from: usize) {
    let after = entries[to].position();
    if entries[from].position() <= after {
        return;
    }
    let response = if entries[to].accepts_gap() {
        entries[from].changes_with_gap_after(after)
    } else {
        entries[from].changes_after(after)
    };
    entries[to].apply_response(&response, NOW, &undecided);
}
