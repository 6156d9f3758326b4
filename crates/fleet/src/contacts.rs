//! Selection of the entries that an entry exchanges heartbeats with, and of the intervals.

use std::collections::BTreeSet;

use shallotfork_types::VmId;

use crate::intervals::{REMOTE_INTERVAL_PERIODS, local_interval_periods};
use crate::ranking::Candidate;

/// Number of leading entries of a failure domain, with which all others there exchange heartbeats:
/// the ones that callers use first and their successors.
const LEADING_ENTRIES: usize = 3;
/// Number of advertised entries of its failure domain that an advertised entry monitors: those that
/// rank next after it. Where many are advertised, each is monitored by two entries, and none has to
/// monitor all.
const MONITORED_SUCCESSORS: usize = 2;

/// Position of an entry in its fleet, according to its own view.
#[derive(Debug)]
pub struct FleetPosition<'a> {
    /// The entry itself.
    pub own: &'a Candidate,
    /// Live entries, best first. Includes the entry itself once it serves.
    pub ranking: &'a [Candidate],
    /// Entries that read the platform.
    pub readers: &'a [VmId],
    /// Entries that are advertised to callers.
    pub advertised: &'a BTreeSet<VmId>,
    /// Whether the entry may have to replace a reader that is disconnected from the platform.
    pub may_become_reader: bool,
    /// Number of live entries in the failure domain of the entry.
    pub domain_entries: usize,
}

/// The entries that an entry exchanges heartbeats with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contacts {
    /// Entries whose silence the entry itself detects.
    pub monitored: Vec<VmId>,
    /// Interval between two heartbeats to each monitored entry, in heartbeat periods.
    pub monitored_interval_periods: u32,
    /// Entries of other failure domains that are called one at a time, in rotation.
    pub rotating: Vec<VmId>,
    /// Interval between two heartbeats to any of the rotating entries, in heartbeat periods.
    pub rotating_interval_periods: u32,
    /// Whether other entries receive changes from this one, so that it forwards what it receives.
    pub forwards_updates: bool,
    /// Whether the entry is one of the leading entries of its failure domain.
    pub is_leading: bool,
    /// Whether the entry exchanges heartbeats with the readers directly and not only through
    /// others.
    pub monitors_readers: bool,
}

/// Selects the contacts of an entry.
///
/// The first entry of each failure domain and the readers exchange heartbeats with each other in
/// every period and forward what they receive within their failure domains. There, the leading and
/// the advertised entries monitor each other in every period. All other entries call only the
/// leading ones of their own failure domain, where a heartbeat crosses no domain and costs little.
/// The more of them there are, the less often each calls. The traffic between failure domains
/// therefore does not grow with the fleet, and the number of heartbeats that one entry receives is
/// bounded.
pub fn select_contacts(position: &FleetPosition<'_>) -> Contacts {
    let leading = leading_entries(position);
    let is_first = leading.first().is_none_or(|first| *first == position.own.vm);
    let is_advertised = position.advertised.contains(&position.own.vm);
    let reads = position.readers.contains(&position.own.vm) || position.may_become_reader;
    let connects_domains = is_first || reads;
    let is_leading = leading.contains(&position.own.vm);
    let remote = remote_contacts(position);
    let mut monitored = leading;
    if is_advertised {
        monitored.extend(advertised_successors(position));
    }
    if connects_domains {
        monitored.extend(remote.iter().cloned());
    }
    let mut seen: BTreeSet<VmId> = BTreeSet::from([position.own.vm.clone()]);
    monitored.retain(|vm| seen.insert(vm.clone()));
    let calls_every_period = connects_domains || is_advertised || is_leading;
    Contacts {
        monitored,
        monitored_interval_periods: if calls_every_period {
            1
        } else {
            local_interval_periods(position.domain_entries)
        },
        rotating: if calls_every_period && !connects_domains { remote } else { Vec::new() },
        rotating_interval_periods: REMOTE_INTERVAL_PERIODS,
        forwards_updates: calls_every_period,
        is_leading,
        monitors_readers: connects_domains,
    }
}

/// Returns the leading entries of this entry's failure domain, which may include this entry.
fn leading_entries(position: &FleetPosition<'_>) -> Vec<VmId> {
    let domain = &position.own.failure_domain;
    let local = position.ranking.iter().filter(|entry| entry.failure_domain == *domain);
    local.take(LEADING_ENTRIES).map(|entry| entry.vm.clone()).collect()
}

/// Returns the entries that rank next after this one among the advertised entries of its failure
/// domain, wrapping around from the last to the first.
fn advertised_successors(position: &FleetPosition<'_>) -> Vec<VmId> {
    let domain = &position.own.failure_domain;
    let advertised = position
        .ranking
        .iter()
        .filter(|entry| entry.failure_domain == *domain && position.advertised.contains(&entry.vm));
    let advertised: Vec<&VmId> = advertised.map(|entry| &entry.vm).collect();
    let own_index = advertised.iter().position(|vm| **vm == position.own.vm);
    let next_index = own_index.map_or(0, |own_index| own_index + 1);
    let successors =
        advertised.iter().cycle().skip(next_index).take(MONITORED_SUCCESSORS.min(advertised.len()));
    successors.map(|vm| (*vm).clone()).collect()
}

/// Returns the readers and the first entry of each other failure domain.
fn remote_contacts(position: &FleetPosition<'_>) -> Vec<VmId> {
    let mut domains = BTreeSet::from([&position.own.failure_domain]);
    let firsts = position.ranking.iter().filter(|entry| domains.insert(&entry.failure_domain));
    let firsts: Vec<VmId> = firsts.map(|entry| entry.vm.clone()).collect();
    let mut seen = BTreeSet::from([&position.own.vm]);
    let all = position.readers.iter().chain(&firsts).filter(|vm| seen.insert(vm));
    all.cloned().collect()
}
