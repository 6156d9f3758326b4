//! The view that an entry has of its fleet: the ranking of the live entries, the readers, the
//! entries advertised to callers, and the contacts of this entry.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shallotfork_membership::{Announcement, EntryState, EntryVm};
use shallotfork_types::{Endpoint, ListsDigest, Mono, VmId, rendezvous_weight};

use crate::advertised::{AdvertisedEntry, select_advertised_entries};
use crate::contacts::{Contacts, FleetPosition, select_contacts};
use crate::core_entries::select_core_entries;
use crate::fleet_load::FleetLoad;
use crate::intervals::propagation_delay;
use crate::overflow::add_overflow_entries;
use crate::ranking::{Candidate, rank_entries};
use crate::readers::{choose_readers, may_become_reader};

/// Key of entries that reach no target in the digest of core entries. All entries must use the same
/// one.
const ISOLATED_KEY: &str = "isolated";

/// The state from which a view of the fleet is computed.
#[derive(Debug)]
pub(crate) struct ViewInputs<'a> {
    pub(crate) own: &'a Announcement,
    /// All known entries, including this one.
    pub(crate) entries: Vec<EntryVm>,
    /// Entries that report that they have no routes yet, with the time at which each report
    /// expires.
    pub(crate) starting_until: BTreeMap<VmId, Mono>,
    /// Other entries that report that they are overloaded, with the time at which each report
    /// expires.
    pub(crate) overloaded_until: BTreeMap<VmId, Mono>,
    /// Whether this entry is overloaded.
    pub(crate) is_overloaded: bool,
    /// Entries that are disconnected from the platform.
    pub(crate) disconnected: BTreeSet<VmId>,
    /// Whether this entry can serve requests.
    pub(crate) is_serving: bool,
    /// Whether this entry is leaving.
    pub(crate) is_leaving: bool,
    /// Load that the advertised entries have to carry.
    pub(crate) load: FleetLoad,
    /// Number of live entries in the failure domain of this entry, as reported by the leading
    /// entries there.
    pub(crate) reported_domain_entries: u32,
}

/// The view that this process has of the fleet.
#[derive(Debug)]
pub struct FleetView {
    /// Earliest time at which a report that an entry is starting or overloaded expires; `None` if
    /// there is no such report.
    pub(crate) valid_until: Option<Mono>,
    /// All known entries.
    pub entries: BTreeMap<VmId, EntryVm>,
    /// Live entries, best first. Includes this entry unless it is leaving.
    pub ranking: Vec<Candidate>,
    /// Entries that read the platform for themselves and for all others. Unlike advertised entries
    /// they may still be starting, since one of them has to read first.
    pub readers: Vec<VmId>,
    /// Entries that are advertised to callers, best first.
    pub advertised: Vec<AdvertisedEntry>,
    /// Entries to which requests can be forwarded while this entry reaches no target: the advertised
    /// ones, if these reach targets.
    pub fallback: Vec<AdvertisedEntry>,
    /// Entries that the whole fleet knows.
    pub core_entries: BTreeSet<VmId>,
    /// Digest of the core entries. Two entries that know different core entries have different
    /// digests.
    pub core_digest: ListsDigest,
    /// Digest of the loads of the core entries. It is never zero, which in a message stands for a sender
    /// that knows of no loads.
    pub load_digest: ListsDigest,
    /// Entries that this entry exchanges heartbeats with.
    pub contacts: Contacts,
    /// Number of live entries in the failure domain of this entry.
    pub domain_entries: u32,
    /// Load for which entries are advertised.
    pub load: FleetLoad,
}

impl FleetView {
    pub(crate) fn new(inputs: ViewInputs<'_>) -> Self {
        let own = &inputs.own.listed.vm;
        let ranking = live_ranking(&inputs);
        let is_serving = |vm: &VmId| {
            if vm == own { inputs.is_serving } else { !inputs.starting_until.contains_key(vm) }
        };
        let entries: BTreeMap<VmId, EntryVm> =
            inputs.entries.iter().map(|entry| (entry.vm.clone(), entry.clone())).collect();
        let serving: Vec<Candidate> =
            ranking.iter().filter(|entry| is_serving(&entry.vm)).cloned().collect();
        let (serving, reach_targets) = prefer_connected(serving, &entries);
        let usual = select_advertised_entries(inputs.load, &serving);
        let usual_vms: BTreeSet<VmId> = usual.iter().map(|entry| entry.vm.clone()).collect();
        let own_overloaded = inputs.is_overloaded.then_some(own);
        let overloaded: BTreeSet<VmId> =
            inputs.overloaded_until.keys().chain(own_overloaded).cloned().collect();
        let advertised =
            advertised_entries(&entries, &add_overflow_entries(&usual, &serving, &overloaded));
        let ranked_vms: Vec<VmId> = ranking.iter().map(|entry| entry.vm.clone()).collect();
        let readers = choose_readers(&ranked_vms, &inputs.disconnected);
        let core_entries = select_core_entries(&connected_first(&ranking, &entries), &usual_vms);
        let domain_entries = domain_entries(&inputs, &ranking);
        let contacts = select_contacts(&FleetPosition {
            own: &candidate(inputs.own),
            ranking: &ranking,
            readers: &readers,
            advertised: &usual_vms,
            may_become_reader: may_become_reader(own, &ranked_vms, &inputs.disconnected),
            domain_entries: domain_entries as usize,
        });
        let fallback = if reach_targets { advertised.clone() } else { Vec::new() };
        Self {
            fallback: fallback.into_iter().filter(|entry| entry.vm != *own).collect(),
            valid_until: inputs
                .starting_until
                .into_values()
                .chain(inputs.overloaded_until.into_values())
                .min(),
            core_digest: core_digest(&core_entries, &entries),
            load_digest: load_digest(&core_entries, &entries),
            core_entries: core_entries.into_iter().collect(),
            entries,
            ranking,
            readers,
            advertised,
            contacts,
            domain_entries,
            load: inputs.load,
        }
    }

