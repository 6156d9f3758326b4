//! The targets known to one process.

use std::collections::{BTreeMap, BTreeSet};

use shallotfork_types::{Endpoint, Mono, Revision, TargetId};

use crate::entry::{Availability, PublishedState, TargetChange, TargetRecord};
use crate::roster_config::RosterConfig;

/// A change of what is believed of one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterChange {
    /// It may be used from now on.
    Joined(TargetId),
    /// It takes no new work from now on.
    Draining(TargetId),
    /// It is gone, or its entry names no target any more.
    Left(TargetId),
    /// Its entry is missing, but the platform was away: it is kept for a while.
    Lapsed(TargetId),
    /// Its entry is back.
    Returned(TargetId),
    /// A new run of the target under the same id; what was learnt of the old one is void.
    Restarted(TargetId),
}

#[derive(Debug, Clone)]
struct Member {
    revision: Revision,
    /// `None` once the entry is gone or unreadable; the revision still guards against older news.
    entry: Option<TargetRecord>,
    /// Set while the entry is missing and excused.
    lapsed: bool,
    /// When the entry was heard of last; an ended one is forgotten some time after.
    heard_at: Mono,
}

/// Joins published entries into the targets that may be used.
///
/// An entry counts only if its revision is not below the one known for its id, because stale full
/// reads overlap with the watch. A missing entry ends its target at once while the platform is
/// steady. While it is away or has just come back, entries lapse although their targets live;
/// ending these would leave a service without targets for seconds.
#[derive(Debug)]
pub struct Roster {
    config: RosterConfig,
    members: BTreeMap<TargetId, Member>,
    platform_away: bool,
    returned_at: Option<Mono>,
    version: u64,
}

impl Roster {
    /// No target is known; the platform counts as steady.
    pub fn new(config: RosterConfig) -> Self {
        Self {
            config,
            members: BTreeMap::new(),
            platform_away: false,
            returned_at: None,
            version: 0,
        }
    }

    /// The platform does not answer.
    pub fn platform_disconnected(&mut self) {
        self.platform_away = true;
    }

    /// The platform answers again.
    pub fn platform_reconnected(&mut self, now: Mono) {
        self.platform_away = false;
        self.returned_at = Some(now);
    }

    /// Differs from an earlier value when [`targets`](Self::targets) may answer differently.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes changes in the order in which they were published.
    pub fn apply(&mut self, changes: Vec<TargetChange>, now: Mono) -> Vec<RosterChange> {
        changes.into_iter().filter_map(|change| self.apply_one(change, now)).collect()
    }

    /// Takes a full read: entries that it lacks are missing since `revision`.
    ///
    /// Pages of a read are no snapshot. `revision` is that of the first page, so that an entry
    /// written later is not taken for a missing one.
    pub fn replace(
        &mut self,
        entries: Vec<TargetChange>,
        revision: Revision,
        now: Mono,
    ) -> Vec<RosterChange> {
        let seen: BTreeSet<TargetId> = entries.iter().map(|change| change.id.clone()).collect();
        let mut changes = self.apply(entries, now);
        let missing = self.members.iter().filter(|(id, member)| {
            member.entry.is_some() && member.revision <= revision && !seen.contains(*id)
        });
        let missing: Vec<TargetId> = missing.map(|(id, _)| id.clone()).collect();
        for id in missing {
            changes.extend(
                self.apply_one(
                    TargetChange { id, revision, published: PublishedState::Removed },
                    now,
                ),
            );
        }
        changes
    }

    /// Ends targets whose entries stayed missing after the platform came back.
    pub fn expire(&mut self, now: Mono) -> Vec<RosterChange> {
        if self.is_unsteady(now) {
            return Vec::new();
        }
        let mut left = Vec::new();
        for (id, member) in &mut self.members {
            if member.lapsed {
                member.lapsed = false;
                member.entry = None;
                member.heard_at = now;
                left.push(RosterChange::Left(id.clone()));
            }
        }
        self.version += u64::from(!left.is_empty());
        let remember = self.config.ended_retained_for;
        self.members.retain(|_, m| m.entry.is_some() || now.since(m.heard_at) < remember);
        left
    }

