//! Revisions after which the replicas of the platform are watched.

use std::collections::BTreeMap;

use shallotfork_types::{Endpoint, Epoch, Position, Revision};

/// Follows each replica of the platform at its own revision.
#[derive(Debug, Default)]
pub struct Cursor {
    replicas: BTreeMap<Endpoint, Replica>,
    synced: Revision,
    highest: Revision,
}

#[derive(Debug, Clone, Copy, Default)]
struct Replica {
    after: Revision,
    epoch: Epoch,
    behind_answers: u32,
}

/// Relation of a replica's revision to the revisions seen before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaStatus {
    /// The replica is at the highest revision seen, or beyond.
    Current,
    /// The replica is below a revision that was seen before, at itself, another replica or a peer:
    /// it lags, or the platform was rolled back.
    Behind {
        /// Highest revision seen.
        highest: Revision,
        /// Number of consecutive answers in which this replica was behind.
        answers: u32,
    },
}

impl Cursor {
    /// Creates a cursor that starts with a full read of each replica.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision after which a replica is asked for changes. `Revision::NONE` requests
    /// every list, which also shows whether its contents differ from another replica's.
    pub fn after(&self, replica: Endpoint) -> Revision {
        self.replicas.get(&replica).map_or(Revision::NONE, |replica| replica.after)
    }

    /// Returns the revision up to which every published list is known.
    pub fn synced_revision(&self) -> Revision {
        self.synced
    }

    /// Returns the highest revision seen at the platform or at a peer.
    pub fn highest_revision(&self) -> Revision {
        self.highest
    }

    /// Returns whether a replica was behind in its last answer.
    pub fn is_behind(&self, replica: Endpoint) -> bool {
        self.replicas.get(&replica).is_some_and(|replica| replica.after < self.highest)
    }

    /// Records a replica's answer to a request for changes after `requested_after`.
    ///
    /// A platform restored from a backup answers with a lower revision and then counts up again
    /// with other contents. Continuing from the old revision would skip everything published until
    /// the count passes it, so the next request asks for every list, and the tracker decides which
    /// versions are in force. If the count has passed it already, only the epoch tells.
    pub fn record_answer(
        &mut self,
        replica: Endpoint,
        requested_after: Revision,
        position: Position,
    ) -> ReplicaStatus {
        let revision = position.revision();
        let known_epoch = self.replicas.get(&replica).map(|replica| replica.epoch);
        let is_restored = requested_after != Revision::NONE
            && known_epoch.is_some_and(|epoch| epoch != position.epoch());
        let is_full_read_due = is_restored || revision < requested_after;
        let after = if is_full_read_due { Revision::NONE } else { revision };
        self.synced = self.synced.max(revision);
        self.highest = self.highest.max(revision);
        let replica = self.replicas.entry(replica).or_default();
        replica.after = after;
        replica.epoch = position.epoch();
        if revision < self.highest {
            replica.behind_answers = replica.behind_answers.saturating_add(1);
            return ReplicaStatus::Behind {
                highest: self.highest,
                answers: replica.behind_answers,
            };
        }
        replica.behind_answers = 0;
        ReplicaStatus::Current
    }

    /// Makes the next request to a replica ask for every list.
    ///
    /// A platform that was rolled back and then published again may have reached the old revision
    /// before the next request. Its answers then look as if nothing had changed; only the contents
    /// differ.
    pub fn request_full_read(&mut self, replica: Endpoint) {
        if let Some(replica) = self.replicas.get_mut(&replica) {
            replica.after = Revision::NONE;
        }
    }

    /// Records a revision that a peer has seen.
    pub fn record_seen(&mut self, revision: Revision) {
        self.highest = self.highest.max(revision);
    }

    /// Records that a peer has sent every list up to a revision.
    pub fn record_synced(&mut self, revision: Revision) {
        self.synced = self.synced.max(revision);
        self.record_seen(revision);
    }
}
