//! Snapshots that the control thread publishes for the traffic threads.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use shallotfork_evacuation::Evacuation;
use shallotfork_fleet::AdvertisedEntry;
use shallotfork_roster::TargetRecord;
use shallotfork_routes::{ConfigurationStatus, RouteTable};
use shallotfork_types::{FailureDomain, Mono, Permille, TargetId};

/// Published items that this process has received.
#[derive(Debug, Clone, Default)]
pub struct Published {
    /// Routes in force; `None` before the first ones.
    pub table: Option<Arc<RouteTable>>,
    /// Which configuration is in force, and whether a newer one is known that is not.
    pub configuration: Arc<ConfigurationStatus>,
    /// All targets, including draining ones.
    pub targets: Arc<HashMap<TargetId, TargetRecord>>,
    /// Evacuated failure domains, whose targets get no further requests.
    pub evacuated: Arc<BTreeMap<FailureDomain, Evacuation>>,
    /// Since when the platform has not answered; `None` while it does.
    pub platform_disconnected_at: Option<Mono>,
}

/// View of the fleet.
#[derive(Debug, Clone, Default)]
pub struct FleetSnapshot {
    /// Entries advertised to callers, best first.
    pub advertised: Vec<AdvertisedEntry>,
    /// Entries to which requests can be forwarded while this one reaches no target.
    pub fallback: Vec<AdvertisedEntry>,
    /// Whether callers are sent to this process: it is advertised, or no entry is.
    pub is_advertised: bool,
    /// Core entries that are live in the view of this process.
    pub live_entries: usize,
    /// Largest number of core entries that were live at one time.
    pub known_entries: usize,
    /// Whether this process has run for long enough to have discovered the others.
    pub is_settled: bool,
}

impl FleetSnapshot {
    /// Whether this process sees most of the fleet, so that no other partition of the fleet does.
    pub fn sees_majority(&self) -> bool {
        self.live_entries * 2 > self.known_entries
    }

    /// Returns the share of fleet-wide limits that this process and the entries that it sees may
    /// use: the whole if it sees most of the fleet. The shares of all partitions of a divided fleet
    /// add up to less than one and a half. A process that has just started may see itself as the
    /// only entry, so its share is zero.
    pub fn share(&self) -> Permille {
        if !self.is_settled {
            return Permille::new(0);
        }
        if self.sees_majority() {
            return Permille::new(1000);
        }
        let permille = self.live_entries * 1000 / self.known_entries.max(1);
        Permille::new(u32::try_from(permille).unwrap_or(1000))
    }
}
