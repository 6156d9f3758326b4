//! The membership view of one process.

use std::collections::BTreeMap;
use std::fmt;

use shallotfork_types::{Endpoint, FailureDomain, Incarnation, Mono, Revision, VmId};

use crate::ViewConfig;

/// One VM of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: VmId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Where callers connect.
    pub callers: Endpoint,
    /// Where other entries connect.
    pub peers: Endpoint,
    /// Whether the platform says that it is leaving.
    pub leaving: bool,
}

/// What a VM says of itself in a heartbeat or a notice, after it proved the peer key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Identity and addresses, as in the platform's list.
    pub listed: ListedVm,
    /// The run of the process that speaks.
    pub incarnation: Incarnation,
}

/// What this process believes of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryState {
    /// Heard lately, or listed and not yet due to be heard.
    Live,
    /// Silent for too long.
    Suspected,
    /// Said by itself or by the platform to be leaving.
    Leaving,
}

impl fmt::Display for EntryState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Live => "live",
            Self::Suspected => "suspected",
            Self::Leaving => "leaving",
        })
    }
}

/// One VM with the belief about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryVm {
    /// Name of the VM.
    pub vm: VmId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Where callers connect.
    pub callers: Endpoint,
    /// Where other entries connect.
    pub peers: Endpoint,
    /// The run that was heard last; `None` when it was never heard.
    pub incarnation: Option<Incarnation>,
    /// The belief.
    pub state: EntryState,
}

/// Incarnations of one VM that are remembered as ended.
const RETIRED_MAX: usize = 8;

#[derive(Debug)]
struct Member {
    listed: ListedVm,
    on_list: bool,
    incarnation: Option<Incarnation>,
    retired: Vec<Incarnation>,
    said_leaving: bool,
    quiet_since: Mono,
}

impl Member {
    fn new(listed: ListedVm, now: Mono) -> Self {
        Self {
            listed,
            on_list: false,
            incarnation: None,
            retired: Vec::new(),
            said_leaving: false,
            quiet_since: now,
        }
    }

    fn retire(&mut self, incarnation: Incarnation) {
        if self.retired.len() == RETIRED_MAX {
            self.retired.remove(0);
        }
        self.retired.push(incarnation);
    }
}

/// Joins the platform's list with direct evidence.
#[derive(Debug)]
pub struct View {
    config: ViewConfig,
    own: VmId,
    revision: Revision,
    members: BTreeMap<VmId, Member>,
}

impl View {
    /// A view that knows only the own VM.
    pub fn new(config: ViewConfig, own: Announcement, now: Mono) -> Self {
        let mut member = Member::new(own.listed.clone(), now);
        member.incarnation = Some(own.incarnation);
        let members = BTreeMap::from([(own.listed.vm.clone(), member)]);
        Self { config, own: own.listed.vm, revision: Revision::NONE, members }
    }

    /// Takes a published list; lists below the highest revision seen are ignored.
    ///
    /// The own entry is never taken from the list: the process knows its own state, and a lagging
    /// list may still describe an earlier run on the same VM.
    pub fn set_published(&mut self, revision: Revision, list: &[ListedVm], now: Mono) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        for member in self.members.values_mut() {
            member.on_list = false;
        }
        for listed in list {
            self.set_listed(listed, now);
        }
    }

    fn set_listed(&mut self, listed: &ListedVm, now: Mono) {
        let own = listed.vm == self.own;
        let member = self
            .members
            .entry(listed.vm.clone())
            .or_insert_with(|| Member::new(listed.clone(), now));
        member.on_list = true;
        if !own {
            member.listed = listed.clone();
        }
    }

    /// Takes a heartbeat; returns whether it counted.
    ///
    /// A heartbeat of an ended incarnation may arrive after its successor's, for example when a
    /// paused VM was replaced and wakes up. It would bring back an address that no longer serves,
    /// so ended incarnations are remembered and ignored.
    pub fn heard(&mut self, from: Announcement, now: Mono) -> bool {
        if from.listed.vm == self.own {
            return false;
        }
        let member = self
            .members
            .entry(from.listed.vm.clone())
            .or_insert_with(|| Member::new(from.listed.clone(), now));
        if member.retired.contains(&from.incarnation) {
            return false;
        }
        if let Some(earlier) = member.incarnation.filter(|known| *known != from.incarnation) {
            member.retire(earlier);
            member.said_leaving = false;
        }
        member.incarnation = Some(from.incarnation);
        member.said_leaving |= from.listed.leaving;
        member.listed =
            ListedVm { leaving: member.listed.leaving && member.on_list, ..from.listed };
        member.quiet_since = now;
        true
    }

    /// Takes this process's own decision to leave.
    pub fn leave(&mut self) {
        if let Some(member) = self.members.get_mut(&self.own) {
            member.said_leaving = true;
        }
    }

    /// Counts every VM as heard just now.
    ///
    /// After this process was paused, all others look silent although only its own clock ran on.
    /// Without this a resumed process would suspect the whole fleet at once.
    pub fn resumed(&mut self, now: Mono) {
        for member in self.members.values_mut() {
            member.quiet_since = now;
        }
    }

    /// Forgets VMs that are neither listed nor heard; the own VM stays.
    pub fn expire(&mut self, now: Mono) {
        let forget_after = self.config.forget_after;
        let own = &self.own;
        self.members.retain(|vm, member| {
            vm == own || member.on_list || now.since(member.quiet_since) <= forget_after
        });
    }

    /// Every VM with the belief about it, in order of name.
    pub fn entries(&self, now: Mono) -> Vec<EntryVm> {
        self.members.values().map(|member| self.entry(member, now)).collect()
    }

    fn entry(&self, member: &Member, now: Mono) -> EntryVm {
        EntryVm {
            vm: member.listed.vm.clone(),
            failure_domain: member.listed.failure_domain.clone(),
            callers: member.listed.callers,
            peers: member.listed.peers,
            incarnation: member.incarnation,
            state: self.state(member, now),
        }
    }

    fn state(&self, member: &Member, now: Mono) -> EntryState {
        if member.said_leaving || member.listed.leaving {
            return EntryState::Leaving;
        }
        let own = member.listed.vm == self.own;
        if !own && now.since(member.quiet_since) > self.config.suspect_after {
            return EntryState::Suspected;
        }
        EntryState::Live
    }
}
