//! Whom an entry exchanges heartbeats with, and how often.

use std::collections::BTreeSet;

use shallotfork_types::VmId;

use crate::order::Candidate;
use crate::pace::{FAR_PERIODS, near_periods};

/// Entries at the head of a failure domain that all others there exchange heartbeats with: those
/// that callers use first, and those that would follow them.
const FIRST_HERE: usize = 3;
/// Entries after it, of those that callers are sent to in its failure domain, that such an entry
/// watches. Where there are many of these, each is so watched by two, though none watches all.
const WATCHED_AFTER: usize = 2;

/// Where an entry stands in its fleet, as far as it knows.
#[derive(Debug)]
pub struct Standing<'a> {
    /// This entry.
    pub own: &'a Candidate,
    /// Live entries, best first; this one among them once it serves.
    pub order: &'a [Candidate],
    /// Entries that read the platform.
    pub readers: &'a [VmId],
    /// Entries that callers are sent to.
    pub named: &'a BTreeSet<VmId>,
    /// Whether this entry may have to read in place of readers that are turned away.
    pub may_have_to_read: bool,
    /// Live entries of its failure domain.
    pub domain_entries: usize,
}

/// Whom an entry exchanges heartbeats with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contacts {
    /// Those whose silence it notices itself.
    pub watched: Vec<VmId>,
    /// Periods between two heartbeats to each of these.
    pub watched_periods: u32,
    /// Entries of other failure domains, of which one in turn is called.
    pub in_turn: Vec<VmId>,
    /// Periods between two heartbeats to one of these.
    pub in_turn_periods: u32,
    /// Whether others hear of changes from this entry, so that it passes on what it hears.
    pub relays: bool,
    /// Whether it hears the readers themselves, and not only through others.
    pub monitors_readers: bool,
}

/// Whom to exchange heartbeats with.
///
/// The first entry of each failure domain, and the readers, exchange them with each other at every
/// period, and bring what they hear into their failure domains. There the first few and all that
/// callers are sent to watch each other at every period. All others call the first few of their own
/// failure domain only, the less often the more they are, where a heartbeat crosses nothing and costs
/// little. So what crosses does not grow with the fleet, and what one entry takes is bounded.
pub fn contacts(standing: &Standing<'_>) -> Contacts {
    let here = first_here(standing);
    let is_first = here.first().is_none_or(|first| *first == standing.own.vm);
    let is_named = standing.named.contains(&standing.own.vm);
    let reads = standing.readers.contains(&standing.own.vm) || standing.may_have_to_read;
    let spans = is_first || reads;
    let in_front = here.contains(&standing.own.vm);
    let far = far_ones(standing);
    let mut watched = here;
    if is_named {
        watched.extend(named_after(standing));
    }
    if spans {
        watched.extend(far.iter().cloned());
    }
    let mut seen: BTreeSet<VmId> = BTreeSet::from([standing.own.vm.clone()]);
    watched.retain(|vm| seen.insert(vm.clone()));
    let is_busy = spans || is_named || in_front;
    Contacts {
        watched,
        watched_periods: if is_busy { 1 } else { near_periods(standing.domain_entries) },
        in_turn: if is_busy && !spans { far } else { Vec::new() },
        in_turn_periods: FAR_PERIODS,
        relays: is_busy,
        monitors_readers: spans,
    }
}

/// The first ones of the own failure domain, this entry perhaps among them.
fn first_here(standing: &Standing<'_>) -> Vec<VmId> {
    let domain = &standing.own.failure_domain;
    let here = standing.order.iter().filter(|entry| entry.failure_domain == *domain);
    here.take(FIRST_HERE).map(|entry| entry.vm.clone()).collect()
}

/// Those that follow this entry among the ones that callers of its failure domain are sent to; after
/// the last comes the first.
fn named_after(standing: &Standing<'_>) -> Vec<VmId> {
    let domain = &standing.own.failure_domain;
    let named = standing
        .order
        .iter()
        .filter(|entry| entry.failure_domain == *domain && standing.named.contains(&entry.vm));
    let named: Vec<&VmId> = named.map(|entry| &entry.vm).collect();
    let own = named.iter().position(|vm| **vm == standing.own.vm);
    let after = own.map_or(0, |own| own + 1);
    let ring = named.iter().cycle().skip(after).take(WATCHED_AFTER.min(named.len()));
    ring.map(|vm| (*vm).clone()).collect()
}

/// The readers, and the first entry of each other failure domain.
fn far_ones(standing: &Standing<'_>) -> Vec<VmId> {
    let mut domains = BTreeSet::from([&standing.own.failure_domain]);
    let firsts = standing.order.iter().filter(|entry| domains.insert(&entry.failure_domain));
    let firsts: Vec<VmId> = firsts.map(|entry| entry.vm.clone()).collect();
    let mut seen = BTreeSet::from([&standing.own.vm]);
    let all = standing.readers.iter().chain(&firsts).filter(|vm| seen.insert(vm));
    all.cloned().collect()
}
