//! Published evacuations of failure domains.

use std::collections::{BTreeMap, BTreeSet};

use shallotfork_types::{FailureDomain, Mono, Position};

/// Maximum number of ended evacuations whose positions are retained, so that outdated changes do
/// not restore them.
const ENDED_RECORDS_MAX: usize = 1024;

/// Published state of a failure domain's evacuation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PublishedState {
    /// The failure domain is to be evacuated.
    Evacuated,
    /// The published item cannot be decoded; the previous state stays in force.
    Unreadable,
    /// No evacuation of the failure domain is published, or the item has been removed.
    Removed,
}

/// A published change of the evacuation of one failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// Position of the change.
    pub position: Position,
    /// Published state as of this position.
    pub published: PublishedState,
}

/// An evacuation in force: targets in the failure domain receive no new requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// Position at which the operator requested the evacuation.
    pub position: Position,
    /// When this process learned of the evacuation.
    pub learned_at: Mono,
}

/// Start or end of an evacuation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationEvent {
    /// The evacuation has come into force.
    Began(Evacuation),
    /// The operator has ended the evacuation. Holds its last state.
    Ended(Evacuation),
}

#[derive(Debug, Clone, Copy)]
struct Record {
    position: Position,
    /// When this process learned of the evacuation; `None` if the failure domain is not evacuated.
    evacuated_at: Option<Mono>,
}

/// The evacuations in force.
///
/// Ignores a change if its position is below the latest known one of its failure domain or below
/// that of the latest full read. Full reads may be stale and may overlap with the watch, and must
/// not revert an evacuation to an earlier state.
#[derive(Debug, Default)]
pub struct Evacuations {
    records: BTreeMap<FailureDomain, Record>,
    /// Position of the latest full read. Older changes are part of it or superseded by it.
    full_read_position: Position,
}

impl Evacuations {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies changes, which must be in the order in which they were published.
    pub fn apply(&mut self, changes: Vec<EvacuationChange>, now: Mono) -> Vec<EvacuationEvent> {
        let events = self.apply_after(self.full_read_position, changes, now);
        self.evict_oldest_ended();
        events
    }

    /// Applies a full read as of `position`. Ends each evacuation that the read does not contain,
    /// unless it was published after `position`.
    pub fn replace(
        &mut self,
        published: Vec<EvacuationChange>,
        position: Position,
        now: Mono,
    ) -> Vec<EvacuationEvent> {
        let seen: BTreeSet<FailureDomain> =
            published.iter().map(|change| change.failure_domain.clone()).collect();
        let is_missing = |(domain, record): &(&FailureDomain, &Record)| {
            record.evacuated_at.is_some() && record.position <= position && !seen.contains(*domain)
        };
        let missing: Vec<FailureDomain> =
            self.records.iter().filter(is_missing).map(|(domain, _)| domain.clone()).collect();
        // A later full read than the one before states what holds, also by changes that are older.
        let is_later = position >= self.full_read_position;
        let superseded_before = if is_later { Position::NONE } else { self.full_read_position };
        let mut events = self.apply_after(superseded_before, published, now);
        for failure_domain in missing {
            let ended =
                EvacuationChange { failure_domain, position, published: PublishedState::Removed };
            events.extend(self.apply_one(ended, now));
        }
        self.full_read_position = self.full_read_position.max(position);
        self.evict_oldest_ended();
        events
    }

    /// Returns whether a failure domain is evacuated.
    pub fn contains(&self, failure_domain: &FailureDomain) -> bool {
        self.records.get(failure_domain).is_some_and(|record| record.evacuated_at.is_some())
    }

    /// Returns the evacuations in force, by failure domain.
    pub fn in_force(&self) -> BTreeMap<FailureDomain, Evacuation> {
        let records = self.records.iter();
        records
            .filter_map(|(name, record)| Some((name.clone(), evacuation(name, *record)?)))
            .collect()
    }

    /// Applies changes, except those before a position.
    fn apply_after(
        &mut self,
        superseded_before: Position,
        changes: Vec<EvacuationChange>,
        now: Mono,
    ) -> Vec<EvacuationEvent> {
        let changes = changes.into_iter().filter(|change| change.position >= superseded_before);
        changes.filter_map(|change| self.apply_one(change, now)).collect()
    }

    fn apply_one(&mut self, change: EvacuationChange, now: Mono) -> Option<EvacuationEvent> {
        let EvacuationChange { failure_domain, position, published } = change;
        let before = self.records.get(&failure_domain).copied();
        let known_position = before.map_or(Position::NONE, |before| before.position);
        if position < known_position {
            return None;
        }
        let evacuated_before = before.and_then(|before| before.evacuated_at);
        let evacuated_at = match published {
            PublishedState::Evacuated => Some(evacuated_before.unwrap_or(now)),
            PublishedState::Unreadable => evacuated_before,
            PublishedState::Removed => None,
        };
        let record = Record { position, evacuated_at };
        self.records.insert(failure_domain.clone(), record);
        match (evacuated_before, evacuated_at) {
            (None, Some(_)) => evacuation(&failure_domain, record).map(EvacuationEvent::Began),
            (Some(_), None) => evacuation(&failure_domain, before?).map(EvacuationEvent::Ended),
            _ => None,
        }
    }

    /// Removes the oldest records of ended evacuations, to bound memory.
    fn evict_oldest_ended(&mut self) {
        let ended = self.records.iter().filter(|(_, record)| record.evacuated_at.is_none());
        let mut ended: Vec<(Position, FailureDomain)> =
            ended.map(|(domain, record)| (record.position, domain.clone())).collect();
        let excess = ended.len().saturating_sub(ENDED_RECORDS_MAX);
        ended.sort();
        for (_, domain) in ended.into_iter().take(excess) {
            self.records.remove(&domain);
        }
    }
}

fn evacuation(failure_domain: &FailureDomain, record: Record) -> Option<Evacuation> {
    let learned_at = record.evacuated_at?;
    let failure_domain = failure_domain.clone();
    Some(Evacuation { failure_domain, position: record.position, learned_at })
}
