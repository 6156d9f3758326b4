//! Watching replicas of a platform that lag or were restored.

use shallotfork_revisions::{Cursor, ReplicaStatus};
use shallotfork_types::{Endpoint, Revision};

const fn rev(value: u64) -> Revision {
    Revision::new(value)
}

fn replica(number: u8) -> Endpoint {
    Endpoint::new(([10, 0, 0, number], 7000).into())
}

#[test]
fn watch_goes_on_from_the_last_answer() {
    let mut cursor = Cursor::new();
    assert_eq!(Revision::NONE, cursor.after(replica(1)));
    assert_eq!(ReplicaStatus::Current, cursor.record_answer(replica(1), Revision::NONE, rev(7)));
    assert_eq!((rev(7), rev(7)), (cursor.after(replica(1)), cursor.synced_revision()));
    assert_eq!(ReplicaStatus::Current, cursor.record_answer(replica(1), rev(7), rev(7)));
}

/// The platform is restored from a backup: it falls from revision 9 to 4, then operators publish
/// 5. The entry must read everything again and follow from 4, or it would wait for 10 and see
/// nothing of what is published in between.
#[test]
fn restored_platform_is_read_in_full_again() {
    let mut cursor = Cursor::new();
    let one = replica(1);
    let behind = |answers| ReplicaStatus::Behind { highest: rev(9), answers };
    cursor.record_answer(one, Revision::NONE, rev(9));
    assert_eq!(behind(1), cursor.record_answer(one, rev(9), rev(4)));
    assert_eq!(Revision::NONE, cursor.after(one));
    assert_eq!(behind(2), cursor.record_answer(one, Revision::NONE, rev(4)));
    assert_eq!((rev(4), rev(9)), (cursor.after(one), cursor.synced_revision()));
    assert!(cursor.is_behind(one));
    assert_eq!(ReplicaStatus::Current, cursor.record_answer(one, rev(4), rev(9)));
    assert!(!cursor.is_behind(one));
}

/// One of two replicas lags. Asking it for changes after what the other one has shown would wait
/// for nothing; each is followed at its own revision, and the lag shows.
#[test]
fn each_replica_is_followed_at_its_own_revision() {
    let mut cursor = Cursor::new();
    cursor.record_answer(replica(1), Revision::NONE, rev(9));
    assert_eq!(Revision::NONE, cursor.after(replica(2)));
    let behind = ReplicaStatus::Behind { highest: rev(9), answers: 1 };
    assert_eq!(behind, cursor.record_answer(replica(2), Revision::NONE, rev(6)));
    assert_eq!((rev(9), rev(6)), (cursor.after(replica(1)), cursor.after(replica(2))));
}

#[test]
fn hearing_of_a_revision_does_not_make_it_known() {
    let mut cursor = Cursor::new();
    cursor.record_seen(rev(9));
    assert_eq!((Revision::NONE, rev(9)), (cursor.synced_revision(), cursor.highest_revision()));
    cursor.record_synced(rev(8));
    assert_eq!((rev(8), rev(9)), (cursor.synced_revision(), cursor.highest_revision()));
}
