//! What follows from who is believed to live: the order of entries, who reads, who is named to
//! callers, and whom this entry exchanges heartbeats with.
//!
//! Made anew only when something that it rests on has changed: with hundreds of entries, sorting
//! them for each heartbeat would take most of the processor time of a small VM.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use shallotfork_fleet::{
    ActiveEntry, Candidate, Contacts, Standing, active_entries, choose_readers, contacts,
    fleet_order, heads, may_have_to_read, near_periods, spread_time,
};
use shallotfork_membership::{EntryState, EntryVm};
use shallotfork_types::{Endpoint, ListsDigest, Mono, VmId, rendezvous_weight};

use crate::control::state::{State, own_announcement};

/// How long the word of an entry counts that it knows no routes yet. It takes it back to those whom
/// it calls, not to all that have heard it; without an end, some of these would leave it out for
/// ever and send callers to other entries than the rest of the fleet. A start takes a few tenths
/// of a second.
const STARTING_COUNTS: Duration = Duration::from_millis(1000);

/// What everything else here follows from.
#[derive(Debug, PartialEq, Eq)]
pub struct Basis {
    view_version: u64,
    words_version: u64,
    serves: bool,
    leaving: bool,
    own_blind: bool,
    targets: usize,
    near_periods: u32,
}

/// What this process believes of the fleet.
#[derive(Debug)]
pub struct Beliefs {
    basis: Basis,
    /// When an entry counts as started although it has not said so; `None` while none is starting.
    holds_until: Option<Mono>,
    /// Every entry known.
    pub entries: BTreeMap<VmId, EntryVm>,
    /// Live entries, best first, this one unless it is leaving.
    pub order: Vec<Candidate>,
    /// Entries that read the platform, for themselves and for all others. Unlike the ones that
    /// callers are sent to, they may still be starting: somebody has to read first.
    pub readers: Vec<VmId>,
    /// Entries that callers are sent to, best first.
    pub named: Vec<ActiveEntry>,
    /// Entries that the whole fleet knows.
    pub heads: BTreeSet<VmId>,
    /// Differs between two entries that know other heads, or other runs of them.
    pub digest: ListsDigest,
    /// Whom this entry exchanges heartbeats with.
    pub contacts: Contacts,
    /// Live entries of the own failure domain.
    pub domain_entries: u32,
}

impl Beliefs {
    /// Where an entry is called.
    pub fn endpoint(&self, vm: &VmId) -> Option<Endpoint> {
        self.entries.get(vm).map(|entry| entry.peers)
    }

    /// Whether this entry knows no other live one.
    pub fn is_alone(&self, own: &VmId) -> bool {
        self.order.iter().all(|entry| entry.vm == *own)
    }

    /// How long a change takes from the first entries of this failure domain to all others there.
    pub fn spread_time(&self) -> Duration {
        spread_time(self.domain_entries as usize)
    }
}

/// What this process believes now.
pub fn beliefs(state: &State) -> Rc<Beliefs> {
    let basis = basis(state);
    let now = state.context.clock.now();
    let kept = state.beliefs.borrow().clone();
    let holds = |beliefs: &Rc<Beliefs>| {
        beliefs.basis == basis && beliefs.holds_until.is_none_or(|until| now < until)
    };
    if let Some(kept) = kept.filter(holds) {
        return kept;
    }
    let made = Rc::new(make(state, basis, now));
    *state.beliefs.borrow_mut() = Some(Rc::clone(&made));
    let mut view = state.view.borrow_mut();
    view.set_passed_on(made.heads.clone());
    view.set_relays(made.contacts.relays);
    made
}

fn basis(state: &State) -> Basis {
    Basis {
        view_version: state.view.borrow().version(),
        words_version: state.words_version.get(),
        serves: state.serves(),
        leaving: state.leaving.get(),
        own_blind: state.sight.borrow().is_blind(),
        targets: state.context.published.load().targets.len(),
        near_periods: near_periods(state.told_domain_entries.get() as usize),
    }
}

