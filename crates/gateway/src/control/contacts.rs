//! Whom this entry exchanges heartbeats with, and how often.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::IndexedRandom;
use shallotfork_fleet::{far_periods, near_periods};
use shallotfork_membership::EntryVm;
use shallotfork_types::{Endpoint, VmId};

use crate::control::beats::{PERIOD, is_live};
use crate::control::naming::{is_named, ranked, readers};
use crate::control::state::State;

/// Entries at the head of the ranking that are watched: the one that callers use, and those that
/// would follow it.
const WATCHED: usize = 3;

/// Whom this entry exchanges heartbeats with.
#[derive(Debug)]
pub struct Contacts {
    /// Those whose silence it notices itself.
    pub near: Vec<EntryVm>,
    /// Periods between two heartbeats to these.
    pub near_periods: u32,
    /// Others at the head of the ranking, and readers.
    pub far: Vec<EntryVm>,
    /// Periods between two heartbeats to these.
    pub far_periods: u32,
}

impl Contacts {
    /// Where all of them are called.
    pub fn endpoints(&self) -> BTreeSet<Endpoint> {
        self.near.iter().chain(&self.far).map(|entry| entry.peers).collect()
    }
}

/// Whom to exchange heartbeats with now.
///
/// Those that callers are sent to, and readers, hear the head of the ranking and all readers at every
/// period, and bring what they hear into their failure domains. All others hear those of their own, where a heartbeat costs
/// little; of the rest they learn by news.
pub fn contacts(state: &State) -> Contacts {
    let settings = &state.context.settings;
    let readers = readers(state);
    let leads = readers.iter().any(|entry| entry.vm == settings.vm)
        || is_named(&state.active.borrow(), &settings.vm);
    let mut others = ranked(state);
    others.retain(|entry| entry.vm != settings.vm);
    let near = others.iter().filter(|entry| entry.failure_domain == settings.failure_domain);
    let near: Vec<EntryVm> = near.take(WATCHED).cloned().collect();
    let first = first_ones(others, readers, &settings.vm);
    if leads || near.is_empty() {
        return Contacts { near: first, near_periods: 1, far: Vec::new(), far_periods: 1 };
    }
    let near_periods = periods_here(state);
    let far_periods = far_periods(near_periods, is_unsettled(state, &first));
    Contacts { near, near_periods, far: first, far_periods }
}

/// How long a change takes to reach everybody in a failure domain from the first one there.
pub fn spread_time(state: &State) -> Duration {
    PERIOD * (periods_here(state) + 2)
}

/// The seeds that are not known to be live, and an entry chosen at random: so parts of a fleet that
/// were cut from each other find together again.
pub fn outreach(state: &State) -> Vec<Endpoint> {
    let own = state.context.settings.ports.peers;
    let entries = state.view.borrow().entries();
    let any = entries.choose(&mut rand::rng()).map(|entry| entry.peers);
    let is_known = |seed: &Endpoint| entries.iter().any(|e| e.peers == *seed && is_live(e));
    let seeds: Vec<Endpoint> = state.seeds.borrow().clone();
    let unknown = seeds.into_iter().filter(|seed| !is_known(seed));
    unknown.chain(any).filter(|endpoint| *endpoint != own).collect()
}

/// Entries at the head of the ranking, and all readers: these tell of changes. When the platform
/// turns the first entries away, the readers are others, and whoever called the first ones only
/// would hear of nothing.
fn first_ones(others: Vec<EntryVm>, readers: Vec<EntryVm>, own: &VmId) -> Vec<EntryVm> {
    let first = others.into_iter().take(WATCHED);
    let readers = readers.into_iter().filter(|entry| entry.vm != *own);
    let mut names: BTreeSet<VmId> = BTreeSet::new();
    first.chain(readers).filter(|entry| names.insert(entry.vm.clone())).collect()
}

fn periods_here(state: &State) -> u32 {
    let domain = &state.context.settings.failure_domain;
    let entries = state.view.borrow().entries();
    near_periods(entries.iter().filter(|entry| entry.failure_domain == *domain).count())
}

/// Whether the platform turns one of the first entries away, or one of them knows of a change that
/// has not reached this failure domain.
fn is_unsettled(state: &State, first: &[EntryVm]) -> bool {
    let blind = state.blind.borrow();
    let position = state.archive.borrow().position();
    let turned_away = first.iter().any(|entry| blind.contains(&entry.vm));
    turned_away || state.catch_up.borrow().misses(position)
}
