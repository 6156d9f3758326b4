//! From which revision the platform is watched.

use std::collections::BTreeMap;

use shallotfork_types::{Endpoint, Revision};

/// Follows each replica of the platform at its own revision.
#[derive(Debug, Default)]
pub struct Cursor {
    replicas: BTreeMap<Endpoint, Replica>,
    complete: Revision,
    highest: Revision,
}

#[derive(Debug, Clone, Copy, Default)]
struct Replica {
    after: Revision,
    behind_answers: u32,
}

/// How a replica's revision relates to what was seen before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaStatus {
    /// The replica is at the highest revision seen, or beyond.
    Current,
    /// The replica is below a revision that another replica, a peer or itself has shown before: it
    /// lags, or the platform was rolled back.
    Behind {
        /// Highest revision seen.
        highest: Revision,
        /// How many answers of this replica in a row were behind.
        answers: u32,
    },
}

impl Cursor {
    /// A cursor that begins with a full read of each replica.
    pub fn new() -> Self {
        Self::default()
    }

    /// The revision after which a replica is asked for changes; `Revision::NONE` asks it for every
    /// list, which also shows whether its contents differ from another replica's.
    pub fn after(&self, replica: Endpoint) -> Revision {
        self.replicas.get(&replica).map_or(Revision::NONE, |replica| replica.after)
    }

    /// The revision up to which every published list is known.
    pub fn synced_revision(&self) -> Revision {
        self.complete
    }

    /// The highest revision that the platform or a peer was seen at.
    pub fn highest_revision(&self) -> Revision {
        self.highest
    }

    /// Whether a replica was behind when it last answered.
    pub fn is_behind(&self, replica: Endpoint) -> bool {
        self.replicas.get(&replica).is_some_and(|replica| replica.after < self.highest)
    }

    /// Takes note of a replica's answer to a question for changes after `asked_after`.
    ///
    /// A platform restored from a backup answers with a lower revision and then counts up again
    /// with other contents. Going on from the old revision would skip what is published until the
    /// count passes it; so the next question asks for every list, and the tracker sorts them out.
    pub fn record_answer(
        &mut self,
        replica: Endpoint,
        asked_after: Revision,
        platform: Revision,
    ) -> ReplicaStatus {
        let after = if platform < asked_after { Revision::NONE } else { platform };
        self.complete = self.complete.max(platform);
        self.highest = self.highest.max(platform);
        let replica = self.replicas.entry(replica).or_default();
        replica.after = after;
        if platform < self.highest {
            replica.behind_answers = replica.behind_answers.saturating_add(1);
            return ReplicaStatus::Behind {
                highest: self.highest,
                answers: replica.behind_answers,
            };
        }
        replica.behind_answers = 0;
        ReplicaStatus::Current
    }

    /// Has the next question to a replica ask for every list.
    ///
    /// A platform that was rolled back and published again may have counted up to the old revision
    /// before anybody asked. Its answers then look as if nothing had changed; only the contents
    /// tell.
    pub fn request_full_read(&mut self, replica: Endpoint) {
        if let Some(replica) = self.replicas.get_mut(&replica) {
            replica.after = Revision::NONE;
        }
    }

    /// Takes note of a revision that a peer has heard of.
    pub fn record_seen(&mut self, revision: Revision) {
        self.highest = self.highest.max(revision);
    }

    /// Takes note that a peer has given every list up to a revision.
    pub fn record_synced(&mut self, revision: Revision) {
        self.complete = self.complete.max(revision);
        self.record_seen(revision);
    }
}
