//! Evacuations of failure domains, as published.

use std::collections::{BTreeMap, BTreeSet};

use shallotfork_types::{FailureDomain, Mono, Revision};

/// Ended evacuations that are remembered, so that older news does not bring them back.
const ENDED_MAX: usize = 1024;

/// What is published of a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PublishedState {
    /// It is to be evacuated.
    Evacuated,
    /// Something that can't be read; what was in force stays.
    Unreadable,
    /// Nothing, or nothing any more.
    Removed,
}

/// One published change of an evacuation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// Revision of the change.
    pub revision: Revision,
    /// What is published since then.
    pub published: PublishedState,
}

/// A failure domain whose targets get nothing more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// Revision of the operator's request.
    pub revision: Revision,
    /// When this process learned of it.
    pub learned_at: Mono,
}

/// A change of what is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationEvent {
    /// The failure domain is evacuated from now on.
    Began(Evacuation),
    /// The operator has taken the failure domain back. Holds the evacuation that has ended.
    Ended(Evacuation),
}

#[derive(Debug, Clone, Copy)]
struct Record {
    revision: Revision,
    /// When this process learned of the evacuation; `None` if the failure domain is not evacuated.
    evacuated_at: Option<Mono>,
}

/// The evacuations in force.
///
/// A change counts only if its revision is not below the one known for its failure domain, nor below
/// that of the latest full read: full reads may be stale and overlap with the watch, and an evacuation
/// must not revert.
#[derive(Debug, Default)]
pub struct Evacuations {
    records: BTreeMap<FailureDomain, Record>,
    /// Revision of the latest full read, which older changes are part of or superseded by.
    read_through: Revision,
}

impl Evacuations {
    /// Creates a set without evacuations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies changes in the order in which they were published.
    pub fn apply(&mut self, changes: Vec<EvacuationChange>, now: Mono) -> Vec<EvacuationEvent> {
        let events = changes.into_iter().filter_map(|change| self.apply_one(change, now)).collect();
        self.forget_oldest_ended();
        events
    }

    /// Applies a full read as of `revision`: an evacuation that it lacks has ended, unless it was
    /// published later.
    pub fn replace(
        &mut self,
        published: Vec<EvacuationChange>,
        revision: Revision,
        now: Mono,
    ) -> Vec<EvacuationEvent> {
        let seen: BTreeSet<FailureDomain> =
            published.iter().map(|change| change.failure_domain.clone()).collect();
        let is_missing = |(domain, record): &(&FailureDomain, &Record)| {
            record.evacuated_at.is_some() && record.revision <= revision && !seen.contains(*domain)
        };
        let missing: Vec<FailureDomain> =
            self.records.iter().filter(is_missing).map(|(domain, _)| domain.clone()).collect();
        let mut events = self.apply(published, now);
        for failure_domain in missing {
            let ended =
                EvacuationChange { failure_domain, revision, published: PublishedState::Removed };
            events.extend(self.apply_one(ended, now));
        }
        self.read_through = self.read_through.max(revision);
        self.forget_oldest_ended();
        events
    }

    /// Returns whether a failure domain is evacuated.
    pub fn contains(&self, failure_domain: &FailureDomain) -> bool {
        self.records.get(failure_domain).is_some_and(|record| record.evacuated_at.is_some())
    }

    /// Returns the evacuations in force by failure domain.
    pub fn in_force(&self) -> BTreeMap<FailureDomain, Evacuation> {
        let known = self.records.iter();
        known
            .filter_map(|(name, record)| Some((name.clone(), evacuation(name, *record)?)))
            .collect()
    }

    fn apply_one(&mut self, change: EvacuationChange, now: Mono) -> Option<EvacuationEvent> {
        let EvacuationChange { failure_domain, revision, published } = change;
        let before = self.records.get(&failure_domain).copied();
        let known = before.map_or(Revision::NONE, |before| before.revision);
        if revision < known.max(self.read_through) {
            return None;
        }
        let evacuated_before = before.and_then(|before| before.evacuated_at);
        let evacuated_at = match published {
            PublishedState::Evacuated => Some(evacuated_before.unwrap_or(now)),
            PublishedState::Unreadable => evacuated_before,
            PublishedState::Removed => None,
        };
        let record = Record { revision, evacuated_at };
        self.records.insert(failure_domain.clone(), record);
        match (evacuated_before, evacuated_at) {
            (None, Some(_)) => evacuation(&failure_domain, record).map(EvacuationEvent::Began),
            (Some(_), None) => evacuation(&failure_domain, before?).map(EvacuationEvent::Ended),
            _ => None,
        }
    }

    /// Bounds the memory that the names of ended evacuations take.
    fn forget_oldest_ended(&mut self) {
        let ended = self.records.iter().filter(|(_, record)| record.evacuated_at.is_none());
        let mut ended: Vec<(Revision, FailureDomain)> =
            ended.map(|(domain, record)| (record.revision, domain.clone())).collect();
        let excess = ended.len().saturating_sub(ENDED_MAX);
        ended.sort();
        for (_, domain) in ended.into_iter().take(excess) {
            self.records.remove(&domain);
        }
    }
}

fn evacuation(failure_domain: &FailureDomain, record: Record) -> Option<Evacuation> {
    let learned_at = record.evacuated_at?;
    let failure_domain = failure_domain.clone();
    Some(Evacuation { failure_domain, revision: record.revision, learned_at })
}
