//! State that a view keeps about one VM.

use std::time::Duration;

use shallotfork_types::{Incarnation, LoadLevel, Mono};

use crate::silence_allowance::SilenceAllowance;
use crate::{Announcement, EntryState, EntryVm, ListedVm, MemberUpdate};

#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) listed: ListedVm,
    pub(crate) is_listed: bool,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) round: u32,
    reported_leaving: bool,
    isolated: bool,
    load: Option<LoadLevel>,
    is_suspected: bool,
    /// Round of a suspicion that ended with a heartbeat of this incarnation, which the incarnation
    /// has not yet refuted by a higher round.
    unrefuted_round: Option<u32>,
    /// Whether heartbeats are exchanged with the VM, so that its silence is meaningful.
    is_monitored: bool,
    pub(crate) last_seen_at: Mono,
    silence_allowance: SilenceAllowance,
    /// Version of the view in which the state of the VM last changed.
    pub(crate) changed_version: u64,
}

impl Member {
    pub(crate) fn new(listed: ListedVm, now: Mono) -> Self {
        Self {
            listed,
            is_listed: false,
            incarnation: None,
            round: 0,
            reported_leaving: false,
            isolated: false,
            load: None,
            is_suspected: false,
            unrefuted_round: None,
            is_monitored: false,
            last_seen_at: now,
            silence_allowance: SilenceAllowance::default(),
            changed_version: 0,
        }
    }

    /// Applies the platform's list. Its statement that the VM is leaving stays in force until a
    /// newer list withdraws it.
    pub(crate) fn set_listed(&mut self, listed: &ListedVm) {
        self.is_listed = true;
        let has_announcement = self.incarnation.is_some();
        if has_announcement {
            self.listed.leaving = listed.leaving;
        } else {
            self.listed = listed.clone();
        }
    }

    /// Expects heartbeats from now on.
    pub(crate) fn monitor(&mut self, now: Mono) {
        if !self.is_monitored {
            self.is_monitored = true;
            self.last_seen_at = now;
        }
    }

    pub(crate) fn stop_monitoring(&mut self) {
        self.is_monitored = false;
    }

    /// Applies a heartbeat of the VM. Returns whether it was accepted.
    pub(crate) fn receive_heartbeat(
        &mut self,
        from: &Announcement,
        evidence_valid_for: Duration,
        now: Mono,
    ) -> bool {
        if !self.accepts_incarnation(from.incarnation, evidence_valid_for, now) {
            return false;
        }
        if self.state() == EntryState::Suspected {
            self.unrefuted_round = Some(self.round);
        }
        self.apply(from);
        self.unrefuted_round = self.unrefuted_round.filter(|round| from.round <= *round);
        self.clear_suspicion(now);
        self.last_seen_at = now;
        true
    }

    /// Applies an update received from another VM. Returns whether it changed the state.
    pub(crate) fn receive_update(
        &mut self,
        update: &MemberUpdate,
        evidence_valid_for: Duration,
        now: Mono,
    ) -> bool {
        let about = &update.about;
        let seen_recently = self.is_monitored && now.since(self.last_seen_at) <= evidence_valid_for;
        let before = self.comparable_state();
        if self.incarnation != Some(about.incarnation) {
            if seen_recently || !self.accepts_update_of_incarnation(update) {
                return false;
            }
            self.apply(about);
            self.is_suspected = update.suspected;
            return true;
        }
        self.reported_leaving |= about.listed.leaving;
        self.merge_statements(about);
        if update.suspected && about.round >= self.round && !seen_recently {
            self.suspect(now);
        }
        if !update.suspected && about.round > self.round {
            self.clear_suspicion(now);
        }
        self.round = self.round.max(about.round);
        before != self.comparable_state()
    }

    /// Returns whether a heartbeat of an incarnation may replace the known one.
    ///
    /// A paused VM may be replaced under its name and resume later, so that both incarnations send
    /// heartbeats. The known one is kept while it is seen: the two cannot alternate, and a late
    /// message of an ended incarnation has no effect.
    fn accepts_incarnation(
        &self,
        incarnation: Incarnation,
        evidence_valid_for: Duration,
        now: Mono,
    ) -> bool {
        let Some(known) = self.incarnation else { return true };
        let is_silent = now.since(self.last_seen_at) > evidence_valid_for;
        known == incarnation || is_silent || self.is_suspected || self.reported_leaving
    }

