//! The periodic message between entries.

use shallotfork_measure::DemandReport;
use shallotfork_membership::{Announcement, MemberUpdate};
use shallotfork_types::ListsDigest;

use crate::platform_availability::PlatformAges;

/// A heartbeat: the state of its sender and what the sender knows of other entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetHeartbeat {
    /// Announcement of the sender.
    pub from: Announcement,
    /// Whether the sender has no routes yet.
    pub is_starting: bool,
    /// Membership updates about other entries.
    pub updates: Vec<MemberUpdate>,
    /// Digest of the core entries in the sender's view.
    pub core_digest: ListsDigest,
    /// Digest of the loads of these entries; `None` if the sender is of a release that knows none.
    pub load_digest: Option<ListsDigest>,
    /// Whether the sender is disconnected from the platform.
    pub is_disconnected: bool,
    /// What the sender knows of the platform's availability.
    pub platform: PlatformAges,
    /// Number of live entries in the sender's failure domain, as far as it knows.
    pub domain_entries: u32,
    /// Whether the sender tells the epochs of the platform apart. What a process of an older release says
    /// of the platform may belong to an epoch that is over.
    pub knows_epochs: bool,
    /// Whether the sender is overloaded, or was a short time ago.
    pub is_overloaded: bool,
    /// Demand of advertised entries.
    pub demands: Vec<DemandReport>,
}
