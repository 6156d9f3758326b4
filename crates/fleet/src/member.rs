//! One entry's part in its fleet: what it knows of the others, says to them, and whom it calls.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use shallotfork_membership::{Announcement, MemberUpdate, MembershipView, ViewConfig};
use shallotfork_types::{Endpoint, Mono, VmId};

use crate::beat::FleetHeartbeat;
use crate::beliefs::{FleetView, Known};
use crate::outreach::{all_known, some_known};
use crate::pace::{HEARTBEAT_PERIOD, near_periods};
use crate::sight::PlatformAvailability;
use crate::told::Told;
use crate::words::Words;

/// Silence after which an entry that is heard at every period is suspected: three heartbeats and the
/// way.
const SUSPECT_AFTER: Duration = Duration::from_millis(500);
/// Heartbeats to heads that carry the same news; whoever misses all of them hears by the comparison of
/// heads.
const NEWS_SENDS: u32 = 12;
/// News in one heartbeat; the loss of half of all heads is told within a few.
const NEWS_MAX: usize = 24;
/// Heartbeats to the watched ones between two calls of others, by which parts of a fleet that were
/// cut from each other find together again.
const OUTREACH_EVERY: u32 = 7;
/// Calls in a row without an answer, made at each period once one has failed, after which an entry is
/// suspected. One or two can be lost with a packet.
const UNANSWERED_MAX: u32 = 3;
/// Silence that an entry allows the others beside the usual one, as a multiple of how late it is
/// itself: its call waits that long and the answer does, and either may wait twice as long as on average.
const LATENESS_FACTOR: u32 = 4;

/// What this process knows of itself, beside its name and place.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OwnState {
    /// Whether it knows routes.
    pub is_synced: bool,
    /// Whether a planned stop is under way.
    pub is_leaving: bool,
    /// Whether it reads the platform now.
    pub is_reader: bool,
    /// How many targets it knows.
    pub target_count: usize,
    /// Whether its work waits for the processor.
    pub is_overloaded: bool,
    /// How late it does its work, heartbeats among it.
    pub scheduling_delay: Duration,
}

/// What the beliefs follow from; they are made anew when it has changed. With hundreds of entries,
/// sorting them for each heartbeat would take most of the processor time of a small VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Basis {
    view_version: u64,
    words_version: u64,
    synced: bool,
    leaving: bool,
    blind: bool,
    targets: usize,
    near_periods: u32,
}

/// An entry as part of its fleet. Does no I/O: it is told what was heard, and says what to send.
#[derive(Debug)]
pub struct FleetMember {
    own: Announcement,
    own_state: OwnState,
    view: MembershipView,
    /// Whether the platform answers. Open to whoever calls the platform, since what comes of these
    /// calls concerns nothing else here.
    pub platform: PlatformAvailability,
    /// What entries say of themselves.
    words: Words,
    /// Live entries of the own failure domain, by the word of the first ones there.
    told_domain_entries: u32,
    /// What other entries were told.
    told: BTreeMap<VmId, Told>,
    beliefs: Option<(Basis, Rc<FleetView>)>,
    /// Periods since the start.
    periods: u32,
    /// Periods between two heartbeats to the watched ones, as of the last period.
    watched_periods: u32,
    /// Calls in a row that watched entries have not answered.
    unanswered: BTreeMap<VmId, u32>,
}

impl FleetMember {
    /// An entry that knows only itself.
    pub fn new(own: Announcement, now: Mono) -> Self {
        let config = ViewConfig {
            suspect_after: SUSPECT_AFTER,
            evidence_for: SUSPECT_AFTER,
            news_sends: NEWS_SENDS,
            news_max: NEWS_MAX,
            ..ViewConfig::default()
        };
        Self {
            view: MembershipView::new(config, &own, now),
            own,
            own_state: OwnState::default(),
            platform: PlatformAvailability::new(),
            words: Words::default(),
            told_domain_entries: 0,
            told: BTreeMap::new(),
            beliefs: None,
            periods: 0,
            watched_periods: 1,
            unanswered: BTreeMap::new(),
        }
    }

    /// What this process knows of itself.
    pub fn own_state(&self) -> OwnState {
        self.own_state
    }

    /// Changes what this process knows of itself.
    pub fn set_own_state(&mut self, own_state: OwnState) {
        if own_state.is_leaving && !self.own_state.is_leaving {
            self.view.leave();
        }
        self.own_state = own_state;
    }

    /// This process was paused: the others look silent although only its own clock ran on.
    pub fn handle_resume(&mut self, now: Mono) {
        self.view.handle_resume(now);
    }

    /// What is believed now.
    pub fn view(&mut self, now: Mono) -> Rc<FleetView> {
        let basis = self.basis();
        let holds = |beliefs: &FleetView| beliefs.hold_until.is_none_or(|until| now < until);
        if let Some((kept_basis, kept)) = &self.beliefs
            && *kept_basis == basis
            && holds(kept)
        {
            return Rc::clone(kept);
        }
        let made = Rc::new(FleetView::new(self.known(now)));
        self.view.set_passed_on(made.core_entries.clone());
        self.view.set_relays(made.contacts.relays);
        self.beliefs = Some((basis, Rc::clone(&made)));
        made
    }

