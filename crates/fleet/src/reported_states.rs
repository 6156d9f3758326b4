//! States that entries report about themselves in heartbeats, and how long a report stays valid.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shallotfork_types::{Mono, VmId};

use crate::heartbeat::FleetHeartbeat;

/// Time for which a report that an entry has no routes yet stays valid; a start takes a few tenths
/// of a second.
///
/// The entry withdraws the report only at the entries that it calls, not at all that have received
/// it. Without an expiry, some of these would leave it out forever and advertise other entries than
/// the rest of the fleet.
const STARTING_VALID_FOR: Duration = Duration::from_millis(1000);
/// Time for which an entry reports that it is overloaded after it last was. It is longer than
/// callers keep a response, so that the callers moved to other entries have left before the entry's
/// load is evaluated again.
const OVERLOAD_REPORTED_FOR: Duration = Duration::from_secs(5);
/// Time for which another entry's report that it is overloaded stays valid. Entries of its failure
/// domain receive it again within a second; an entry elsewhere that received it once by chance
/// would otherwise keep it forever.
const OVERLOAD_VALID_FOR: Duration = Duration::from_secs(2);

/// Reports of entries, each valid until it is withdrawn or expires.
#[derive(Debug, Default)]
pub(crate) struct ReportedStates {
    /// Entries that reported that they have no routes yet, with the time of the last report.
    starting: BTreeMap<VmId, Mono>,
    /// Entries that report that they are disconnected from the platform, or don't tell its epochs apart.
    disconnected: BTreeSet<VmId>,
    /// Entries that report that they are overloaded, with the time of the last report.
    overloaded: BTreeMap<VmId, Mono>,
    /// Time at which this entry was last overloaded; `None` once it no longer reports that.
    own_overloaded_at: Option<Mono>,
    version: u64,
}

impl ReportedStates {
    /// Returns a version that increases with each change of a valid state, except for expiries.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the entries that have no routes yet, with the time at which each report expires.
    pub(crate) fn starting_until(&self, now: Mono) -> BTreeMap<VmId, Mono> {
        valid_until(&self.starting, STARTING_VALID_FOR, now)
    }

    /// Returns the entries that are disconnected from the platform.
    pub(crate) fn disconnected(&self) -> &BTreeSet<VmId> {
        &self.disconnected
    }

    /// Returns the other entries that are overloaded, with the time at which each report expires.
    pub(crate) fn overloaded_until(&self, now: Mono) -> BTreeMap<VmId, Mono> {
        valid_until(&self.overloaded, OVERLOAD_VALID_FOR, now)
    }

    /// Returns whether this entry reports that it is overloaded.
    pub(crate) fn is_own_overloaded(&self) -> bool {
        self.own_overloaded_at.is_some()
    }

    /// Records whether this entry is overloaded.
    pub(crate) fn record_own(&mut self, is_overloaded: bool, now: Mono) {
        let was_reported = self.is_own_overloaded();
        if is_overloaded {
            self.own_overloaded_at = Some(now);
        }
        self.own_overloaded_at =
            self.own_overloaded_at.filter(|at| now.since(*at) < OVERLOAD_REPORTED_FOR);
        self.version += u64::from(was_reported != self.is_own_overloaded());
    }

    /// Records the state that the sender of a heartbeat reports about itself.
    pub(crate) fn record(&mut self, heartbeat: &FleetHeartbeat, now: Mono) {
        let vm = &heartbeat.from.listed.vm;
        let before = self.valid_states(vm, now);
        set_reported(&mut self.starting, vm, heartbeat.is_starting, now);
        set_reported(&mut self.overloaded, vm, heartbeat.is_overloaded, now);
        if heartbeat.is_disconnected || !heartbeat.knows_epochs {
            self.disconnected.insert(vm.clone());
        } else {
            self.disconnected.remove(vm);
        }
        self.version += u64::from(before != self.valid_states(vm, now));
    }

    /// Returns whether an entry is starting, disconnected and overloaded according to valid
    /// reports.
    fn valid_states(&self, vm: &VmId, now: Mono) -> [bool; 3] {
        let is_valid = |reported_at: &BTreeMap<VmId, Mono>, valid_for: Duration| {
            reported_at.get(vm).is_some_and(|at| now.since(*at) < valid_for)
        };
        let is_starting = is_valid(&self.starting, STARTING_VALID_FOR);
        [
            is_starting,
            self.disconnected.contains(vm),
            is_valid(&self.overloaded, OVERLOAD_VALID_FOR),
        ]
    }
}

fn set_reported(reported_at: &mut BTreeMap<VmId, Mono>, vm: &VmId, is_reported: bool, now: Mono) {
    if is_reported {
        reported_at.insert(vm.clone(), now);
    } else {
        reported_at.remove(vm);
    }
}

fn valid_until(
    reported_at: &BTreeMap<VmId, Mono>,
    valid_for: Duration,
    now: Mono,
) -> BTreeMap<VmId, Mono> {
    let until = reported_at.iter().map(|(vm, at)| (vm.clone(), at.plus(valid_for)));
    until.filter(|(_, until)| now < *until).collect()
}
