//! The membership view of one process.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shallotfork_types::{Incarnation, LoadLevel, Mono, Revision, VmId};

use crate::member::Member;
use crate::{Announcement, EntryState, EntryVm, ListedVm, MemberUpdate, ViewConfig};

/// Combines the platform's list with heartbeats and with updates from other entries.
///
/// Only monitored VMs, those with which heartbeats are exchanged, are suspected because of their
/// silence. The state of all others is learned from updates, which each entry forwards in a bounded
/// number of heartbeats. A VM that receives a suspicion of itself refutes it by a higher round.
#[derive(Debug)]
pub struct MembershipView {
    config: ViewConfig,
    own: VmId,
    revision: Revision,
    members: BTreeMap<VmId, Member>,
    /// Number of sends left for the update about each VM.
    remaining_sends: BTreeMap<VmId, u32>,
    /// Increases with each change of a member's state.
    version: u64,
    /// VMs about which updates are propagated; `None` for all.
    propagated: Option<BTreeSet<VmId>>,
    /// Whether this process forwards what it receives about other VMs.
    forwards_updates: bool,
    /// Whether a suspected VM was seen again since the last period. It may have suspected this
    /// process too.
    has_returned_members: bool,
}

impl MembershipView {
    /// Creates a view that contains only the VM of this process.
    pub fn new(config: ViewConfig, own: &Announcement, now: Mono) -> Self {
        let vm = own.listed.vm.clone();
        let mut member = Member::new(own.listed.clone(), now);
        member.incarnation = Some(own.incarnation);
        Self {
            config,
            own: vm.clone(),
            revision: Revision::NONE,
            members: BTreeMap::from([(vm, member)]),
            remaining_sends: BTreeMap::new(),
            version: 0,
            propagated: None,
            forwards_updates: true,
            has_returned_members: false,
        }
    }

    /// Returns the version of the view, which changes whenever the result of
    /// [`entries`](Self::entries) may change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Restricts the propagated updates to those about these VMs and about VMs that are not live.
    ///
    /// At a simultaneous start, updates about all VMs are new to all others; propagated in full,
    /// their number grows with the square of the fleet size. Other entries only need the VMs that
    /// rank first in each failure domain.
    pub fn set_propagated(&mut self, vms: BTreeSet<VmId>) {
        self.propagated = Some(vms);
    }

    /// Sets whether this process forwards what it receives about other VMs. A process that no other
    /// one calls would only send updates back to the entries that it received them from.
    pub fn set_forwards_updates(&mut self, forwards_updates: bool) {
        self.forwards_updates = forwards_updates;
    }

    /// Returns whether an incarnation of a VM is the known one.
    pub fn is_current_incarnation(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        self.members.get(vm).is_some_and(|member| member.incarnation == Some(incarnation))
    }

