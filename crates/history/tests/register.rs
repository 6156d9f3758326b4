//! Which version of an item holds after the platform was restored.

use quickcheck::{Gen, QuickCheck};
use shallotfork_history::{AdoptionContext, Precedence, Register, Version};
use shallotfork_types::{Epoch, Position, Revision};

/// What is known of the copy, which is read at revision 41.
const COPY: AdoptionContext =
    AdoptionContext { known_until: Revision::new(48), seen_from: Revision::new(41) };
/// Position at the end of the settle time.
const SETTLED_AT: Position = Position::new(Epoch::new(1), Revision::new(60));

fn version(epoch: u64, revision: u64, content: Option<u8>) -> Version<u8> {
    Version { position: Position::new(Epoch::new(epoch), Revision::new(revision)), content }
}

fn undecided(_: &Version<u8>, _: &Version<u8>) -> Precedence {
    Precedence::Undecided
}

/// The greater content is the later one.
fn by_content(known: &Version<u8>, published: &Version<u8>) -> Precedence {
    if known.content > published.content { Precedence::Known } else { Precedence::Published }
}

/// Returns a register that holds a version that the platform has lost: the copy has an older one.
fn register_with_lost_version() -> Register<u8> {
    let mut register = Register::new(version(0, 30, Some(1)));
    register.write(version(0, 45, Some(2)), undecided);
    register.adopt(version(1, 30, Some(1)), COPY, undecided);
    register
}

/// Guards against a target that has left and is ready again in the copy.
#[test]
fn lost_version_holds_until_the_settle_time_is_over() {
    let mut register = register_with_lost_version();
    assert_eq!(register.content(), Some(&2));
    assert!(register.settle(SETTLED_AT));
    assert_eq!(register.content(), Some(&1));
}

/// Guards against a target that has come since the copy and is missing in it.
#[test]
fn version_that_is_missing_in_the_copy_holds_until_the_settle_time_is_over() {
    let mut register = Register::new(version(0, 45, Some(2)));
    register.adopt(version(1, 0, None), COPY, undecided);
    assert_eq!(register.content(), Some(&2));
    register.settle(SETTLED_AT);
    assert_eq!(register.content(), None);
}

/// Guards against a retained version that outlasts what its writer publishes after the restore, at a
/// revision below that of the retained one.
#[test]
fn later_write_replaces_the_lost_version() {
    let mut register = register_with_lost_version();
    register.write(version(1, 41, None), undecided);
    assert_eq!(register.content(), None);
    assert!(!register.settle(SETTLED_AT));
}

/// A higher revision can't be the copy's: the known version is the latest one of the common past.
#[test]
fn write_after_the_restore_that_is_read_with_the_copy_holds() {
    let mut register = Register::new(version(0, 30, Some(1)));
    register.adopt(version(1, 41, Some(3)), COPY, undecided);
    assert_eq!(register.content(), Some(&3));
}

/// Guards against a target that has left since the restore and is used until the settle time is over.
#[test]
fn write_after_the_restore_that_another_entry_tells_holds() {
    let mut register = Register::new(version(0, 45, Some(2)));
    register.adopt(version(1, 42, None), COPY, undecided);
    assert_eq!(register.content(), None);
}

/// Guards against an older configuration that is published again before the latest one.
#[test]
fn later_version_by_its_writers_word_outlasts_the_settle_time() {
    let mut register = Register::new(version(0, 45, Some(26)));
    register.adopt(version(1, 20, Some(22)), COPY, by_content);
    register.settle(SETTLED_AT);
    register.write(version(1, 50, Some(24)), by_content);
    assert_eq!(register.content(), Some(&26));
    register.write(version(1, 51, Some(26)), by_content);
    assert_eq!((register.content(), register.retained()), (Some(&26), None));
}

/// Guards against an item that has been missing in two copies and returns with an older third one.
#[test]
fn item_that_a_copy_lacked_does_not_return_with_an_older_copy() {
    let mut register = Register::new(version(0, 30, Some(1)));
    register.adopt(version(1, 0, None), COPY, undecided);
    register.settle(SETTLED_AT);
    register.adopt(version(2, 30, Some(1)), COPY, undecided);
    assert_eq!(register.content(), None);
}

/// Guards against transferring items that are the same in both epochs.
#[test]
fn unchanged_version_keeps_its_position() {
    let mut register = Register::new(version(0, 30, Some(1)));
    register.adopt(version(1, 30, Some(1)), COPY, undecided);
    assert_eq!(register.published(), &version(0, 30, Some(1)));
}

#[test]
fn version_retained_by_another_entry_is_retained() {
    let mut register = Register::new(version(1, 30, Some(1)));
    assert!(register.retain(version(0, 45, Some(2)), undecided));
    assert!(!register.retain(version(0, 44, Some(3)), undecided), "an older one");
    assert_eq!(register.content(), Some(&2));
}

/// Whatever is read and written in whatever order, the published position never falls, and a content
/// that states that it is later is never replaced by an earlier one.
#[test]
fn position_and_stated_order_never_go_back() {
    fn property(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut register = Register::new(version(0, 1, Some(1)));
        let mut epoch = 0;
        steps.into_iter().all(|(kind, revision, content)| {
            let before = (register.published().position, register.content().copied());
            let revision = u64::from(revision);
            match kind % 4 {
                0 => {
                    epoch += 1;
                    register.adopt(version(epoch, revision, Some(content)), COPY, by_content);
                }
                1 => register.write(
                    version(epoch, revision, Some(content.max(before.1.unwrap_or(0)))),
                    by_content,
                ),
                2 => {
                    register.retain(
                        version(epoch.saturating_sub(1), revision, Some(content)),
                        by_content,
                    );
                }
                _ => {
                    register.settle(version(epoch, u64::from(u8::MAX), None).position);
                }
            }
            register.published().position >= before.0 && register.content().copied() >= before.1
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 0x46))
        .tests(2000)
        .quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}