    /// Returns whether an update about an incarnation other than the known one is accepted: always
    /// for a later one; for an earlier one only if the update reports it as live and the known one
    /// is not.
    ///
    /// When hundreds of VMs restart, some entries still know the earlier incarnations as dead and
    /// others the new ones. If each accepted the update received last, they would overwrite each
    /// other's state in turn, and the fleet would advertise ever-changing entries long after the
    /// start.
    fn accepts_update_of_incarnation(&self, update: &MemberUpdate) -> bool {
        let is_dead = |suspected: bool, leaving: bool| suspected || leaving;
        let is_later = self.incarnation.is_none_or(|known| update.about.incarnation > known);
        let known_is_dead = is_dead(self.is_suspected, self.reported_leaving);
        is_later || (known_is_dead && !is_dead(update.suspected, update.about.listed.leaving))
    }

    fn apply(&mut self, from: &Announcement) {
        if self.incarnation != Some(from.incarnation) {
            self.incarnation = Some(from.incarnation);
            self.round = 0;
            self.reported_leaving = false;
            self.isolated = from.isolated;
            self.load = from.load;
            self.silence_allowance = SilenceAllowance::default();
            self.unrefuted_round = None;
        }
        let leaving = self.listed.leaving && self.is_listed;
        self.listed = ListedVm { leaving, ..from.listed.clone() };
        self.reported_leaving |= from.listed.leaving;
        self.merge_statements(from);
        self.round = self.round.max(from.round);
    }

    /// Applies what an announcement of the known incarnation states about its isolation and load.
    ///
    /// A VM raises its round with each change, so within one round an announcement without a
    /// statement has passed through an entry that does not forward it.
    fn merge_statements(&mut self, about: &Announcement) {
        if about.round > self.round {
            self.isolated = about.isolated;
            self.load = about.load;
        } else if about.round == self.round {
            self.isolated |= about.isolated;
            self.load = about.load.or(self.load);
        }
    }

    pub(crate) fn leave(&mut self) {
        self.reported_leaving = true;
    }

    /// Sets whether the VM of this process is isolated. Returns whether that has changed.
    pub(crate) fn set_isolated(&mut self, isolated: bool) -> bool {
        std::mem::replace(&mut self.isolated, isolated) != isolated
    }

    /// Sets the load of the VM of this process.
    pub(crate) fn set_load(&mut self, load: LoadLevel) {
        self.load = Some(load);
    }

    pub(crate) fn load(&self) -> Option<LoadLevel> {
        self.load
    }

    pub(crate) fn isolated(&self) -> bool {
        self.isolated
    }

    /// Suspects a monitored VM that has been silent for too long. Returns whether it was not
    /// suspected before.
    pub(crate) fn suspect_if_silent(&mut self, usual_silence: Duration, now: Mono) -> bool {
        let allowed_silence = self.silence_allowance.silence(usual_silence, now);
        let is_silent = self.is_monitored && now.since(self.last_seen_at) > allowed_silence;
        if !is_silent || self.is_suspected {
            return false;
        }
        self.suspect(now);
        true
    }

    fn suspect(&mut self, now: Mono) {
        if !self.is_suspected {
            self.is_suspected = true;
            self.silence_allowance.record_suspicion(now);
        }
    }

    fn clear_suspicion(&mut self, now: Mono) {
        self.is_suspected = false;
        self.silence_allowance.record_sign_of_life(now);
    }

    pub(crate) fn handle_resume(&mut self, now: Mono) {
        self.last_seen_at = now;
    }

    fn comparable_state(&self) -> (EntryState, Option<Incarnation>, u32, bool, Option<LoadLevel>) {
        (self.state(), self.incarnation, self.round, self.isolated, self.load)
    }

    pub(crate) fn state(&self) -> EntryState {
        if self.reported_leaving || self.listed.leaving {
            return EntryState::Leaving;
        }
        if self.is_suspected { EntryState::Suspected } else { EntryState::Live }
    }

    pub(crate) fn entry(&self) -> EntryVm {
        EntryVm {
            vm: self.listed.vm.clone(),
            failure_domain: self.listed.failure_domain.clone(),
            callers: self.listed.callers,
            peers: self.listed.peers,
            incarnation: self.incarnation,
            state: self.state(),
            isolated: self.isolated,
            load: self.load,
            capacity: self.listed.capacity,
        }
    }

    /// Returns an update about this VM; `None` if no incarnation of it is known.
    pub(crate) fn update(&self) -> Option<MemberUpdate> {
        let listed = ListedVm { leaving: self.reported_leaving, ..self.listed.clone() };
        let incarnation = self.incarnation?;
        let Self { round, isolated, load, .. } = *self;
        let about = Announcement { listed, incarnation, round, isolated, load };
        Some(MemberUpdate { about, suspected: self.is_suspected })
    }

    /// Returns the suspicion that the VM still has to refute, as an update to send to it.
    pub(crate) fn unrefuted_suspicion(&self) -> Option<MemberUpdate> {
        let round = self.unrefuted_round?;
        let update = self.update()?;
        Some(MemberUpdate { about: Announcement { round, ..update.about }, suspected: true })
    }
}