    /// Applies a published list unless its revision is lower than the highest one seen.
    ///
    /// The VM of this process is never updated from the list: the process knows its own state, and
    /// a lagging list may still describe an earlier incarnation on the same VM.
    pub fn set_published(&mut self, revision: Revision, list: &[ListedVm], now: Mono) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        self.version += 1;
        for member in self.members.values_mut() {
            member.is_listed = false;
        }
        for listed in list {
            let is_own = listed.vm == self.own;
            let member = self.member(listed, now);
            member.is_listed = true;
            if !is_own {
                member.set_listed(listed);
            }
        }
    }

    /// Sets the silence after which a monitored VM is suspected. It depends on the interval between
    /// heartbeats, which changes with the size of the fleet.
    pub fn set_suspect_after(&mut self, silence: Duration) {
        self.config.suspect_after = silence;
    }

    /// Expects heartbeats of these VMs, and of no others, from now on.
    pub fn monitor(&mut self, monitored: &BTreeSet<VmId>, now: Mono) {
        for (vm, member) in &mut self.members {
            if monitored.contains(vm) { member.monitor(now) } else { member.stop_monitoring() }
        }
    }

    /// Applies a heartbeat. Returns whether it was accepted.
    pub fn receive_heartbeat(&mut self, from: &Announcement, now: Mono) -> bool {
        if from.listed.vm == self.own {
            return false;
        }
        let evidence_valid_for = self.config.evidence_valid_for;
        let member = self.member(&from.listed, now);
        let (before, round_before) = (member.entry(), member.round);
        let accepted = member.receive_heartbeat(from, evidence_valid_for, now);
        let (after, round) = (member.entry(), member.round);
        // A higher round refutes a suspicion that other entries may hold.
        if before != after || round_before != round {
            let sends_update = self.forwards_updates && !is_load_change(&before, &after);
            self.record_change(&from.listed.vm, sends_update);
        }
        if before.state == EntryState::Suspected && after.state == EntryState::Live {
            self.has_returned_members = true;
        }
        accepted
    }

    /// Applies an update from another entry, about a third one or about this one.
    pub fn receive_update(&mut self, update: &MemberUpdate, now: Mono) {
        let vm = update.about.listed.vm.clone();
        if vm == self.own {
            self.refute(update);
            return;
        }
        let is_known = self.members.contains_key(&vm);
        if !is_known && (update.suspected || update.about.listed.leaving) {
            return;
        }
        let evidence_valid_for = self.config.evidence_valid_for;
        let member = self.member(&update.about.listed, now);
        let before = member.entry();
        let has_changed = member.receive_update(update, evidence_valid_for, now);
        let after = member.entry();
        if has_changed || !is_known {
            let sends_update =
                self.forwards_updates && !(is_known && is_load_change(&before, &after));
            self.record_change(&vm, sends_update);
        }
    }

    /// Raises the round of this process, by which the others see that this process is alive.
    ///
    /// The others have suspected it if it was paused or a partition has healed. Those that exchange
    /// heartbeats with it see that it is back; the rest would leave it out permanently.
    fn raise_own_round(&mut self) {
        self.raise_own_round_with(true);
    }

    fn raise_own_round_with(&mut self, sends_update: bool) {
        let own = self.own.clone();
        if let Some(member) = self.members.get_mut(&own) {
            member.round = member.round.saturating_add(1);
        }
        self.record_change(&own, sends_update);
    }

    /// Refutes a suspicion of this process, which it receives after a pause or a partition, by a
    /// higher round. This also reaches the entries that do not exchange heartbeats with it.
    fn refute(&mut self, update: &MemberUpdate) {
        let own = self.own.clone();
        let Some(member) = self.members.get_mut(&own) else { return };
        let is_same_incarnation = member.incarnation == Some(update.about.incarnation);
        if is_same_incarnation && update.suspected && update.about.round >= member.round {
            member.round = update.about.round.saturating_add(1);
            self.record_change(&own, true);
        }
    }

    /// Returns the suspicion of a VM that it has not refuted by a higher round, as an update to
    /// send to it.
    ///
    /// A heartbeat ends the suspicion only at its receiver; all others hold it until it is refuted.
    /// They do not call a VM that they suspect, so nobody else would inform it.
    pub fn suspicion_of(&self, vm: &VmId) -> Option<MemberUpdate> {
        self.members.get(vm)?.unrefuted_suspicion()
    }

    /// Records that this process is leaving.
    pub fn leave(&mut self) {
        let own = self.own.clone();
        if let Some(member) = self.members.get_mut(&own) {
            member.leave();
        }
        self.record_change(&own, true);
    }

    /// Records whether this process reaches no target. A change raises the round, so that it
    /// replaces what other entries know.
    pub fn set_own_isolated(&mut self, isolated: bool) {
        let own = self.own.clone();
        if self.members.get_mut(&own).is_some_and(|member| member.set_isolated(isolated)) {
            self.raise_own_round();
        }
    }

    /// Returns whether this process reaches no target.
    pub fn is_own_isolated(&self) -> bool {
        self.members.get(&self.own).is_some_and(Member::isolated)
    }

    /// Sets the load that this process states. This raises the round, so that it replaces what other
    /// entries know.
    ///
    /// No update is sent for it: heartbeats state it, and the comparison of digests of loads brings it to
    /// all others once. With updates, each entry that forwards them would send each change several times.
    pub fn set_own_load(&mut self, load: LoadLevel) {
        let own = self.own.clone();
        if let Some(member) = self.members.get_mut(&own) {
            member.set_load(load);
            self.raise_own_round_with(false);
        }
    }

    /// Returns the load that this process states.
    pub fn own_load(&self) -> Option<LoadLevel> {
        self.members.get(&self.own).and_then(Member::load)
    }

    /// Returns the live VMs, including that of this process, with the load that each states.
    pub fn live_loads(&self) -> impl Iterator<Item = (&VmId, Option<LoadLevel>)> {
        let live = self.members.iter().filter(|(_, member)| member.state() == EntryState::Live);
        live.map(|(vm, member)| (vm, member.load()))
    }

    /// Returns the round of this process, which heartbeats carry.
    pub fn own_round(&self) -> u32 {
        self.members.get(&self.own).map_or(0, |member| member.round)
    }

    /// Handles the end of a pause of this process by counting every VM as just seen.
    ///
    /// After a pause all others seem silent although only the clock of this process has advanced.
    /// Without this, a resumed process would suspect the whole fleet at once.
    pub fn handle_resume(&mut self, now: Mono) {
        for member in self.members.values_mut() {
            member.handle_resume(now);
        }
        self.raise_own_round();
    }

    /// Ends a period: suspects monitored VMs that are silent and forgets VMs that are neither
    /// listed nor seen, except for the VM of this process. Raises the round of this process if
    /// suspected VMs were seen again.
    ///
    /// If updates are restricted to some VMs, nobody reports the end of the others, and VMs met
    /// once would count as live for a long time. VMs about which updates are propagated may never
    /// be seen by this process itself.
    pub fn expire(&mut self, now: Mono) {
        let ViewConfig { suspect_after, forget_after, forget_unneeded_after, .. } = self.config;
        let propagated = &self.propagated;
        let own = self.own.clone();
        let mut suspected = Vec::new();
        let count = self.members.len();
        self.members.retain(|vm, member| {
            if vm != &own && member.suspect_if_silent(suspect_after, now) {
                suspected.push(vm.clone());
            }
            let keep_for = match propagated {
                Some(vms) if member.state() == EntryState::Live => {
                    let is_needed = vms.contains(vm);
                    if is_needed { Duration::MAX } else { forget_unneeded_after }
                }
                _ => forget_after,
            };
            vm == &own || member.is_listed || now.since(member.last_seen_at) <= keep_for
        });
        self.version += u64::from(self.members.len() != count);
        // Raised once for all of them, since hundreds may return in one period.
        if std::mem::take(&mut self.has_returned_members) {
            self.raise_own_round();
        }
        for vm in suspected {
            self.record_change(&vm, true);
        }
    }

    /// Suspects a VM that has not answered several consecutive calls, unless it was seen in the
    /// meantime.
    pub fn suspect(&mut self, vm: &VmId, now: Mono) {
        let evidence_valid_for = self.config.evidence_valid_for;
        let suspected = self
            .members
            .get_mut(vm)
            .is_some_and(|member| member.suspect_if_silent(evidence_valid_for, now));
        if suspected {
            self.record_change(&vm.clone(), true);
        }
    }

    /// Returns the updates for the next heartbeat, those sent least often first, and counts them as
    /// sent.
    pub fn take_due_updates(&mut self) -> Vec<MemberUpdate> {
        let members = &self.members;
        let (propagated, own) = (&self.propagated, &self.own);
        self.remaining_sends.retain(|vm, _| {
            members.get(vm).is_some_and(|member| is_propagated(propagated, own, member))
        });
        let mut pending: Vec<(u32, VmId)> =
            self.remaining_sends.iter().map(|(vm, sends)| (*sends, vm.clone())).collect();
        pending.sort_by(|a, b| b.cmp(a));
        pending.truncate(self.config.updates_max);
        let mut updates = Vec::new();
        for (_, vm) in pending {
            self.count_send(&vm);
            updates.extend(self.members.get(&vm).and_then(Member::update));
        }
        updates
    }

    /// Returns the propagated updates about all VMs that changed after a
    /// [`version`](Self::version). Version 0 returns all of them, for an entry that has just
    /// joined.
    pub fn updates_since(&self, version: u64) -> Vec<MemberUpdate> {
        let members = self.members.values();
        let propagated =
            members.filter(|member| is_propagated(&self.propagated, &self.own, member));
        propagated
            .filter(|member| member.changed_version > version)
            .filter_map(Member::update)
            .collect()
    }

    /// Returns all known VMs with their states, sorted by name.
    pub fn entries(&self) -> Vec<EntryVm> {
        self.members.values().map(Member::entry).collect()
    }

    /// Returns the time at which a VM was last seen, or the zero of the clock if it is not known.
    pub fn last_seen_at(&self, vm: &VmId) -> Mono {
        self.members.get(vm).map_or(Mono::ZERO, |member| member.last_seen_at)
    }

    fn member(&mut self, listed: &ListedVm, now: Mono) -> &mut Member {
        self.members.entry(listed.vm.clone()).or_insert_with(|| Member::new(listed.clone(), now))
    }

    /// Records a state change of a VM, and whether an update about it is sent in heartbeats.
    fn record_change(&mut self, vm: &VmId, sends_update: bool) {
        self.version += 1;
        if let Some(member) = self.members.get_mut(vm) {
            member.changed_version = self.version;
        }
        if sends_update {
            self.remaining_sends.insert(vm.clone(), self.config.update_sends);
        }
    }

    fn count_send(&mut self, vm: &VmId) {
        let Some(sends) = self.remaining_sends.get_mut(vm) else { return };
        *sends -= 1;
        if *sends == 0 {
            self.remaining_sends.remove(vm);
        }
    }
}

/// Returns whether a VM states another load, and nothing else of it has changed.
fn is_load_change(before: &EntryVm, after: &EntryVm) -> bool {
    before.load != after.load && *after == EntryVm { load: after.load, ..before.clone() }
}

/// Returns whether updates about a VM are propagated. They are if the VM is no longer live or is
/// isolated, since it may have been propagated as usable before.
fn is_propagated(propagated: &Option<BTreeSet<VmId>>, own: &VmId, member: &Member) -> bool {
    let vm = &member.listed.vm;
    let is_selected = propagated.as_ref().is_none_or(|vms| vms.contains(vm));
    is_selected || vm == own || member.state() != EntryState::Live || member.isolated()
}
