//! Settings of a pool.

use std::time::Duration;

use shallotfork_types::{Permille, VmId};

use crate::{Policy, TargetConfig};

/// Settings of a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolConfig {
    /// How a target is chosen.
    pub policy: Policy,
    /// Whether requests wait here for a target with room; otherwise they are sent at once and
    /// wait at the target.
    pub concurrency_limited: bool,
    /// Requests that may wait here; more are shed; default 512.
    pub queue_max: usize,
    /// When requests have waited without a break for this long, the queue no longer absorbs a
    /// burst but adds its length to every latency; default 300 ms.
    pub standing_after: Duration,
    /// The longest expected wait in such a queue, as a part of the time to the deadline; default a
    /// third.
    pub standing_wait_share: f64,
    /// Hedges as a share of first attempts; default 25‰.
    pub hedge_share: Permille,
    /// Hedges that may be saved up; default 5.
    pub hedge_burst: u32,
    /// A request is hedged when it takes longer than this share of recent ones; default 0.95.
    pub hedge_quantile: f64,
    /// Retries as a share of first attempts; default 20‰.
    pub retry_share: Permille,
    /// Retries that may be saved up; default 10.
    pub retry_burst: u32,
    /// With more targets, this process uses a subset of this size; default 64.
    pub subset_max: usize,
    /// Whose subset it is; different names get different subsets.
    pub subset_vm: Option<VmId>,
    /// How evidence about targets is weighed.
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
    /// A policy alone, to compare with: no gate, no queue, no hedges.
    pub fn baseline(policy: Policy) -> Self {
        let hedge_share = Permille::new(0);
        Self { policy, concurrency_limited: false, hedge_share, hedge_burst: 0, ..Self::default() }
    }
}
