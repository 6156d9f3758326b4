//! Compressed contents of large items.

use quickcheck::{QuickCheck, TestResult};
use shallotfork_feed::{Packer, PullError, RawItem, unpack};
use shallotfork_types::{Bytes, Revision};

fn item(revision: u64, content: Vec<u8>) -> RawItem {
    RawItem { key: "routes".to_owned(), revision: Revision::new(revision), content: Some(content) }
}

fn routes(count: usize) -> Vec<u8> {
    let route = |number: usize| format!("{{\"prefix\":\"/r{number}/\",\"timeout_ms\":4000}},");
    (0..count).map(route).collect::<String>().into_bytes()
}

fn size(content: &[u8]) -> Bytes {
    Bytes::new(content.len() as u64)
}

#[test]
fn what_is_packed_is_unpacked_again() {
    fn property(pattern: Vec<u8>, times: u16) -> TestResult {
        let content = pattern.repeat(usize::from(times));
        let mut packer = Packer::new();
        match packer.pack(&item(3, content.clone())) {
            Some(packed) => TestResult::from_bool(unpack(packed, size(&content)) == Ok(content)),
            None => TestResult::discard(),
        }
    }
    QuickCheck::new().tests(100).quickcheck(property as fn(Vec<u8>, u16) -> TestResult);
}

/// Guards against handing on the packed content of an older revision.
#[test]
fn a_new_revision_is_packed_anew() {
    let mut packer = Packer::new();
    let (old, new) = (routes(2000), routes(3000));
    packer.pack(&item(3, old));
    let packed = packer.pack(&item(4, new.clone())).expect("it is large");
    assert_eq!(unpack(packed, size(&new)), Ok(new));
}

#[test]
fn small_items_stay_as_they_are() {
    assert_eq!(Packer::new().pack(&item(3, routes(10))), None);
}

/// Guards against a peer that is broken: a content that is cut short, longer than it says, or that
/// would fill the memory.
#[test]
fn a_content_that_is_not_what_it_says_is_refused() {
    let content = routes(2000);
    let mut packer = Packer::new();
    let packed = packer.pack(&item(3, content.clone())).expect("it is large").to_vec();
    let bad =
        |packed: &[u8], size| assert_eq!(unpack(packed, size), Err(PullError::BadPacked(size)));
    bad(&packed[..packed.len() / 2], size(&content));
    bad(&packed, Bytes::new(size(&content).value() - 1));
    bad(&packed, Bytes::new(size(&content).value() + 1));
    bad(&content, size(&content));
    bad(&packed, Bytes::from_mib(512));
}
