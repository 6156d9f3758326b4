//! Settings of one entry process.

use std::time::Duration;

use shallotfork_fleet::Regions;
use shallotfork_types::{
    Bytes, BytesPerSecond, Endpoint, FailureDomain, PerSecond, Permille, VmId,
};

/// Addresses that the process listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ports {
    /// Address for requests of callers.
    pub callers: Endpoint,
    /// Address for readiness checks.
    pub readiness: Endpoint,
    /// Address for connections from other entries.
    pub peers: Endpoint,
    /// Address for directory requests, which ask for the addresses to use.
    pub directory: Endpoint,
    /// Address for metrics.
    pub metrics: Endpoint,
}

/// Settings of one entry process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Name of this VM.
    pub vm: VmId,
    /// Failure domain of this VM.
    pub failure_domain: FailureDomain,
    /// Region of each failure domain; empty if the regions are not known.
    pub regions: Regions,
    /// Requests per second that this VM can carry, given its processor and its link.
    pub capacity: PerSecond,
    /// Bandwidth of the VM's link in each direction.
    pub link_bandwidth: BytesPerSecond,
    /// Addresses that the process listens on.
    pub ports: Ports,
    /// Peer ports of some entries, which may be down or out of date.
    pub seeds: Vec<Endpoint>,
    /// Key that proves that a peer belongs to the same deployment.
    pub fleet_key: Vec<u8>,
    /// Number of traffic threads.
    pub traffic_threads: usize,
    /// Most bytes of bodies held in memory at one time.
    pub body_budget: Bytes,
    /// Most memory of callers' connections, for heads, for bytes that are read ahead and for those that
    /// wait in the kernel.
    pub connection_budget: Bytes,
    /// Most connections of callers at one time.
    pub connections_max: usize,
    /// Longest time between the request to stop and the end of the process.
    pub shutdown_grace: Duration,
    /// How long callers may cache a directory answer.
    pub directory_ttl: Duration,
    /// Window in which repeated sends are bounded, for all entries together.
    pub retry_window: Duration,
    /// Repeated sends allowed in a window for all entries together, as a share of requests.
    pub retry_share: Permille,
    /// Repeated sends allowed in a window in addition to that share, for all entries together.
    pub retry_extra: u32,
}
