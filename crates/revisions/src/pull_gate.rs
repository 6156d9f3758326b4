//! When to read the lists of a peer whose lists differ.

use std::collections::BTreeMap;
use std::time::Duration;

use shallotfork_types::{ListsDigest, Mono, VmId};

/// Fingerprints of the lists here and at a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestPair {
    /// Here.
    pub own: ListsDigest,
    /// At the peer.
    pub peer: ListsDigest,
}

/// Lets one read through for each difference, and then one at an interval.
///
/// A difference can last: the peer may run another version of the program, which refuses a list
/// that is accepted here. Reading all its lists at every heartbeat would never end it and would
/// cost more than the lists themselves.
#[derive(Debug)]
pub struct PullGate {
    repeat_after: Duration,
    last: BTreeMap<VmId, Pull>,
}

#[derive(Debug, Clone, Copy)]
struct Pull {
    pair: DigestPair,
    at: Mono,
}

impl PullGate {
    /// A gate that lets the same difference through again after this time.
    pub fn new(repeat_after: Duration) -> Self {
        Self { repeat_after, last: BTreeMap::new() }
    }

    /// Whether to read the peer's lists now; the answer yes is remembered.
    pub fn try_admit(&mut self, peer: &VmId, pair: DigestPair, now: Mono) -> bool {
        if pair.own == pair.peer {
            return false;
        }
        let known = self.last.get(peer).filter(|last| last.pair == pair);
        if known.is_some_and(|last| now.since(last.at) < self.repeat_after) {
            return false;
        }
        self.last.insert(peer.clone(), Pull { pair, at: now });
        true
    }

    /// Forgets a peer, after a read that failed or when the peer is gone.
    pub fn forget(&mut self, peer: &VmId) {
        self.last.remove(peer);
    }
}
