//! The membership view of one process.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shallotfork_types::{Incarnation, Mono, Revision, VmId};

use crate::member::Member;
use crate::{Announcement, EntryState, EntryVm, ListedVm, MemberUpdate, ViewConfig};

/// Joins the platform's list with direct evidence and with news from other entries.
///
/// Only watched VMs, those with which heartbeats are exchanged, are suspected by their silence.
/// Of the others this process hears through news, which each entry passes on in a bounded number
/// of heartbeats; a VM that hears of a suspicion against itself refutes it by a higher round.
#[derive(Debug)]
pub struct MembershipView {
    config: ViewConfig,
    own: VmId,
    revision: Revision,
    members: BTreeMap<VmId, Member>,
    /// Sends that are left for each piece of news.
    spreading: BTreeMap<VmId, u32>,
    /// Raised with each change of a belief.
    version: u64,
    /// Whose news is passed on; `None` for everybody's.
    passed_on: Option<BTreeSet<VmId>>,
    /// Whether this process passes on what it has heard of third VMs.
    relays: bool,
    /// Whether others were heard again since the last period, who may have missed this process.
    heard_again: bool,
}

impl MembershipView {
    /// A view that knows only the own VM.
    pub fn new(config: ViewConfig, own: &Announcement, now: Mono) -> Self {
        let vm = own.listed.vm.clone();
        let mut member = Member::new(own.listed.clone(), now);
        member.incarnation = Some(own.incarnation);
        Self {
            config,
            own: vm.clone(),
            revision: Revision::NONE,
            members: BTreeMap::from([(vm, member)]),
            spreading: BTreeMap::new(),
            version: 0,
            passed_on: None,
            relays: true,
            heard_again: false,
        }
    }

    /// Differs from an earlier value when [`entries`](Self::entries) may answer differently.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Passes on news of these VMs only, and of VMs that are not live.
    ///
    /// At a common start everybody's news is new to everybody: passed on in full, it grows with the
    /// square of the fleet. What others need are the VMs that come first in each failure domain.
    pub fn set_passed_on(&mut self, vms: BTreeSet<VmId>) {
        self.passed_on = Some(vms);
    }

    /// Says whether this process passes on what it has heard of third VMs. One that is called by
    /// nobody would tell those whom it calls what they have told it.
    pub fn set_relays(&mut self, relays: bool) {
        self.relays = relays;
    }

    /// Whether this run of a VM is the one known.
    pub fn knows_run(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        self.members.get(vm).is_some_and(|member| member.incarnation == Some(incarnation))
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
        self.version += 1;
        for member in self.members.values_mut() {
            member.on_list = false;
        }
        for listed in list {
            let own = listed.vm == self.own;
            let member = self.member(listed, now);
            member.on_list = true;
            if !own {
                member.set_listed(listed);
            }
        }
    }

    /// Changes the silence after which a watched VM is suspected, as the time between heartbeats
    /// changes with the size of the fleet.
    pub fn set_suspect_after(&mut self, silence: Duration) {
        self.config.suspect_after = silence;
    }

    /// Expects heartbeats of these VMs from now on, and of no others.
    pub fn monitor(&mut self, watched: &BTreeSet<VmId>, now: Mono) {
        for (vm, member) in &mut self.members {
            if watched.contains(vm) { member.monitor(now) } else { member.unwatch() }
        }
    }

    /// Takes a heartbeat; returns whether it counted.
    pub fn receive_heartbeat(&mut self, from: &Announcement, now: Mono) -> bool {
        if from.listed.vm == self.own {
            return false;
        }
        let fresh = self.config.evidence_for;
        let member = self.member(&from.listed, now);
        let (before, round_before) = (member.entry(), member.round);
        let counted = member.receive_heartbeat(from, fresh, now);
        let (after, round) = (member.entry(), member.round);
        // A higher round refutes a suspicion that others may hold.
        if before != after || round_before != round {
            self.changed(&from.listed.vm, self.relays);
        }
        if before.state == EntryState::Suspected && after.state == EntryState::Live {
            self.heard_again = true;
        }
        counted
    }

    /// Takes what another entry tells about a third one, or about this one.
    pub fn receive_update(&mut self, news: &MemberUpdate, now: Mono) {
        let vm = news.about.listed.vm.clone();
        if vm == self.own {
            self.refute(news);
            return;
        }
        let known = self.members.contains_key(&vm);
        if !known && (news.suspected || news.about.listed.leaving) {
            return;
        }
        let fresh = self.config.evidence_for;
        let changed = self.member(&news.about.listed, now).receive_update(news, fresh, now);
        if changed || !known {
            self.changed(&vm, self.relays);
        }
    }

    /// Says by a higher round that this process is alive.
    ///
    /// After a cut has healed, or this process was paused, the others have suspected it. Those
    /// that exchange heartbeats with it see that it is back; the rest would leave it out for good.
    fn raise_own_round(&mut self) {
        let own = self.own.clone();
        if let Some(member) = self.members.get_mut(&own) {
            member.round = member.round.saturating_add(1);
        }
        self.changed(&own, true);
    }

    /// A process that was paused, or cut off, hears that it is suspected: a higher round says that
    /// it is back, also to those who do not exchange heartbeats with it.
    fn refute(&mut self, news: &MemberUpdate) {
        let own = self.own.clone();
        let Some(member) = self.members.get_mut(&own) else { return };
        let same_run = member.incarnation == Some(news.about.incarnation);
        if same_run && news.suspected && news.about.round >= member.round {
            member.round = news.about.round.saturating_add(1);
            self.changed(&own, true);
        }
    }

