//! Settings of a pool.

use std::time::Duration;

use shallotfork_types::{Permille, VmId};

use crate::{Policy, TargetConfig};

/// Settings of a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolConfig {
    /// Policy for selecting a target.
    pub policy: Policy,
    /// Whether the requests in flight are limited, so that others wait here for a target with room.
    /// Otherwise, requests are sent at once and wait at the target.
    pub concurrency_limited: bool,
    /// Maximum number of requests that wait here; more are shed; default 512.
    pub queue_max: usize,
    /// Time after which a queue that never emptied counts as standing: it no longer absorbs a burst
    /// but adds its length to every latency; default 300 ms.
    pub standing_after: Duration,
    /// Longest expected wait in a standing queue, as a share of the time to the deadline; default a
    /// third.
    pub standing_wait_share: f64,
    /// Hedges as a share of first attempts; default 25‰.
    pub hedge_share: Permille,
    /// Unused hedges that can accumulate; default 5.
    pub hedge_burst: u32,
    /// Latency quantile after which a request is hedged; default 0.95.
    pub hedge_quantile: f64,
    /// Retries as a share of first attempts; default 20‰.
    pub retry_share: Permille,
    /// Unused retries that can accumulate; default 10.
    pub retry_burst: u32,
    /// Maximum number of targets that this process uses; with more targets it uses a subset of this
    /// size; default 64.
    pub subset_max: usize,
    /// VM for which the subset is computed; different VMs get different subsets.
    pub subset_vm: Option<VmId>,
    /// Settings for assessing targets.
    pub target: TargetConfig,
}

impl Default for PoolConfig {
    fn default() -> Self {
        Self {
            policy: Policy::LoadAware,
            concurrency_limited: true,
            queue_max: 512,
            standing_after: Duration::from_millis(300),
            standing_wait_share: 1.0 / 3.0,
            hedge_share: Permille::new(25),
            hedge_burst: 5,
            hedge_quantile: 0.95,
            retry_share: Permille::new(20),
            retry_burst: 10,
            subset_max: 64,
            subset_vm: None,
            target: TargetConfig::default(),
        }
    }
}

impl PoolConfig {
    /// Returns settings for a policy alone, as a baseline for comparison: no concurrency limit, no
    /// queue, no hedges.
    pub fn baseline(policy: Policy) -> Self {
        let hedge_share = Permille::new(0);
        Self { policy, concurrency_limited: false, hedge_share, hedge_burst: 0, ..Self::default() }
    }
}