fn make(state: &State, basis: Basis, now: Mono) -> Beliefs {
    let own = &state.context.settings.vm;
    let entries = state.view.borrow().entries();
    let live = entries.iter().filter(|entry| {
        if entry.vm == *own { !basis.leaving } else { entry.state == EntryState::Live }
    });
    let order = fleet_order(live.map(candidate).collect());
    let starting = starting_until(state, now);
    let serves = |vm: &VmId| if vm == own { basis.serves } else { !starting.contains_key(vm) };
    let serving: Vec<Candidate> = order.iter().filter(|entry| serves(&entry.vm)).cloned().collect();
    let entries: BTreeMap<VmId, EntryVm> =
        entries.into_iter().map(|entry| (entry.vm.clone(), entry)).collect();
    let named = named(&entries, basis.targets, &serving);
    let named_names: BTreeSet<VmId> = named.iter().map(|entry| entry.vm.clone()).collect();
    let names: Vec<VmId> = order.iter().map(|entry| entry.vm.clone()).collect();
    let blind = blind(state, basis.own_blind);
    let readers = choose_readers(&names, &blind);
    let heads = heads(&order, &named_names);
    let domain_entries = domain_entries(state, &order);
    let contacts = contacts(&Standing {
        own: &own_candidate(state),
        order: &order,
        readers: &readers,
        named: &named_names,
        may_have_to_read: may_have_to_read(own, &names, &blind),
        domain_entries: domain_entries as usize,
    });
    Beliefs {
        basis,
        holds_until: starting.into_values().min(),
        readers,
        named,
        digest: digest(&entries, &heads),
        heads: heads.into_iter().collect(),
        contacts,
        domain_entries,
        entries,
        order,
    }
}

/// Entries that said that they know no routes yet, and until when that counts.
fn starting_until(state: &State, now: Mono) -> BTreeMap<VmId, Mono> {
    let starting = state.starting.borrow();
    let until = starting.iter().map(|(vm, at)| (vm.clone(), at.plus(STARTING_COUNTS)));
    until.filter(|(_, until)| now < *until).collect()
}

fn blind(state: &State, own_blind: bool) -> BTreeSet<VmId> {
    let mut blind = state.blind.borrow().clone();
    if own_blind {
        blind.insert(state.context.settings.vm.clone());
    }
    blind
}

/// The entries that callers are sent to, of those that serve.
fn named(
    entries: &BTreeMap<VmId, EntryVm>,
    targets: usize,
    serving: &[Candidate],
) -> Vec<ActiveEntry> {
    let chosen = active_entries(targets, serving).into_iter();
    let chosen = chosen.filter_map(|entry| entries.get(&entry.vm));
    chosen
        .map(|entry| ActiveEntry {
            vm: entry.vm.clone(),
            failure_domain: entry.failure_domain.clone(),
            callers: entry.callers,
        })
        .collect()
}

/// The first entries of a failure domain know all others there, and tell these how many they are.
fn domain_entries(state: &State, order: &[Candidate]) -> u32 {
    let domain = &state.context.settings.failure_domain;
    let known = order.iter().filter(|entry| entry.failure_domain == *domain).count();
    u32::try_from(known).unwrap_or(u32::MAX).max(state.told_domain_entries.get())
}

fn digest(entries: &BTreeMap<VmId, EntryVm>, heads: &[VmId]) -> ListsDigest {
    let runs = heads.iter().filter_map(|vm| entries.get(vm)).map(|entry| {
        let run = entry.incarnation.map_or(0, |incarnation| incarnation.value());
        rendezvous_weight(entry.vm.as_str(), "") ^ run
    });
    // Shifted by its place, so that an exchange of places shows.
    ListsDigest::new(runs.fold(0, |digest, run| digest.rotate_left(7) ^ run))
}

fn own_candidate(state: &State) -> Candidate {
    let listed = own_announcement(&state.context).listed;
    Candidate { vm: listed.vm, failure_domain: listed.failure_domain, strength: listed.strength }
}

fn candidate(entry: &EntryVm) -> Candidate {
    Candidate {
        vm: entry.vm.clone(),
        failure_domain: entry.failure_domain.clone(),
        strength: entry.strength,
    }
}