    /// Returns the endpoint at which other entries call an entry.
    pub fn endpoint(&self, vm: &VmId) -> Option<Endpoint> {
        self.entries.get(vm).map(|entry| entry.peers)
    }

    /// Returns the number of failure domains with live entries.
    pub(crate) fn live_domains(&self) -> usize {
        let domains = self.ranking.iter().map(|entry| &entry.failure_domain);
        domains.collect::<BTreeSet<_>>().len()
    }

    /// Returns whether no other live entry is known.
    pub fn is_alone(&self, own: &VmId) -> bool {
        self.ranking.iter().all(|entry| entry.vm == *own)
    }

    /// Returns the time that a change takes from the leading entries of this failure domain to all
    /// others there.
    pub fn propagation_delay(&self) -> Duration {
        propagation_delay(self.domain_entries as usize)
    }
}

/// Ranks the live entries, best first.
fn live_ranking(inputs: &ViewInputs<'_>) -> Vec<Candidate> {
    let own = &inputs.own.listed.vm;
    let live = inputs.entries.iter().filter(|entry| {
        if entry.vm == *own { !inputs.is_leaving } else { entry.state == EntryState::Live }
    });
    rank_entries(live.map(Candidate::from).collect())
}

/// Returns the ranking with the entries that reach no target last. The fleet has to know enough of
/// the others when all entries that it usually knows are cut from the targets.
fn connected_first(ranking: &[Candidate], entries: &BTreeMap<VmId, EntryVm>) -> Vec<Candidate> {
    let mut sorted = ranking.to_vec();
    sorted.sort_by_key(|entry| is_isolated(entries, &entry.vm));
    sorted
}

/// Leaves out the entries that reach no target, unless that is true of all: then all are equal, and
/// callers need an address to come back to. Returns whether the entries reach targets.
fn prefer_connected(
    serving: Vec<Candidate>,
    entries: &BTreeMap<VmId, EntryVm>,
) -> (Vec<Candidate>, bool) {
    let is_connected = |entry: &&Candidate| !is_isolated(entries, &entry.vm);
    let connected: Vec<Candidate> = serving.iter().filter(is_connected).cloned().collect();
    if connected.is_empty() { (serving, false) } else { (connected, true) }
}

/// Adds the caller endpoints to the selected entries.
fn advertised_entries(
    entries: &BTreeMap<VmId, EntryVm>,
    selected: &[Candidate],
) -> Vec<AdvertisedEntry> {
    let selected = selected.iter().filter_map(|entry| entries.get(&entry.vm));
    let advertised = |entry: &EntryVm| AdvertisedEntry {
        vm: entry.vm.clone(),
        failure_domain: entry.failure_domain.clone(),
        callers: entry.callers,
        capacity: entry.capacity,
    };
    selected.map(advertised).collect()
}

/// Returns the number of live entries in this entry's failure domain. The leading entries there
/// know all others and report the number to them.
fn domain_entries(inputs: &ViewInputs<'_>, ranking: &[Candidate]) -> u32 {
    let domain = &inputs.own.listed.failure_domain;
    let count = ranking.iter().filter(|entry| entry.failure_domain == *domain).count();
    u32::try_from(count).unwrap_or(u32::MAX).max(inputs.reported_domain_entries)
}

/// Computes the digest of the core entries from their names and from which of them reach no target.
/// The selection of advertised entries does not depend on incarnations, and hundreds of these change
/// after a simultaneous start.
fn core_digest(core_entries: &[VmId], entries: &BTreeMap<VmId, EntryVm>) -> ListsDigest {
    let state = |vm| if is_isolated(entries, vm) { ISOLATED_KEY } else { "" };
    let weights = core_entries.iter().map(|vm| rendezvous_weight(vm.as_str(), state(vm)));
    // The rotation makes the digest depend on the order.
    ListsDigest::new(weights.fold(0, |digest, weight| digest.rotate_left(7) ^ weight))
}

/// Computes the digest of the loads of the core entries. Entries that are not core entries receive the
/// loads only after a comparison of digests.
fn load_digest(core_entries: &[VmId], entries: &BTreeMap<VmId, EntryVm>) -> ListsDigest {
    let loads = core_entries.iter().filter_map(|vm| Some((vm, entries.get(vm)?.load?)));
    let weights = loads.map(|(vm, load)| rendezvous_weight(vm.as_str(), &load.to_string()));
    ListsDigest::new(weights.fold(0, |digest, weight| digest ^ weight).max(1))
}

fn is_isolated(entries: &BTreeMap<VmId, EntryVm>, vm: &VmId) -> bool {
    entries.get(vm).is_some_and(|entry| entry.isolated)
}

fn candidate(own: &Announcement) -> Candidate {
    let listed = own.listed.clone();
    Candidate { vm: listed.vm, failure_domain: listed.failure_domain, capacity: listed.capacity }
}
