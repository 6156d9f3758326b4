//! Set of the targets known to one process.

use std::collections::{BTreeMap, BTreeSet};

use shallotfork_types::{Endpoint, Mono, Position, TargetId};

use crate::roster_config::RosterConfig;
use crate::target_record::{Availability, PublishedState, TargetChange, TargetRecord};

/// A state change of one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterChange {
    /// The target has become available.
    Joined(TargetId),
    /// The target is draining and accepts no new requests.
    Draining(TargetId),
    /// The target has been removed, or its record can no longer be decoded.
    Left(TargetId),
    /// The target's record is missing after an outage of the platform; the target is kept for a
    /// grace period.
    Lapsed(TargetId),
    /// The record of a lapsed target has been published again.
    Returned(TargetId),
    /// The target has restarted with the same ID; state of its previous run is void.
    Restarted(TargetId),
}

#[derive(Debug, Clone)]
struct Member {
    position: Position,
    /// `None` if the record was removed or is unreadable; the position is retained, so that
    /// outdated changes are ignored.
    record: Option<TargetRecord>,
    /// Whether the record is missing and the target is kept for the grace period.
    is_lapsed: bool,
    /// When the record or its removal was last received. Members without a record are dropped some
    /// time after it.
    last_seen_at: Mono,
}

/// Set of the targets that may be used, derived from published records.
///
/// Ignores a record if its position is below the latest known one of its target, because stale full
/// reads may overlap with the watch. Normally a target is removed as soon as its record is missing.
/// During an outage of the platform and shortly after, records expire although their targets are
/// alive; removing these would leave a service without targets for seconds.
#[derive(Debug)]
pub struct Roster {
    config: RosterConfig,
    members: BTreeMap<TargetId, Member>,
    /// Targets with a record, by address. A full read looks up the address of every record.
    by_endpoint: BTreeMap<Endpoint, BTreeSet<TargetId>>,
    is_platform_disconnected: bool,
    reconnected_at: Option<Mono>,
    version: u64,
}

impl Roster {
    /// Creates an empty roster that is connected to the platform.
    pub fn new(config: RosterConfig) -> Self {
        Self {
            config,
            members: BTreeMap::new(),
            by_endpoint: BTreeMap::new(),
            is_platform_disconnected: false,
            reconnected_at: None,
            version: 0,
        }
    }

    /// Records that the platform does not answer.
    pub fn platform_disconnected(&mut self) {
        self.is_platform_disconnected = true;
    }

    /// Records that the platform answers again.
    pub fn platform_reconnected(&mut self, now: Mono) {
        self.is_platform_disconnected = false;
        self.reconnected_at = Some(now);
    }

    /// Returns whether the target's record is missing and the target is kept for the grace period.
    pub fn is_lapsed(&self, id: &TargetId) -> bool {
        self.members.get(id).is_some_and(|member| member.is_lapsed)
    }

    /// Returns a number that changes whenever the result of [`targets`](Self::targets) may have
    /// changed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies changes, which must be in the order in which they were published.
    pub fn apply(&mut self, changes: Vec<TargetChange>, now: Mono) -> Vec<RosterChange> {
        changes.into_iter().filter_map(|change| self.apply_one(change, now)).collect()
    }

    /// Applies a full read. Records that it does not contain are missing as of `position`.
    ///
    /// The pages of a read are not a consistent snapshot. `position` must be that of the first
    /// page, so that a record that was written later does not count as missing.
    pub fn replace(
        &mut self,
        records: Vec<TargetChange>,
        position: Position,
        now: Mono,
    ) -> Vec<RosterChange> {
        let read: BTreeSet<TargetId> = records.iter().map(|change| change.id.clone()).collect();
        let mut changes = self.apply(records, now);
        let missing = self.members.iter().filter(|(id, member)| {
            member.record.is_some() && member.position <= position && !read.contains(*id)
        });
        let missing: Vec<TargetId> = missing.map(|(id, _)| id.clone()).collect();
        for id in missing {
            changes.extend(
                self.apply_one(
                    TargetChange { id, position, published: PublishedState::Removed },
                    now,
                ),
            );
        }
        changes
    }

    /// Removes targets whose records are still missing at the end of the grace period.
    pub fn expire(&mut self, now: Mono) -> Vec<RosterChange> {
        if self.is_in_grace_period(now) {
            return Vec::new();
        }
        let mut left = Vec::new();
        for (id, member) in &mut self.members {
            if member.is_lapsed {
                member.is_lapsed = false;
                if let Some(record) = member.record.take() {
                    remove_address(&mut self.by_endpoint, id, record.endpoint);
                }
                member.last_seen_at = now;
                left.push(RosterChange::Left(id.clone()));
            }
        }
        self.version += u64::from(!left.is_empty());
        let retained_for = self.config.ended_retained_for;
        self.members.retain(|_, m| m.record.is_some() || now.since(m.last_seen_at) < retained_for);
        left
    }

    /// Returns the targets that exist, including draining ones, sorted by ID.
    ///
    /// The address of a target that has ended may be reused before the target's record is removed.
    /// If several records have the same address, only the one published last is included.
    pub fn targets(&self) -> Vec<(&TargetId, &TargetRecord)> {
        let present =
            self.members.iter().filter_map(|(id, member)| Some((id, member.record.as_ref()?)));
        present.filter(|(id, record)| self.holds_address(id, record.endpoint)).collect()
    }