    /// Targets that exist, draining ones included, in order of their id.
    ///
    /// An address is given to another target once its holder has ended, also when the holder's
    /// entry has not been removed yet; then only the one published last is named.
    pub fn targets(&self) -> Vec<(&TargetId, &TargetRecord)> {
        let mut holders: BTreeMap<Endpoint, (Revision, &TargetId)> = BTreeMap::new();
        for (id, member) in &self.members {
            let Some(entry) = &member.entry else { continue };
            let holder = holders.entry(entry.endpoint).or_insert((member.revision, id));
            if member.revision > holder.0 {
                *holder = (member.revision, id);
            }
        }
        let named =
            self.members.iter().filter_map(|(id, member)| Some((id, member.entry.as_ref()?)));
        named
            .filter(|(id, entry)| holders.get(&entry.endpoint).is_some_and(|h| h.1 == *id))
            .collect()
    }

    fn is_unsteady(&self, now: Mono) -> bool {
        let returning =
            self.returned_at.is_some_and(|at| now.since(at) < self.config.reconnect_grace);
        self.platform_away || returning
    }

    fn apply_one(&mut self, change: TargetChange, now: Mono) -> Option<RosterChange> {
        let TargetChange { id, revision, published } = change;
        if self.members.get(&id).is_some_and(|member| revision < member.revision) {
            return None;
        }
        match published {
            PublishedState::Target(entry) => self.present(id, revision, entry, now),
            PublishedState::Unreadable => self.end(id, revision, now),
            PublishedState::Removed => self.missing(id, revision, now),
        }
    }

    fn present(
        &mut self,
        id: TargetId,
        revision: Revision,
        entry: TargetRecord,
        now: Mono,
    ) -> Option<RosterChange> {
        let fresh = Member { revision, entry: Some(entry), lapsed: false, heard_at: now };
        let old = self.members.insert(id.clone(), fresh);
        self.note_change(&id, old.as_ref());
        let new = self.members.get(&id)?.entry.as_ref()?;
        let Some((old, lapsed)) = old.and_then(|old| Some((old.entry?, old.lapsed))) else {
            return Some(RosterChange::Joined(id));
        };
        if is_other_run(&old, new) {
            return Some(RosterChange::Restarted(id));
        }
        if new.availability == Availability::Draining && old.availability != Availability::Draining
        {
            return Some(RosterChange::Draining(id));
        }
        lapsed.then_some(RosterChange::Returned(id))
    }

    fn missing(&mut self, id: TargetId, revision: Revision, now: Mono) -> Option<RosterChange> {
        let unsteady = self.is_unsteady(now);
        let serving = |member: &&mut Member| {
            let entry = member.entry.as_ref();
            entry.is_some_and(|entry| entry.availability == Availability::Serving)
        };
        // A target that was draining has left; its entry does not come back.
        let excused = self.members.get_mut(&id).filter(|member| unsteady && serving(member));
        let Some(member) = excused else { return self.end(id, revision, now) };
        member.revision = revision;
        let first = !member.lapsed;
        member.lapsed = true;
        first.then_some(RosterChange::Lapsed(id))
    }

    /// The revision decides which of two entries holds an address; one that only renews an entry
    /// changes nothing else.
    fn note_change(&mut self, id: &TargetId, old: Option<&Member>) {
        let entry = self.members.get(id).and_then(|member| member.entry.as_ref());
        let old = old.and_then(|old| old.entry.as_ref());
        if entry != old || entry.is_some_and(|entry| self.is_shared(entry.endpoint)) {
            self.version += 1;
        }
    }

    /// Whether more than one entry names this address.
    fn is_shared(&self, endpoint: Endpoint) -> bool {
        let entries = self.members.values().filter_map(|member| member.entry.as_ref());
        entries.filter(|entry| entry.endpoint == endpoint).count() > 1
    }

    fn end(&mut self, id: TargetId, revision: Revision, now: Mono) -> Option<RosterChange> {
        let gone = Member { revision, entry: None, lapsed: false, heard_at: now };
        let old = self.members.insert(id.clone(), gone);
        self.note_change(&id, old.as_ref());
        old.and_then(|old| old.entry).map(|_| RosterChange::Left(id))
    }
}

/// Whether two entries under one id describe two runs of the target.
fn is_other_run(old: &TargetRecord, new: &TargetRecord) -> bool {
    let started = match (old.started_at_ms, new.started_at_ms) {
        (Some(old), Some(new)) => old != new,
        _ => false,
    };
    started || old.endpoint != new.endpoint || old.service != new.service
}
