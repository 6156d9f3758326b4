//! Compression of large items.

use quickcheck::{QuickCheck, TestResult};
use shallotfork_feed::{Packer, PullError, RawItem, unpack};
use shallotfork_types::{Bytes, Epoch, Position, Revision};

fn item(revision: u64, content: Vec<u8>) -> RawItem {
    let position = Position::new(Epoch::NONE, Revision::new(revision));
    RawItem { key: "routes".to_owned(), position, content: Some(content) }
}

fn routes(count: usize) -> Vec<u8> {
    let route = |number: usize| format!("{{\"prefix\":\"/r{number}/\",\"timeout_ms\":4000}},");
    (0..count).map(route).collect::<String>().into_bytes()
}

fn size(content: &[u8]) -> Bytes {
    Bytes::new(content.len() as u64)
}

#[test]
fn packing_round_trips() {
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

/// Guards against forwarding the cached content of an older revision.
#[test]
fn new_revision_is_packed_again() {
    let mut packer = Packer::new();
    let (old, new) = (routes(2000), routes(3000));
    packer.pack(&item(3, old));
    let packed = packer.pack(&item(4, new.clone())).expect("large content is packed");
    assert_eq!(unpack(packed, size(&new)), Ok(new));
}

#[test]
fn small_items_are_not_packed() {
    assert_eq!(Packer::new().pack(&item(3, routes(10))), None);
}

/// Guards against a faulty peer whose content is truncated, does not match its stated size, or would
/// exhaust memory when unpacked.
#[test]
fn mismatched_or_oversized_content_is_rejected() {
    let content = routes(2000);
    let mut packer = Packer::new();
    let packed = packer.pack(&item(3, content.clone())).expect("large content is packed").to_vec();
    let assert_rejected =
        |packed: &[u8], size| assert_eq!(unpack(packed, size), Err(PullError::BadPacked(size)));
    assert_rejected(&packed[..packed.len() / 2], size(&content));
    assert_rejected(&packed, Bytes::new(size(&content).value() - 1));
    assert_rejected(&packed, Bytes::new(size(&content).value() + 1));
    assert_rejected(&content, size(&content));
    assert_rejected(&packed, Bytes::from_mib(512));
}