    /// Whether this entry should read the platform: it is one of the readers, or hears none of them.
    pub fn should_read(&mut self, now: Mono) -> bool {
        let beliefs = self.view(now);
        let contacts = &beliefs.contacts;
        let way = if contacts.monitors_readers {
            Duration::ZERO
        } else {
            HEARTBEAT_PERIOD * contacts.watched_periods
        };
        beliefs.readers.contains(self.own_vm()) || self.platform.misses_readers(way, now)
    }

    /// Begins a period: notices who has been silent, and says whom to call.
    pub fn start_period(
        &mut self,
        seeds: &[Endpoint],
        rng: &mut impl Rng,
        now: Mono,
    ) -> BTreeSet<Endpoint> {
        self.words.note_own(self.own_state.is_overloaded, now);
        let beliefs = self.view(now);
        self.watch(&beliefs, now);
        let period = self.periods;
        self.periods = self.periods.wrapping_add(1);
        let mut called = if beliefs.is_alone(self.own_vm()) {
            all_known(&beliefs, seeds, rng)
        } else {
            self.due(&beliefs, period)
        };
        if is_outreach(&beliefs, period) {
            self.told.retain(|_, told| !told.is_old(now));
            called.extend(some_known(&beliefs, &self.own.listed.failure_domain, seeds, rng));
        }
        called.remove(&self.own.listed.peers);
        called
    }

    /// Where connections are kept, when it is time to close all others; `None` at most periods, since
    /// what is called by chance may be called again.
    pub fn connections_to_keep(&mut self, now: Mono) -> Option<BTreeSet<Endpoint>> {
        let beliefs = self.view(now);
        let due = is_outreach(&beliefs, self.periods.wrapping_sub(1));
        let contacts = beliefs.contacts.watched.iter().chain(&beliefs.contacts.in_turn);
        due.then(|| contacts.filter_map(|vm| beliefs.endpoint(vm)).collect())
    }

    /// Whom to tell at once that this process leaves, as it was believed before: one that callers are
    /// sent to, or whose word is passed on, tells every entry that it knows; any other those that it
    /// exchanges heartbeats with.
    pub fn leave(&mut self, now: Mono) -> Vec<Endpoint> {
        let before = self.view(now);
        self.set_own_state(OwnState { is_leaving: true, ..self.own_state });
        let contacts = &before.contacts;
        let told = before.order.iter().map(|entry| &entry.vm).filter(|vm| {
            *vm != self.own_vm() && (contacts.relays || contacts.watched.contains(vm))
        });
        told.filter_map(|vm| before.endpoint(vm)).collect()
    }

    /// What to say to an entry.
    ///
    /// Heads that differ are told until they agree. News is passed on a bounded number of times, so
    /// that in a large fleet some never reach an entry that is busy or cut off for a moment; it would
    /// send callers to other entries than the rest of the fleet for ever.
    pub fn heartbeat_for(&mut self, to: &VmId, now: Mono) -> FleetHeartbeat {
        let beliefs = self.view(now);
        let news = self.due_news(&beliefs, to, now);
        let round = self.view.own_round();
        let mut from = Announcement { round, ..self.own.clone() };
        from.listed.leaving = self.own_state.is_leaving;
        FleetHeartbeat {
            from,
            is_starting: !self.own_state.is_synced,
            updates: news.into_values().collect(),
            core_digest: beliefs.digest,
            is_disconnected: self.platform.is_disconnected(),
            platform: self.platform.ages(self.own_state.is_reader, now),
            domain_entries: beliefs.domain_entries,
            is_overloaded: self.words.is_own_behind(),
        }
    }

    /// A call was not answered in time, or could not be made.
    ///
    /// In a large failure domain most entries call the first ones there seldom. If they waited for
    /// the silence of several such calls, they would name lost entries to callers for two seconds.
    pub fn record_unanswered_call(&mut self, endpoint: Endpoint, now: Mono) {
        let beliefs = self.view(now);
        let mut watched = beliefs.contacts.watched.iter();
        let Some(vm) = watched.find(|vm| beliefs.endpoint(vm) == Some(endpoint)) else { return };
        let count = self.unanswered.entry(vm.clone()).or_default();
        *count += 1;
        if *count >= UNANSWERED_MAX {
            self.unanswered.remove(vm);
            self.view.suspect(vm, now);
        }
    }

