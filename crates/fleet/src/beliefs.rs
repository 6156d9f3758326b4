//! What follows from who is believed to live: the order of entries, who reads, who is named to
//! callers, and whom this entry exchanges heartbeats with.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shallotfork_membership::{Announcement, EntryState, EntryVm};
use shallotfork_types::{Endpoint, ListsDigest, Mono, VmId, rendezvous_weight};

use crate::active::{AdvertisedEntry, active_entries};
use crate::contacts::{Contacts, Standing, contacts};
use crate::heads::heads;
use crate::helpers::with_helpers;
use crate::order::{Candidate, fleet_order};
use crate::pace::propagation_delay;
use crate::readers::{choose_readers, may_have_to_read};

/// What is known of the fleet at one moment.
#[derive(Debug)]
pub(crate) struct Known<'a> {
    pub(crate) own: &'a Announcement,
    /// Every entry, this one among them.
    pub(crate) entries: Vec<EntryVm>,
    /// Entries that know no routes yet, and until when that counts.
    pub(crate) starting: BTreeMap<VmId, Mono>,
    /// Other entries whose work waits for the processor, and until when that counts.
    pub(crate) behind: BTreeMap<VmId, Mono>,
    /// Whether the work of this entry does.
    pub(crate) is_behind: bool,
    /// Entries that the platform turns away.
    pub(crate) blind: BTreeSet<VmId>,
    /// Whether this entry can serve.
    pub(crate) serves: bool,
    /// Whether it is leaving.
    pub(crate) leaving: bool,
    /// How many targets there are.
    pub(crate) targets: usize,
    /// Live entries of its failure domain, by the word of the first ones there.
    pub(crate) told_domain_entries: u32,
}

/// What this process believes of the fleet.
#[derive(Debug)]
pub struct FleetView {
    /// When an entry counts as started or as no longer behind although it has not said so; `None`
    /// while none is either.
    pub(crate) hold_until: Option<Mono>,
    /// Every entry known.
    pub entries: BTreeMap<VmId, EntryVm>,
    /// Live entries, best first, this one unless it is leaving.
    pub order: Vec<Candidate>,
    /// Entries that read the platform, for themselves and for all others. Unlike the ones that
    /// callers are sent to, they may still be starting: somebody has to read first.
    pub readers: Vec<VmId>,
    /// Entries that callers are sent to, best first.
    pub advertised: Vec<AdvertisedEntry>,
    /// Entries that the whole fleet knows.
    pub core_entries: BTreeSet<VmId>,
    /// Differs between two entries that know other heads.
    pub digest: ListsDigest,
    /// Whom this entry exchanges heartbeats with.
    pub contacts: Contacts,
    /// Live entries of the own failure domain.
    pub domain_entries: u32,
}

impl FleetView {
    pub(crate) fn new(known: Known<'_>) -> Self {
        let own = &known.own.listed.vm;
        let order = live_order(&known);
        let serves =
            |vm: &VmId| if vm == own { known.serves } else { !known.starting.contains_key(vm) };
        let serving: Vec<Candidate> =
            order.iter().filter(|entry| serves(&entry.vm)).cloned().collect();
        let entries: BTreeMap<VmId, EntryVm> =
            known.entries.iter().map(|entry| (entry.vm.clone(), entry.clone())).collect();
        let usual = active_entries(known.targets, &serving);
        let usual_names: BTreeSet<VmId> = usual.iter().map(|entry| entry.vm.clone()).collect();
        let own_behind = known.is_behind.then_some(own);
        let behind: BTreeSet<VmId> = known.behind.keys().chain(own_behind).cloned().collect();
        let advertised = named(&entries, &with_helpers(&usual, &serving, &behind));
        let names: Vec<VmId> = order.iter().map(|entry| entry.vm.clone()).collect();
        let readers = choose_readers(&names, &known.blind);
        let core_entries = heads(&order, &usual_names);
        let domain_entries = domain_entries(&known, &order);
        let contacts = contacts(&Standing {
            own: &candidate(known.own),
            order: &order,
            readers: &readers,
            named: &usual_names,
            may_have_to_read: may_have_to_read(own, &names, &known.blind),
            domain_entries: domain_entries as usize,
        });
        Self {
            hold_until: known.starting.into_values().chain(known.behind.into_values()).min(),
            digest: digest(&core_entries),
            core_entries: core_entries.into_iter().collect(),
            entries,
            order,
            readers,
            advertised,
            contacts,
            domain_entries,
        }
    }

    /// Where an entry is called.
    pub fn endpoint(&self, vm: &VmId) -> Option<Endpoint> {
        self.entries.get(vm).map(|entry| entry.peers)
    }

    /// Whether no other entry is known to live.
    pub fn is_alone(&self, own: &VmId) -> bool {
        self.order.iter().all(|entry| entry.vm == *own)
    }

    /// How long a change takes from the first entries of this failure domain to all others there.
    pub fn propagation_delay(&self) -> Duration {
        propagation_delay(self.domain_entries as usize)
    }
}

/// Live entries, best first.
fn live_order(known: &Known<'_>) -> Vec<Candidate> {
    let own = &known.own.listed.vm;
    let live = known.entries.iter().filter(|entry| {
        if entry.vm == *own { !known.leaving } else { entry.state == EntryState::Live }
    });
    fleet_order(live.map(Candidate::from).collect())
}

/// Where callers reach the chosen entries.
fn named(entries: &BTreeMap<VmId, EntryVm>, chosen: &[Candidate]) -> Vec<AdvertisedEntry> {
    let chosen = chosen.iter().filter_map(|entry| entries.get(&entry.vm));
    let active = |entry: &EntryVm| AdvertisedEntry {
        vm: entry.vm.clone(),
        failure_domain: entry.failure_domain.clone(),
        callers: entry.callers,
        capacity: entry.capacity,
    };
    chosen.map(active).collect()
}

/// The first entries of a failure domain know all others there, and tell these how many they are.
fn domain_entries(known: &Known<'_>, order: &[Candidate]) -> u32 {
    let domain = &known.own.listed.failure_domain;
    let here = order.iter().filter(|entry| entry.failure_domain == *domain).count();
    u32::try_from(here).unwrap_or(u32::MAX).max(known.told_domain_entries)
}

/// Of the heads' names alone: whom callers are sent to does not depend on which run of a process is
/// known, and runs change by hundreds after a common start.
fn digest(heads: &[VmId]) -> ListsDigest {
    let weights = heads.iter().map(|vm| rendezvous_weight(vm.as_str(), ""));
    // Shifted by its place, so that an exchange of places shows.
    ListsDigest::new(weights.fold(0, |digest, weight| digest.rotate_left(7) ^ weight))
}

fn candidate(own: &Announcement) -> Candidate {
    let listed = own.listed.clone();
    Candidate { vm: listed.vm, failure_domain: listed.failure_domain, capacity: listed.capacity }
}