    /// What a VM is told of a suspicion against itself that it has not refuted by a higher round.
    ///
    /// Whoever hears it knows that it lives; all others go by the suspicion until it is refuted. They do
    /// not speak to a VM that they suspect, so that nobody else would tell it.
    pub fn suspicion_of(&self, vm: &VmId) -> Option<MemberUpdate> {
        self.members.get(vm)?.unrefuted_suspicion()
    }

    /// Takes this process's own decision to leave.
    pub fn leave(&mut self) {
        let own = self.own.clone();
        if let Some(member) = self.members.get_mut(&own) {
            member.leave();
        }
        self.changed(&own, true);
    }

    /// The own round, for heartbeats.
    pub fn own_round(&self) -> u32 {
        self.members.get(&self.own).map_or(0, |member| member.round)
    }

    /// Counts every VM as heard just now.
    ///
    /// After this process was paused, all others look silent although only its own clock ran on.
    /// Without this a resumed process would suspect the whole fleet at once.
    pub fn handle_resume(&mut self, now: Mono) {
        for member in self.members.values_mut() {
            member.handle_resume(now);
        }
        self.raise_own_round();
    }

    /// Ends a period: suspects watched VMs that are silent, and forgets VMs that are neither listed
    /// nor heard; the own VM stays. If others were heard again, the own round is raised.
    ///
    /// Where only some VMs are passed on, nobody tells of the end of the others: those that were met
    /// once would count as live for long. The ones that are passed on may never be heard here.
    pub fn expire(&mut self, now: Mono) {
        let ViewConfig { suspect_after, forget_after, forget_unneeded_after, .. } = self.config;
        let passed_on = &self.passed_on;
        let own = self.own.clone();
        let mut suspected = Vec::new();
        let count = self.members.len();
        self.members.retain(|vm, member| {
            if vm != &own && member.suspect_if_silent(suspect_after, now) {
                suspected.push(vm.clone());
            }
            let keep_for = match passed_on {
                Some(vms) if member.state() == EntryState::Live => {
                    let needed = vms.contains(vm);
                    if needed { Duration::MAX } else { forget_unneeded_after }
                }
                _ => forget_after,
            };
            vm == &own || member.on_list || now.since(member.quiet_since) <= keep_for
        });
        self.version += u64::from(self.members.len() != count);
        // Once for all that were heard again: hundreds may come back in one period.
        if std::mem::take(&mut self.heard_again) {
            self.raise_own_round();
        }
        for vm in suspected {
            self.changed(&vm, true);
        }
    }

    /// Suspects a VM that has not answered several calls in a row, unless it was heard meanwhile.
    pub fn suspect(&mut self, vm: &VmId, now: Mono) {
        let fresh = self.config.evidence_for;
        let suspected = self.members.get_mut(vm).is_some_and(|m| m.suspect_if_silent(fresh, now));
        if suspected {
            self.changed(&vm.clone(), true);
        }
    }

    /// News for the next heartbeat; what was sent least often goes first.
    pub fn take_due_updates(&mut self) -> Vec<MemberUpdate> {
        let members = &self.members;
        let (passed_on, own) = (&self.passed_on, &self.own);
        self.spreading.retain(|vm, _| {
            members.get(vm).is_some_and(|member| is_passed_on(passed_on, own, member))
        });
        let mut waiting: Vec<(u32, VmId)> =
            self.spreading.iter().map(|(vm, sends)| (*sends, vm.clone())).collect();
        waiting.sort_by(|a, b| b.cmp(a));
        waiting.truncate(self.config.news_max);
        let mut news = Vec::new();
        for (_, vm) in waiting {
            self.count_send(&vm);
            news.extend(self.members.get(&vm).and_then(Member::news));
        }
        news
    }

    /// News of every VM whose news is passed on, as far as it changed after a
    /// [`version`](Self::version); after version 0, for one that has just joined, all of it.
    pub fn news_since(&self, version: u64) -> Vec<MemberUpdate> {
        let members = self.members.values();
        let passed_on = members.filter(|m| is_passed_on(&self.passed_on, &self.own, m));
        passed_on.filter(|m| m.changed_at > version).filter_map(Member::news).collect()
    }

    /// Every VM with the belief about it, in order of name.
    pub fn entries(&self) -> Vec<EntryVm> {
        self.members.values().map(Member::entry).collect()
    }

    /// When a VM was heard last; the clock's zero when it is not known.
    pub fn last_seen_at(&self, vm: &VmId) -> Mono {
        self.members.get(vm).map_or(Mono::ZERO, |member| member.quiet_since)
    }

    fn member(&mut self, listed: &ListedVm, now: Mono) -> &mut Member {
        self.members.entry(listed.vm.clone()).or_insert_with(|| Member::new(listed.clone(), now))
    }

    /// Notes that a belief has changed, and whether others are told of it unasked.
    fn changed(&mut self, vm: &VmId, spreads: bool) {
        self.version += 1;
        if let Some(member) = self.members.get_mut(vm) {
            member.changed_at = self.version;
        }
        if spreads {
            self.spreading.insert(vm.clone(), self.config.news_sends);
        }
    }

    fn count_send(&mut self, vm: &VmId) {
        let Some(sends) = self.spreading.get_mut(vm) else { return };
        *sends -= 1;
        if *sends == 0 {
            self.spreading.remove(vm);
        }
    }
}

/// Whether others are told of a VM. They hear of the end of one that was passed on earlier, too.
fn is_passed_on(passed_on: &Option<BTreeSet<VmId>>, own: &VmId, member: &Member) -> bool {
    let vm = &member.listed.vm;
    let first = passed_on.as_ref().is_none_or(|vms| vms.contains(vm));
    first || vm == own || member.state() != EntryState::Live
}
