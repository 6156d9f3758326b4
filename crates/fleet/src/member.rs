//! An entry as a member of its fleet: its state, the heartbeats that it sends, and the entries that
//! it calls.

mod demand;
mod load;
mod received;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use shallotfork_membership::{Announcement, MemberUpdate, MembershipView, ViewConfig};
use shallotfork_types::{Endpoint, Mono, VmId};

use crate::core_sync::{CoreComparison, CoreSync};
use crate::demand_exchange::DemandExchange;
use crate::discovery::{calls_when_alone, discovery_calls};
use crate::fleet_load::{AdvertisedSince, FleetLoad, RecentLoad};
use crate::fleet_view::{FleetView, ViewInputs};
use crate::heartbeat::FleetHeartbeat;
use crate::intervals::{HEARTBEAT_PERIOD, local_interval_periods};
use crate::own_load::OwnLoad;
use crate::platform_availability::PlatformAvailability;
use crate::reported_states::ReportedStates;

/// Silence after which an entry that sends heartbeats in every period is suspected: three
/// heartbeats and the network delay.
const SUSPECT_AFTER: Duration = Duration::from_millis(500);
/// Number of heartbeats to core entries that carry the same update. An entry that misses all of
/// them receives it after the comparison of core digests.
const UPDATE_SENDS: u32 = 12;
/// Maximum number of updates in one heartbeat. A few heartbeats are enough to propagate the loss of
/// half of all core entries.
const UPDATES_MAX: usize = 24;
/// Heartbeats to the monitored entries between two discovery calls, by which the parts of a
/// partitioned fleet find each other again.
const DISCOVERY_EVERY: u32 = 7;
/// Number of consecutive unanswered calls after which an entry is suspected. Once a call has
/// failed, it is repeated in every period. One or two can fail because of a lost packet.
const UNANSWERED_MAX: u32 = 3;
/// Additional silence allowed to other entries, as a multiple of the scheduling delay of this
/// entry: both its call and the processing of the response wait that long, and each may wait twice
/// the average.
const SCHEDULING_DELAY_FACTOR: u32 = 4;

/// The state of this process, except for its name and addresses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OwnState {
    /// Whether the process has routes.
    pub is_synced: bool,
    /// Whether a planned stop is in progress.
    pub is_leaving: bool,
    /// Whether the process currently reads the platform.
    pub is_reader: bool,
    /// Number of known targets.
    pub target_count: usize,
    /// Whether callers notice the scheduling delay of the process.
    pub is_overloaded: bool,
    /// How long runnable work, including heartbeats, waits for the processor.
    pub scheduling_delay: Duration,
}

/// The inputs of the cached view, which is computed again when they change. With hundreds of
/// entries, ranking them for each heartbeat would use most of the processor time of a small VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ViewCacheKey {
    membership_version: u64,
    reports_version: u64,
    is_synced: bool,
    is_leaving: bool,
    is_disconnected: bool,
    load: FleetLoad,
    local_interval_periods: u32,
}

/// An entry as a member of its fleet. Does no I/O: it processes received heartbeats and returns
/// what to send.
#[derive(Debug)]
pub struct FleetMember {
    own: Announcement,
    own_state: OwnState,
    membership: MembershipView,
    /// Availability of the platform. Public, so that the code that calls the platform can record
    /// the results. Recording them involves no other field.
    pub platform: PlatformAvailability,
    /// States that entries report about themselves.
    reports: ReportedStates,
    /// Number of live entries in this entry's failure domain, as reported by the leading entries
    /// there.
    reported_domain_entries: u32,
    /// Synchronization of the core entries with each other entry.
    core_syncs: BTreeMap<VmId, CoreSync>,
    /// Demand of advertised entries.
    demands: DemandExchange,
    /// When this entry reports its load.
    own_load: OwnLoad,
    /// Load of the fleet in the last seconds.
    recent_load: RecentLoad,
    /// Since when entries have been advertised, so that their reports can be expected.
    advertised_since: AdvertisedSince,
    cached_view: Option<(ViewCacheKey, Rc<FleetView>)>,
    /// Number of periods since the start.
    period_count: u32,
    /// Interval between two heartbeats to the monitored entries, as of the last period.
    monitored_interval_periods: u32,
    /// Number of consecutive unanswered calls to each monitored entry.
    unanswered_calls: BTreeMap<VmId, u32>,
}