    /// Returns whether no other record of this address was published after that of the target.
    fn holds_address(&self, id: &TargetId, endpoint: Endpoint) -> bool {
        let Some(ids) = self.by_endpoint.get(&endpoint) else { return false };
        if ids.len() == 1 {
            return true;
        }
        let position = |id: &TargetId| self.members.get(id).map(|member| member.position);
        // Of several records at the same position, the one with the lowest ID holds the address.
        ids.iter().rev().max_by_key(|other| position(other)) == Some(id)
    }

    fn is_in_grace_period(&self, now: Mono) -> bool {
        let has_just_reconnected =
            self.reconnected_at.is_some_and(|at| now.since(at) < self.config.reconnect_grace);
        self.is_platform_disconnected || has_just_reconnected
    }

    fn apply_one(&mut self, change: TargetChange, now: Mono) -> Option<RosterChange> {
        let TargetChange { id, position, published } = change;
        if self.members.get(&id).is_some_and(|member| position < member.position) {
            return None;
        }
        match published {
            PublishedState::Target(record) => self.upsert(id, position, record, now),
            PublishedState::Unreadable => self.remove(id, position, now),
            PublishedState::Removed => self.mark_missing(id, position, now),
        }
    }

    fn upsert(
        &mut self,
        id: TargetId,
        position: Position,
        record: TargetRecord,
        now: Mono,
    ) -> Option<RosterChange> {
        let new_member =
            Member { position, record: Some(record), is_lapsed: false, last_seen_at: now };
        let old = self.insert(&id, new_member);
        self.update_version(&id, old.as_ref());
        let new = self.members.get(&id)?.record.as_ref()?;
        let Some((old, is_lapsed)) = old.and_then(|old| Some((old.record?, old.is_lapsed))) else {
            return Some(RosterChange::Joined(id));
        };
        if is_other_run(&old, new) {
            return Some(RosterChange::Restarted(id));
        }
        if new.availability == Availability::Draining && old.availability != Availability::Draining
        {
            return Some(RosterChange::Draining(id));
        }
        is_lapsed.then_some(RosterChange::Returned(id))
    }

    fn mark_missing(
        &mut self,
        id: TargetId,
        position: Position,
        now: Mono,
    ) -> Option<RosterChange> {
        let in_grace_period = self.is_in_grace_period(now);
        let is_serving = |member: &&mut Member| {
            let record = member.record.as_ref();
            record.is_some_and(|record| record.availability == Availability::Serving)
        };
        // A target that was draining has ended; its record will not be published again.
        let retained =
            self.members.get_mut(&id).filter(|member| in_grace_period && is_serving(member));
        let Some(member) = retained else { return self.remove(id, position, now) };
        member.position = position;
        let is_first = !member.is_lapsed;
        member.is_lapsed = true;
        is_first.then_some(RosterChange::Lapsed(id))
    }

    /// Increments the version if the targets may have changed. A change that only renews a record
    /// has an effect only if its address is shared, because the latest position holds the address.
    fn update_version(&mut self, id: &TargetId, old: Option<&Member>) {
        let record = self.members.get(id).and_then(|member| member.record.as_ref());
        let old = old.and_then(|old| old.record.as_ref());
        if record != old || record.is_some_and(|record| self.is_shared(record.endpoint)) {
            self.version += 1;
        }
    }

    /// Returns whether more than one record has this address.
    fn is_shared(&self, endpoint: Endpoint) -> bool {
        self.by_endpoint.get(&endpoint).is_some_and(|ids| ids.len() > 1)
    }

    /// Sets the state of a target and returns the one before.
    fn insert(&mut self, id: &TargetId, member: Member) -> Option<Member> {
        let endpoint = member.record.as_ref().map(|record| record.endpoint);
        let old = self.members.insert(id.clone(), member);
        let old_endpoint = old.as_ref().and_then(|old| Some(old.record.as_ref()?.endpoint));
        if endpoint != old_endpoint {
            if let Some(old_endpoint) = old_endpoint {
                remove_address(&mut self.by_endpoint, id, old_endpoint);
            }
            if let Some(endpoint) = endpoint {
                self.by_endpoint.entry(endpoint).or_default().insert(id.clone());
            }
        }
        old
    }

    fn remove(&mut self, id: TargetId, position: Position, now: Mono) -> Option<RosterChange> {
        let removed = Member { position, record: None, is_lapsed: false, last_seen_at: now };
        let old = self.insert(&id, removed);
        self.update_version(&id, old.as_ref());
        old.and_then(|old| old.record).map(|_| RosterChange::Left(id))
    }
}

fn remove_address(
    by_endpoint: &mut BTreeMap<Endpoint, BTreeSet<TargetId>>,
    id: &TargetId,
    endpoint: Endpoint,
) {
    let Some(ids) = by_endpoint.get_mut(&endpoint) else { return };
    ids.remove(id);
    if ids.is_empty() {
        by_endpoint.remove(&endpoint);
    }
}

/// Returns whether two records with the same ID describe different runs of the target.
fn is_other_run(old: &TargetRecord, new: &TargetRecord) -> bool {
    let has_restarted = match (old.started_at_ms, new.started_at_ms) {
        (Some(old), Some(new)) => old != new,
        _ => false,
    };
    has_restarted || old.endpoint != new.endpoint || old.service != new.service
}
