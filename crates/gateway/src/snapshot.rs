//! What the control thread publishes for the traffic threads.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use shallotfork_evacuation::Evacuation;
use shallotfork_fleet::AdvertisedEntry;
use shallotfork_roster::TargetRecord;
use shallotfork_routes::RouteTable;
use shallotfork_types::{FailureDomain, Mono, Permille, TargetId};

/// What is published, as this process knows it.
#[derive(Debug, Clone, Default)]
pub struct Published {
    /// The routes in force; `None` before the first.
    pub table: Option<Arc<RouteTable>>,
    /// Every target, draining ones included.
    pub targets: Arc<HashMap<TargetId, TargetRecord>>,
    /// Failure domains whose targets get nothing more.
    pub evacuated: Arc<BTreeMap<FailureDomain, Evacuation>>,
    /// Since when the platform has not answered; `None` while it does.
    pub platform_disconnected_at: Option<Mono>,
}

/// What is known of the fleet.
#[derive(Debug, Clone, Default)]
pub struct FleetSnapshot {
    /// The entries that callers are sent to, best first.
    pub advertised: Vec<AdvertisedEntry>,
    /// Whether callers are sent to this process.
    pub is_advertised: bool,
    /// Entries that are live as far as this process knows, itself included.
    pub live_entries: usize,
    /// The most entries known at one time.
    pub known_entries: usize,
    /// Whether this process has run for long enough to have met the others.
    pub is_settled: bool,
}

impl FleetSnapshot {
    /// Whether this process sees most of the fleet, so that no other part of it does.
    pub fn sees_majority(&self) -> bool {
        self.live_entries * 2 > self.known_entries
    }

    /// The part of what the whole fleet may do that this process and those that it sees may do: all
    /// of it if it sees most of the fleet. All parts of a divided fleet together have less than one
    /// and a half. A process that has just started may take itself for the only one, so that it has
    /// no part.
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
