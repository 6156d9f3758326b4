//! Limit on pulls from peers whose lists differ.

use std::collections::BTreeMap;
use std::time::Duration;

use shallotfork_types::{ListsDigest, Mono, VmId};

/// Digests of the lists of this process and of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestPair {
    /// Digest of this process's lists.
    pub own: ListsDigest,
    /// Digest of the peer's lists.
    pub peer: ListsDigest,
}

/// Admits one pull for each new difference, and further ones at an interval.
///
/// A difference can last: the peer may run another version of the program, which refuses a list
/// that is accepted here. Pulling all its lists at every heartbeat would never resolve the
/// difference and would cost more than the lists themselves.
#[derive(Debug)]
pub struct PullGate {
    repeat_after: Duration,
    last_pulls: BTreeMap<VmId, Pull>,
}

#[derive(Debug, Clone, Copy)]
struct Pull {
    pair: DigestPair,
    admitted_at: Mono,
}

impl PullGate {
    /// Creates a gate that admits a pull for the same difference again after `repeat_after`.
    pub fn new(repeat_after: Duration) -> Self {
        Self { repeat_after, last_pulls: BTreeMap::new() }
    }

    /// Returns whether to pull the peer's lists now, and records the pull if so.
    pub fn try_admit(&mut self, peer: &VmId, pair: DigestPair, now: Mono) -> bool {
        if pair.own == pair.peer {
            return false;
        }
        let same_pull = self.last_pulls.get(peer).filter(|last_pull| last_pull.pair == pair);
        if same_pull.is_some_and(|last_pull| now.since(last_pull.admitted_at) < self.repeat_after) {
            return false;
        }
        self.last_pulls.insert(peer.clone(), Pull { pair, admitted_at: now });
        true
    }

    /// Forgets a peer, after a failed pull or when the peer is no longer in the fleet.
    pub fn forget(&mut self, peer: &VmId) {
        self.last_pulls.remove(peer);
    }
}
