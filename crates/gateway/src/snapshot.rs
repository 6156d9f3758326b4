//! What the control thread publishes for the traffic threads.

use std::collections::HashMap;
use std::sync::Arc;

use shallotfork_roster::TargetEntry;
use shallotfork_routes::RouteTable;
use shallotfork_types::{Endpoint, FailureDomain, Mono, TargetId};

/// An entry that callers may be sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedEntry {
    /// Where callers connect.
    pub callers: Endpoint,
    /// Where it stands.
    pub failure_domain: FailureDomain,
}

/// What is published, as this process knows it.
#[derive(Debug, Clone, Default)]
pub struct Published {
    /// The routes in force; `None` before the first.
    pub table: Option<Arc<RouteTable>>,
    /// Every target, draining ones included.
    pub targets: Arc<HashMap<TargetId, TargetEntry>>,
    /// Since when the platform has not answered; `None` while it does.
    pub platform_lost_at: Option<Mono>,
}

/// What is known of the fleet.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// Live entries in the order in which callers should use them.
    pub order: Vec<NamedEntry>,
    /// Whether callers are sent to this process.
    pub active: bool,
    /// How many of the first entries callers are sent to.
    pub active_count: usize,
    /// Entries that are live as far as this process knows, itself included.
    pub live: usize,
    /// The most entries known at one time.
    pub known: usize,
}