impl FleetMember {
    /// Creates a member that knows only itself.
    pub fn new(own: Announcement, now: Mono) -> Self {
        let config = ViewConfig {
            suspect_after: SUSPECT_AFTER,
            evidence_valid_for: SUSPECT_AFTER,
            update_sends: UPDATE_SENDS,
            updates_max: UPDATES_MAX,
            ..ViewConfig::default()
        };
        Self {
            membership: MembershipView::new(config, &own, now),
            demands: DemandExchange::new(own.listed.vm.clone(), own.incarnation),
            own,
            own_state: OwnState::default(),
            platform: PlatformAvailability::new(),
            reports: ReportedStates::default(),
            reported_domain_entries: 0,
            core_syncs: BTreeMap::new(),
            own_load: OwnLoad::default(),
            recent_load: RecentLoad::new(now),
            advertised_since: AdvertisedSince::default(),
            cached_view: None,
            period_count: 0,
            monitored_interval_periods: 1,
            unanswered_calls: BTreeMap::new(),
        }
    }

    /// Returns the state of this process.
    pub fn own_state(&self) -> OwnState {
        self.own_state
    }

    /// Sets the state of this process.
    pub fn set_own_state(&mut self, own_state: OwnState) {
        if own_state.is_leaving && !self.own_state.is_leaving {
            self.membership.leave();
        }
        self.own_state = own_state;
    }

    /// Handles a pause of this process, after which the others seem silent although only its own
    /// clock has advanced.
    pub fn handle_resume(&mut self, now: Mono) {
        self.membership.handle_resume(now);
    }

    /// Returns the current view of the fleet.
    pub fn view(&mut self, now: Mono) -> Rc<FleetView> {
        let load = self.update_load(now);
        let cache_key = self.view_cache_key(load);
        let is_valid = |view: &FleetView| view.valid_until.is_none_or(|until| now < until);
        if let Some((cached_key, cached)) = &self.cached_view
            && *cached_key == cache_key
            && is_valid(cached)
        {
            return Rc::clone(cached);
        }
        let view = Rc::new(FleetView::new(self.view_inputs(load, now)));
        self.membership.set_propagated(view.core_entries.clone());
        self.membership.set_forwards_updates(view.contacts.forwards_updates);
        self.advertised_since.update(view.advertised.iter().map(|entry| &entry.vm), now);
        self.demands.set_advertised(view.advertised.iter().map(|entry| &entry.vm), now);
        self.demands.set_live_domains(view.live_domains());
        self.cached_view = Some((cache_key, Rc::clone(&view)));
        view
    }

    /// Returns whether this entry should read the platform: it is one of the readers, or no reader
    /// has been seen for too long.
    pub fn should_read(&mut self, now: Mono) -> bool {
        let view = self.view(now);
        let contacts = &view.contacts;
        let delay = if contacts.monitors_readers {
            Duration::ZERO
        } else {
            HEARTBEAT_PERIOD * contacts.monitored_interval_periods
        };
        view.readers.contains(self.own_vm()) || self.platform.is_missing_readers(delay, now)
    }

    /// Starts a period: detects silent entries and returns the endpoints to call.
    pub fn start_period(
        &mut self,
        seeds: &[Endpoint],
        rng: &mut impl Rng,
        now: Mono,
    ) -> BTreeSet<Endpoint> {
        self.reports.record_own(self.own_state.is_overloaded, now);
        let view = self.view(now);
        self.detect_silence(&view, now);
        let period = self.period_count;
        self.period_count = self.period_count.wrapping_add(1);
        let mut calls = if view.is_alone(self.own_vm()) {
            calls_when_alone(&view, seeds, rng)
        } else {
            self.due_contacts(&view, period)
        };
        if is_discovery_period(&view, period) {
            self.core_syncs.retain(|_, sync| !sync.is_expired(now));
            calls.extend(discovery_calls(&view, &self.own.listed.failure_domain, seeds, rng));
        }
        calls.remove(&self.own.listed.peers);
        calls
    }

    /// Returns the endpoints whose connections are kept when all others are to be closed. Returns
    /// `None` in most periods, since an entry called at random may be called again.
    pub fn connections_to_keep(&mut self, now: Mono) -> Option<BTreeSet<Endpoint>> {
        let view = self.view(now);
        let is_due = is_discovery_period(&view, self.period_count.wrapping_sub(1));
        let contacts = view.contacts.monitored.iter().chain(&view.contacts.rotating);
        is_due.then(|| contacts.filter_map(|vm| view.endpoint(vm)).collect())
    }

