//! Watching a platform that lags or was restored.

use shallotfork_revisions::{Answer, Cursor};
use shallotfork_types::Revision;

const fn rev(value: u64) -> Revision {
    Revision::new(value)
}

#[test]
fn watch_goes_on_from_the_last_answer() {
    let mut cursor = Cursor::new();
    assert_eq!(Revision::NONE, cursor.after());
    assert_eq!(Answer::Current, cursor.answered(Revision::NONE, rev(7)));
    assert_eq!(rev(7), cursor.after());
    assert_eq!(Answer::Current, cursor.answered(rev(7), rev(7)));
}

/// The platform is restored from a backup: it falls from revision 9 to 4, then operators publish
/// 5. The entry must read everything again and follow from 4, or it would wait for 10 and see
/// nothing of what is published in between.
#[test]
fn restored_platform_is_read_in_full_again() {
    let mut cursor = Cursor::new();
    cursor.answered(Revision::NONE, rev(9));
    assert_eq!(Answer::Behind { highest: rev(9) }, cursor.answered(rev(9), rev(4)));
    assert_eq!(Revision::NONE, cursor.after());
    assert_eq!(Answer::Behind { highest: rev(9) }, cursor.answered(Revision::NONE, rev(4)));
    assert_eq!(rev(4), cursor.after());
    assert_eq!(Answer::Current, cursor.answered(rev(4), rev(9)));
    assert_eq!(rev(9), cursor.highest());
}

#[test]
fn another_replica_is_read_in_full() {
    let mut cursor = Cursor::new();
    cursor.answered(Revision::NONE, rev(9));
    cursor.switched();
    assert_eq!(Revision::NONE, cursor.after());
    assert_eq!(rev(9), cursor.highest());
}
