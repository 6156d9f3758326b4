//! Reading the lists of a peer whose lists differ.

use std::time::Duration;

use shallotfork_revisions::{DigestPair, PullGate};
use shallotfork_types::{ListsDigest, Mono, VmId};

const REPEAT: Duration = Duration::from_secs(5);

fn pair(own: u64, peer: u64) -> DigestPair {
    DigestPair { own: ListsDigest::new(own), peer: ListsDigest::new(peer) }
}

/// A peer runs an older version that refuses a list which is accepted here, so that the two differ
/// until it is replaced. Its lists must not be read at every heartbeat meanwhile.
#[test]
fn lasting_difference_is_read_at_an_interval() {
    let mut gate = PullGate::new(REPEAT);
    let peer = VmId::new("e1").unwrap();
    let opens_at_s: Vec<u64> = (0..12)
        .filter(|second| gate.try_admit(&peer, pair(1, 2), Mono::from_millis(second * 1000)))
        .collect();
    assert_eq!(vec![0, 5, 10], opens_at_s);
}

#[test]
fn each_new_difference_is_read_at_once() {
    let mut gate = PullGate::new(REPEAT);
    let peer = VmId::new("e1").unwrap();
    assert!(gate.try_admit(&peer, pair(1, 2), Mono::ZERO));
    assert!(gate.try_admit(&peer, pair(1, 3), Mono::ZERO));
    assert!(!gate.try_admit(&peer, pair(3, 3), Mono::ZERO));
    gate.forget(&peer);
    assert!(gate.try_admit(&peer, pair(1, 3), Mono::ZERO));
}
