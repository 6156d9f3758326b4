//! Whom this entry exchanges heartbeats with, and how often.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::IndexedRandom;
use shallotfork_membership::EntryVm;
use shallotfork_types::{Endpoint, VmId};

use crate::control::beats::{PERIOD, is_live};
use crate::control::naming::{is_named, ranked, readers};
use crate::control::state::State;

/// Entries whose heartbeats the first ones can take at the shortest period; in a larger failure
/// domain the others send theirs less often, such that the first ones take no more.
const ENTRIES_PER_PERIOD: usize = 20;
/// Longest period of the others, in heartbeats of the first ones: routes and targets reach them
/// within it, and the users allow two seconds.
const PERIODS_MAX: usize = 6;
/// Periods between two heartbeats to entries in other failure domains, for those that callers are
/// not sent to. With a heartbeat to each of them at every period, and a new connection to each seed
/// every second, 19 entries in three failure domains sent each other as many bytes between these
/// as 110 requests a second do; now a third of it.
const FAR_PERIODS: u32 = 6;
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
/// little; of the rest they learn by news. Should the platform turn a reader away, they look for
/// themselves at every period who still reads: if that spread as news do, the next ones in turn would
/// find out too late for a change to be in force within the users' two seconds.
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
    let near_periods = near_periods(state);
    let far_periods = if is_unsettled(state, &first) { 1 } else { FAR_PERIODS.max(near_periods) };
    Contacts { near, near_periods, far: first, far_periods }
}

/// How long a change takes to reach everybody in a failure domain from the first one there.
pub fn spread_time(state: &State) -> Duration {
    PERIOD * (near_periods(state) + 2)
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

/// Periods between two heartbeats to the first entries of the own failure domain.
fn near_periods(state: &State) -> u32 {
    let domain = &state.context.settings.failure_domain;
    let entries = state.view.borrow().entries();
    let here = entries.iter().filter(|entry| entry.failure_domain == *domain).count();
    let periods = here.div_ceil(ENTRIES_PER_PERIOD).clamp(1, PERIODS_MAX);
    u32::try_from(periods).unwrap_or(u32::MAX)
}

/// Whether the platform turns one of the first entries away, or one of them knows of a change that
/// has not reached this failure domain.
fn is_unsettled(state: &State, first: &[EntryVm]) -> bool {
    let blind = state.blind.borrow();
    let position = state.archive.borrow().position();
    let turned_away = first.iter().any(|entry| blind.contains(&entry.vm));
    turned_away || state.catch_up.borrow().misses(position)
}
