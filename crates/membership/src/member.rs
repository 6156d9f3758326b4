//! What a view remembers of one VM.

use std::time::Duration;

use shallotfork_types::{Incarnation, Mono};

use crate::leniency::Leniency;
use crate::{Announcement, EntryState, EntryVm, ListedVm, MemberUpdate};

#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) listed: ListedVm,
    pub(crate) on_list: bool,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) round: u32,
    said_leaving: bool,
    suspected: bool,
    /// The round of a suspicion that ended when this run was heard, and that the run has not refuted
    /// by a higher one.
    unrefuted_round: Option<u32>,
    /// Whether heartbeats are exchanged with it, so that its silence means something.
    watched: bool,
    pub(crate) quiet_since: Mono,
    leniency: Leniency,
    /// Version of the view at which the belief changed last.
    pub(crate) changed_at: u64,
}

impl Member {
    pub(crate) fn new(listed: ListedVm, now: Mono) -> Self {
        Self {
            listed,
            on_list: false,
            incarnation: None,
            round: 0,
            said_leaving: false,
            suspected: false,
            unrefuted_round: None,
            watched: false,
            quiet_since: now,
            leniency: Leniency::default(),
            changed_at: 0,
        }
    }

    /// Takes the platform's account; its word on leaving counts until a newer list takes it back.
    pub(crate) fn set_listed(&mut self, listed: &ListedVm) {
        self.on_list = true;
        let known_better = self.incarnation.is_some();
        if known_better {
            self.listed.leaving = listed.leaving;
        } else {
            self.listed = listed.clone();
        }
    }

    /// Starts to expect heartbeats from now on.
    pub(crate) fn monitor(&mut self, now: Mono) {
        if !self.watched {
            self.watched = true;
            self.quiet_since = now;
        }
    }

    pub(crate) fn unwatch(&mut self) {
        self.watched = false;
    }

    /// Takes direct evidence; returns whether it counted.
    pub(crate) fn receive_heartbeat(
        &mut self,
        from: &Announcement,
        fresh: Duration,
        now: Mono,
    ) -> bool {
        if !self.may_become(from.incarnation, fresh, now) {
            return false;
        }
        if self.state() == EntryState::Suspected {
            self.unrefuted_round = Some(self.round);
        }
        self.take(from);
        self.unrefuted_round = self.unrefuted_round.filter(|round| from.round <= *round);
        self.clear_suspicion(now);
        self.quiet_since = now;
        true
    }

    /// Takes hearsay; returns whether it changed the belief.
    pub(crate) fn receive_update(
        &mut self,
        news: &MemberUpdate,
        fresh: Duration,
        now: Mono,
    ) -> bool {
        let about = &news.about;
        let heard_lately = self.watched && now.since(self.quiet_since) <= fresh;
        let before = self.belief();
        if self.incarnation != Some(about.incarnation) {
            if heard_lately || !self.is_news_of_another_run(news) {
                return false;
            }
            self.take(about);
            self.suspected = news.suspected;
            return true;
        }
        self.said_leaving |= about.listed.leaving;
        if news.suspected && about.round >= self.round && !heard_lately {
            self.suspect(now);
        }
        if !news.suspected && about.round > self.round {
            self.clear_suspicion(now);
        }
        self.round = self.round.max(about.round);
        before != self.belief()
    }

    /// Whether another run of the process may take the place of the known one.
    ///
    /// A paused VM may be replaced under its name and wake up later; both runs then speak. The
    /// known one stays for as long as it is heard, so that the two cannot take turns and a late
    /// message of an ended run changes nothing.
    fn may_become(&self, incarnation: Incarnation, fresh: Duration, now: Mono) -> bool {
        let Some(known) = self.incarnation else { return true };
        let silent = now.since(self.quiet_since) > fresh;
        known == incarnation || silent || self.suspected || self.said_leaving
    }

    /// Whether hearsay of a run that is not the known one is to be believed: of a later run always, of
    /// an earlier one only that it lives when the known one does not.
    ///
    /// Hundreds of VMs start anew. Some remember their earlier runs as dead, others know the new ones;
    /// were either to believe whatever it is told last, they would convince each other in turn, and
    /// the fleet would go on sending callers to ever different entries long after the start.
    fn is_news_of_another_run(&self, news: &MemberUpdate) -> bool {
        let dead = |suspected: bool, leaving: bool| suspected || leaving;
        let is_later = self.incarnation.is_none_or(|known| news.about.incarnation > known);
        let known_is_dead = dead(self.suspected, self.said_leaving);
        is_later || (known_is_dead && !dead(news.suspected, news.about.listed.leaving))
    }

    fn take(&mut self, from: &Announcement) {
        if self.incarnation != Some(from.incarnation) {
            self.incarnation = Some(from.incarnation);
            self.round = 0;
            self.said_leaving = false;
            self.leniency = Leniency::default();
            self.unrefuted_round = None;
        }
        let leaving = self.listed.leaving && self.on_list;
        self.listed = ListedVm { leaving, ..from.listed.clone() };
        self.said_leaving |= from.listed.leaving;
        self.round = self.round.max(from.round);
    }

    pub(crate) fn leave(&mut self) {
        self.said_leaving = true;
    }

    /// Suspects a watched VM that has been silent for too long; returns whether that is new.
    pub(crate) fn suspect_if_silent(&mut self, after: Duration, now: Mono) -> bool {
        let after = self.leniency.silence(after, now);
        let silent = self.watched && now.since(self.quiet_since) > after;
        if !silent || self.suspected {
            return false;
        }
        self.suspect(now);
        true
    }

    fn suspect(&mut self, now: Mono) {
        if !self.suspected {
            self.suspected = true;
            self.leniency.suspected(now);
        }
    }

    fn clear_suspicion(&mut self, now: Mono) {
        self.suspected = false;
        self.leniency.proved_alive(now);
    }

    pub(crate) fn handle_resume(&mut self, now: Mono) {
        self.quiet_since = now;
    }

    fn belief(&self) -> (EntryState, Option<Incarnation>, u32) {
        (self.state(), self.incarnation, self.round)
    }

    pub(crate) fn state(&self) -> EntryState {
        if self.said_leaving || self.listed.leaving {
            return EntryState::Leaving;
        }
        if self.suspected { EntryState::Suspected } else { EntryState::Live }
    }

    pub(crate) fn entry(&self) -> EntryVm {
        EntryVm {
            vm: self.listed.vm.clone(),
            failure_domain: self.listed.failure_domain.clone(),
            callers: self.listed.callers,
            peers: self.listed.peers,
            incarnation: self.incarnation,
            state: self.state(),
            capacity: self.listed.capacity,
        }
    }

    /// News about this VM; `None` when no run of it was ever heard of.
    pub(crate) fn news(&self) -> Option<MemberUpdate> {
        let listed = ListedVm { leaving: self.said_leaving, ..self.listed.clone() };
        let incarnation = self.incarnation?;
        let about = Announcement { listed, incarnation, round: self.round };
        Some(MemberUpdate { about, suspected: self.suspected })
    }

    /// The suspicion that its VM still has to refute, as news for it.
    pub(crate) fn unrefuted_suspicion(&self) -> Option<MemberUpdate> {
        let round = self.unrefuted_round?;
        let news = self.news()?;
        Some(MemberUpdate { about: Announcement { round, ..news.about }, suspected: true })
    }
}
