//! What one entry process is told at its start.

use std::time::Duration;

use shallotfork_fleet::Regions;
use shallotfork_types::{
    Bytes, BytesPerSecond, Endpoint, FailureDomain, PerSecond, Permille, VmId,
};

/// Where the process listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ports {
    /// Requests of callers.
    pub callers: Endpoint,
    /// Questions whether the process takes new work.
    pub readiness: Endpoint,
    /// Other entries.
    pub peers: Endpoint,
    /// Questions which addresses to use.
    pub directory: Endpoint,
    /// Metrics.
    pub metrics: Endpoint,
}

/// Settings of one entry process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySettings {
    /// This VM.
    pub vm: VmId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Which failure domains stand in which region; empty when that is not known.
    pub regions: Regions,
    /// Requests a second that this VM could carry, by its processor and its link.
    pub capacity: PerSecond,
    /// What the VM's link carries in each direction.
    pub link_bandwidth: BytesPerSecond,
    /// Where it listens.
    pub ports: Ports,
    /// Peer ports of some entries, which may be down or out of date.
    pub seeds: Vec<Endpoint>,
    /// Proves that a peer belongs to the same deployment.
    pub fleet_key: Vec<u8>,
    /// Threads for traffic.
    pub traffic_threads: usize,
    /// Bytes of bodies held at one time.
    pub body_budget: Bytes,
    /// Longest time between the request to stop and the end of the process.
    pub shutdown_grace: Duration,
    /// How long callers may keep an answer of the directory.
    pub directory_ttl: Duration,
    /// Window in which repeated sends are bounded over all entries.
    pub retry_window: Duration,
    /// Repeated sends allowed over all entries, as a share of requests.
    pub retry_share: Permille,
    /// Repeated sends allowed over all entries besides that share.
    pub retry_extra: u32,
}