    /// Takes what another entry says.
    pub fn receive_heartbeat(&mut self, beat: &FleetHeartbeat, now: Mono) {
        let vm = &beat.from.listed.vm;
        let known = self.view.knows_run(vm, beat.from.incarnation);
        self.view.receive_heartbeat(&beat.from, now);
        self.unanswered.remove(vm);
        for news in &beat.updates {
            self.view.receive_update(news, now);
        }
        self.words.note(beat, now);
        let beliefs = self.view(now);
        self.note_source(&beliefs, beat, now);
        self.note_domain_entries(&beliefs, beat);
        if !known {
            self.told.remove(vm);
        }
        let told = self.told.entry(vm.clone()).or_insert_with(|| Told::new(now));
        told.compared(beat.core_digest == beliefs.digest, self.view.version(), now);
    }

    fn own_vm(&self) -> &VmId {
        &self.own.listed.vm
    }

    fn basis(&self) -> Basis {
        Basis {
            view_version: self.view.version(),
            words_version: self.words.version(),
            synced: self.own_state.is_synced,
            leaving: self.own_state.is_leaving,
            blind: self.platform.is_disconnected(),
            targets: self.own_state.target_count,
            near_periods: near_periods(self.told_domain_entries as usize),
        }
    }

    fn known(&self, now: Mono) -> Known<'_> {
        let mut blind = self.words.blind().clone();
        if self.platform.is_disconnected() {
            blind.insert(self.own_vm().clone());
        }
        Known {
            own: &self.own,
            entries: self.view.entries(),
            starting: self.words.starting(now),
            behind: self.words.behind(now),
            is_behind: self.words.is_own_behind(),
            blind,
            serves: self.own_state.is_synced && !self.own_state.is_leaving,
            leaving: self.own_state.is_leaving,
            targets: self.own_state.target_count,
            told_domain_entries: self.told_domain_entries,
        }
    }

    /// Notices the silence of those whose heartbeats come at regular periods.
    ///
    /// An entry that is late itself both calls late and reads the answers late; the others are not
    /// silent for that.
    fn watch(&mut self, beliefs: &FleetView, now: Mono) {
        let contacts = &beliefs.contacts;
        let silence = SUSPECT_AFTER.max(HEARTBEAT_PERIOD * contacts.watched_periods * 3);
        let silence = silence + self.own_state.scheduling_delay * LATENESS_FACTOR;
        self.view.set_suspect_after(silence);
        if contacts.watched_periods < self.watched_periods {
            // They have been called less often until now, and are not silent for that.
            self.view.monitor(&BTreeSet::new(), now);
        }
        self.watched_periods = contacts.watched_periods;
        self.view.monitor(&contacts.watched.iter().cloned().collect(), now);
        self.view.expire(now);
    }

    /// Contacts that are called at a period.
    fn due(&self, beliefs: &FleetView, period: u32) -> BTreeSet<Endpoint> {
        let contacts = &beliefs.contacts;
        let mut due: Vec<&VmId> = Vec::new();
        if period.is_multiple_of(contacts.watched_periods) {
            due.extend(&contacts.watched);
        }
        due.extend(contacts.watched.iter().filter(|vm| self.unanswered.contains_key(vm)));
        if period.is_multiple_of(contacts.in_turn_periods) && !contacts.in_turn.is_empty() {
            let turn = (period / contacts.in_turn_periods) as usize % contacts.in_turn.len();
            due.push(&contacts.in_turn[turn]);
        }
        due.into_iter().filter_map(|vm| beliefs.endpoint(vm)).collect()
    }

    /// News by the VM that it is about.
    fn due_news(
        &mut self,
        beliefs: &FleetView,
        to: &VmId,
        now: Mono,
    ) -> BTreeMap<VmId, MemberUpdate> {
        // The others hear by the comparison of heads.
        let mut news = if beliefs.core_entries.contains(to) {
            self.view.take_due_updates()
        } else {
            Vec::new()
        };
        let version = self.view.version();
        let since = self.told.get_mut(to).and_then(|told| told.take_due(version, now));
        news.extend(since.map_or_else(Vec::new, |since| self.view.news_since(since)));
        news.extend(self.view.suspicion_of(to));
        news.into_iter().map(|news| (news.about.listed.vm.clone(), news)).collect()
    }

    /// Those who read the platform say whether it answers them; others pass on what they heard.
    fn note_source(&mut self, beliefs: &FleetView, beat: &FleetHeartbeat, now: Mono) {
        if beliefs.readers.contains(&beat.from.listed.vm) {
            self.platform.told(!beat.is_disconnected, now);
        } else if !beliefs.contacts.monitors_readers {
            self.platform.relayed(beat.platform, now);
        }
    }

    /// The first ones of the own failure domain know how many stand there.
    fn note_domain_entries(&mut self, beliefs: &FleetView, beat: &FleetHeartbeat) {
        let listed = &beat.from.listed;
        let here = listed.failure_domain == self.own.listed.failure_domain;
        if here && !beliefs.contacts.relays && beliefs.contacts.watched.contains(&listed.vm) {
            self.told_domain_entries = beat.domain_entries;
        }
    }
}

fn is_outreach(beliefs: &FleetView, period: u32) -> bool {
    period.is_multiple_of(OUTREACH_EVERY * beliefs.contacts.watched_periods)
}
