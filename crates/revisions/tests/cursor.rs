//! Watching platform replicas that lag or were restored from a backup.

use shallotfork_revisions::{Cursor, ReplicaStatus};
use shallotfork_types::{Endpoint, Epoch, Position, Revision};

const fn at(revision: u64) -> Position {
    Position::new(Epoch::NONE, rev(revision))
}

const fn rev(value: u64) -> Revision {
    Revision::new(value)
}

fn replica(number: u8) -> Endpoint {
    Endpoint::new(([10, 0, 0, number], 7000).into())
}

#[test]
fn watch_continues_after_last_answered_revision() {
    let mut cursor = Cursor::new();
    assert_eq!(Revision::NONE, cursor.after(replica(1)));
    assert_eq!(ReplicaStatus::Current, cursor.record_answer(replica(1), Revision::NONE, at(7)));
    assert_eq!((rev(7), rev(7)), (cursor.after(replica(1)), cursor.synced_revision()));
    assert_eq!(ReplicaStatus::Current, cursor.record_answer(replica(1), rev(7), at(7)));
}

/// A platform restored from a backup falls from revision 9 to 4, then operators publish 5. Guards
/// against an entry that waits for revision 10 and misses everything in between instead of reading
/// all lists again and continuing from 4.
#[test]
fn restored_platform_is_read_in_full() {
    let mut cursor = Cursor::new();
    let one = replica(1);
    let behind = |answers| ReplicaStatus::Behind { highest: rev(9), answers };
    cursor.record_answer(one, Revision::NONE, at(9));
    assert_eq!(behind(1), cursor.record_answer(one, rev(9), at(4)));
    assert_eq!(Revision::NONE, cursor.after(one));
    assert_eq!(behind(2), cursor.record_answer(one, Revision::NONE, at(4)));
    assert_eq!((rev(4), rev(9)), (cursor.after(one), cursor.synced_revision()));
    assert!(cursor.is_behind(one));
    assert_eq!(ReplicaStatus::Current, cursor.record_answer(one, rev(4), at(9)));
    assert!(!cursor.is_behind(one));
}

/// Guards against missing what a restored platform has published up to the known revision, if it has
/// passed that revision before the next request.
#[test]
fn restored_platform_that_has_passed_the_known_revision_is_read_in_full() {
    let mut cursor = Cursor::new();
    let one = replica(1);
    let restored = |revision| Position::new(Epoch::new(1), rev(revision));
    cursor.record_answer(one, Revision::NONE, at(9));
    assert_eq!(ReplicaStatus::Current, cursor.record_answer(one, rev(9), restored(12)));
    assert_eq!(Revision::NONE, cursor.after(one));
    cursor.record_answer(one, Revision::NONE, restored(12));
    assert_eq!(rev(12), cursor.after(one));
}

/// Guards against asking a lagging replica for changes after a revision that only another replica
/// has reached: the request would wait for nothing, and the lag would not show.
#[test]
fn each_replica_is_followed_at_its_own_revision() {
    let mut cursor = Cursor::new();
    cursor.record_answer(replica(1), Revision::NONE, at(9));
    assert_eq!(Revision::NONE, cursor.after(replica(2)));
    let behind = ReplicaStatus::Behind { highest: rev(9), answers: 1 };
    assert_eq!(behind, cursor.record_answer(replica(2), Revision::NONE, at(6)));
    assert_eq!((rev(9), rev(6)), (cursor.after(replica(1)), cursor.after(replica(2))));
}

#[test]
fn seen_revision_is_not_synced() {
    let mut cursor = Cursor::new();
    cursor.record_seen(rev(9));
    assert_eq!((Revision::NONE, rev(9)), (cursor.synced_revision(), cursor.highest_revision()));
    cursor.record_synced(rev(8));
    assert_eq!((rev(8), rev(9)), (cursor.synced_revision(), cursor.highest_revision()));
}
