//! What entries say to each other at regular intervals.

use shallotfork_membership::{Announcement, MemberUpdate};
use shallotfork_types::ListsDigest;

use crate::sight::PlatformAges;

/// What an entry says of itself and of others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetHeartbeat {
    /// Who speaks.
    pub from: Announcement,
    /// Whether it knows no routes yet.
    pub is_starting: bool,
    /// What it knows of others.
    pub updates: Vec<MemberUpdate>,
    /// Fingerprint of the heads that it knows.
    pub core_digest: ListsDigest,
    /// Whether the platform turns it away.
    pub is_disconnected: bool,
    /// What it has seen and heard of the platform.
    pub platform: PlatformAges,
    /// Live entries of its failure domain, as far as it knows.
    pub domain_entries: u32,
    /// Whether its work waits for the processor, or did so a short while ago.
    pub is_overloaded: bool,
}