    /// Starts to leave the fleet and returns the endpoints to notify at once, according to the view
    /// before.
    pub fn leave(&mut self, now: Mono) -> Vec<Endpoint> {
        let before = self.view(now);
        self.set_own_state(OwnState { is_leaving: true, ..self.own_state });
        self.endpoints_to_notify(&before)
    }

    /// Records whether this process reaches no target, and returns the endpoints to notify at once,
    /// according to the view before. Entries that were to learn it by the next heartbeats would
    /// send callers here meanwhile.
    pub fn set_isolated(&mut self, isolated: bool, now: Mono) -> Vec<Endpoint> {
        let before = self.view(now);
        self.membership.set_own_isolated(isolated);
        self.endpoints_to_notify(&before)
    }

    /// Returns the endpoints to notify of a change of this entry: an entry that forwards updates, as
    /// advertised entries do, notifies all entries that it knows; any other one only those that it
    /// exchanges heartbeats with.
    fn endpoints_to_notify(&self, view: &FleetView) -> Vec<Endpoint> {
        let contacts = &view.contacts;
        let notified = view.ranking.iter().map(|entry| &entry.vm).filter(|vm| {
            *vm != self.own_vm() && (contacts.forwards_updates || contacts.monitored.contains(vm))
        });
        notified.filter_map(|vm| view.endpoint(vm)).collect()
    }

    /// Creates the heartbeat for an entry.
    ///
    /// While the core digests differ, updates are sent until they agree. Each update is forwarded a
    /// bounded number of times, so in a large fleet some never reach an entry that is busy or cut
    /// off for a moment. Without the comparison such an entry would send callers to other entries
    /// than the rest of the fleet forever.
    pub fn heartbeat_for(&mut self, to: &VmId, now: Mono) -> FleetHeartbeat {
        let view = self.view(now);
        let updates = self.due_updates(&view, to, now);
        let round = self.membership.own_round();
        let isolated = self.membership.is_own_isolated();
        let load = self.membership.own_load();
        let mut from = Announcement { round, isolated, load, ..self.own.clone() };
        from.listed.leaving = self.own_state.is_leaving;
        FleetHeartbeat {
            from,
            is_starting: !self.own_state.is_synced,
            updates: updates.into_values().collect(),
            core_digest: view.core_digest,
            load_digest: Some(view.load_digest),
            is_disconnected: self.platform.is_disconnected(),
            platform: self.platform.ages(self.own_state.is_reader, now),
            domain_entries: view.domain_entries,
            knows_epochs: true,
            is_overloaded: self.reports.is_own_overloaded(),
            demands: self.demands.take_due_reports(to, now),
        }
    }

    /// Records a call that could not be made or was not answered in time.
    ///
    /// In a large failure domain most entries rarely call the leading ones there. If they waited
    /// for the silence of several such calls, they would advertise lost entries to callers for two
    /// seconds.
    pub fn record_unanswered_call(&mut self, endpoint: Endpoint, now: Mono) {
        let view = self.view(now);
        let mut monitored = view.contacts.monitored.iter();
        let Some(vm) = monitored.find(|vm| view.endpoint(vm) == Some(endpoint)) else { return };
        let count = self.unanswered_calls.entry(vm.clone()).or_default();
        *count += 1;
        if *count >= UNANSWERED_MAX {
            self.unanswered_calls.remove(vm);
            self.membership.suspect(vm, now);
        }
    }

    /// Processes a heartbeat of another entry.
    pub fn receive_heartbeat(&mut self, heartbeat: &FleetHeartbeat, now: Mono) {
        let vm = &heartbeat.from.listed.vm;
        let is_known = self.membership.is_current_incarnation(vm, heartbeat.from.incarnation);
        self.membership.receive_heartbeat(&heartbeat.from, now);
        self.unanswered_calls.remove(vm);
        for update in &heartbeat.updates {
            self.membership.receive_update(update, now);
        }
        self.reports.record(heartbeat, now);
        let view = self.view(now);
        self.record_platform_report(&view, heartbeat, now);
        self.record_domain_entries(&view, heartbeat);
        self.demands.receive(vm, heartbeat.from.incarnation, &heartbeat.demands, now);
        if !is_known {
            self.core_syncs.remove(vm);
        }
        let sync = self.core_syncs.entry(vm.clone()).or_insert_with(|| CoreSync::new(now));
        sync.record_comparison(compare_core(heartbeat, &view), self.membership.version(), now);
    }

    fn own_vm(&self) -> &VmId {
        &self.own.listed.vm
    }

    fn view_cache_key(&self, load: FleetLoad) -> ViewCacheKey {
        ViewCacheKey {
            membership_version: self.membership.version(),
            reports_version: self.reports.version(),
            is_synced: self.own_state.is_synced,
            is_leaving: self.own_state.is_leaving,
            is_disconnected: self.platform.is_disconnected(),
            load,
            local_interval_periods: local_interval_periods(self.reported_domain_entries as usize),
        }
    }

    fn view_inputs(&self, load: FleetLoad, now: Mono) -> ViewInputs<'_> {
        let mut disconnected = self.reports.disconnected().clone();
        if self.platform.is_disconnected() {
            disconnected.insert(self.own_vm().clone());
        }
        ViewInputs {
            own: &self.own,
            entries: self.membership.entries(),
            starting_until: self.reports.starting_until(now),
            overloaded_until: self.reports.overloaded_until(now),
            is_overloaded: self.reports.is_own_overloaded(),
            disconnected,
            is_serving: self.own_state.is_synced && !self.own_state.is_leaving,
            is_leaving: self.own_state.is_leaving,
            load,
            reported_domain_entries: self.reported_domain_entries,
        }
    }

    /// Suspects monitored entries, whose heartbeats arrive at regular intervals, once they are
    /// silent.
    ///
    /// An entry with a scheduling delay both calls late and processes the responses late, so it
    /// allows the others more silence.
    fn detect_silence(&mut self, view: &FleetView, now: Mono) {
        let contacts = &view.contacts;
        let silence = SUSPECT_AFTER.max(HEARTBEAT_PERIOD * contacts.monitored_interval_periods * 3);
        let silence = silence + self.own_state.scheduling_delay * SCHEDULING_DELAY_FACTOR;
        self.membership.set_suspect_after(silence);
        if contacts.monitored_interval_periods < self.monitored_interval_periods {
            // These entries were called less often until now, which does not make them silent.
            self.membership.monitor(&BTreeSet::new(), now);
        }
        self.monitored_interval_periods = contacts.monitored_interval_periods;
        self.membership.monitor(&contacts.monitored.iter().cloned().collect(), now);
        self.membership.expire(now);
    }

    /// Returns the endpoints of the contacts to call in a period.
    fn due_contacts(&self, view: &FleetView, period: u32) -> BTreeSet<Endpoint> {
        let contacts = &view.contacts;
        let mut due: Vec<&VmId> = Vec::new();
        if period.is_multiple_of(contacts.monitored_interval_periods) {
            due.extend(&contacts.monitored);
        }
        due.extend(contacts.monitored.iter().filter(|vm| self.unanswered_calls.contains_key(vm)));
        if period.is_multiple_of(contacts.rotating_interval_periods)
            && !contacts.rotating.is_empty()
        {
            let index =
                (period / contacts.rotating_interval_periods) as usize % contacts.rotating.len();
            due.push(&contacts.rotating[index]);
        }
        due.into_iter().filter_map(|vm| view.endpoint(vm)).collect()
    }

    /// Returns the updates to send to an entry, by the VM that each is about.
    fn due_updates(
        &mut self,
        view: &FleetView,
        to: &VmId,
        now: Mono,
    ) -> BTreeMap<VmId, MemberUpdate> {
        // Other entries receive updates after the comparison of core digests.
        let mut updates = if view.core_entries.contains(to) {
            self.membership.take_due_updates()
        } else {
            Vec::new()
        };
        let version = self.membership.version();
        let due_version =
            self.core_syncs.get_mut(to).and_then(|sync| sync.take_due_version(version, now));
        updates.extend(
            due_version.map_or_else(Vec::new, |version| self.membership.updates_since(version)),
        );
        updates.extend(self.membership.suspicion_of(to));
        updates.into_iter().map(|update| (update.about.listed.vm.clone(), update)).collect()
    }
}

/// Compares the core entries and loads that the sender of a heartbeat knows with those of this entry.
fn compare_core(heartbeat: &FleetHeartbeat, view: &FleetView) -> CoreComparison {
    if heartbeat.core_digest != view.core_digest {
        CoreComparison::EntriesDiffer
    } else if heartbeat.load_digest.is_some_and(|digest| digest != view.load_digest) {
        CoreComparison::LoadsDiffer
    } else {
        CoreComparison::Same
    }
}

fn is_discovery_period(view: &FleetView, period: u32) -> bool {
    period.is_multiple_of(DISCOVERY_EVERY * view.contacts.monitored_interval_periods)
}
