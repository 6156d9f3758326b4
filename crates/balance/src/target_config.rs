//! Settings for assessing the state of targets.

use std::time::Duration;

/// Settings for assessing targets.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetConfig {
    /// Requests beyond the slots of a target that may be in flight to it from this process. They
    /// wait at the target and hide the time between an answer and the next request; default 1.
    pub extra_concurrency: u32,
    /// Requests that may be in flight from this process to a target that is not its home target;
    /// default 1.
    pub non_home_concurrency: u32,
    /// Age at which the weight of a load report has fallen to a third; default 2 s.
    pub report_decay: Duration,
    /// Multiple of the median latency of the pool from which a target counts as slow; default 2.
    pub slow_factor: f64,
    /// Consecutive failures after which a target is ejected; default 3.
    pub failures_max: u32,
    /// Duration of the first ejection; it doubles with each further one; default 200 ms.
    pub ejection_first: Duration,
    /// Maximum duration of an ejection; default 10 s.
    pub ejection_max: Duration,
    /// Time over which a new target ramps up to its full share, as it may be cold; default 5 s.
    pub cold_ramp: Duration,
    /// Time over which a target ramps up to its full share after an ejection; default 1 s.
    pub return_ramp: Duration,
    /// Half-life of the evidence that a target is slow, after which the target is tried again;
    /// default 2 s.
    pub slowdown_half_life: Duration,
    /// Time for which a target that reported draining gets no requests; default 30 s. The target
    /// may have stopped draining, or another server may have taken over its address, and nothing
    /// else would show it.
    pub drain_report_ttl: Duration,
    /// Expected time added for each rank of a failure domain in the order of preference; default 1
    /// ms.
    pub far_domain_cost: Duration,
}

impl Default for TargetConfig {
    fn default() -> Self {
        Self {
            extra_concurrency: 1,
            non_home_concurrency: 1,
            report_decay: Duration::from_secs(2),
            slow_factor: 2.0,
            failures_max: 3,
            ejection_first: Duration::from_millis(200),
            ejection_max: Duration::from_secs(10),
            cold_ramp: Duration::from_secs(5),
            return_ramp: Duration::from_secs(1),
            slowdown_half_life: Duration::from_secs(2),
            drain_report_ttl: Duration::from_secs(30),
            far_domain_cost: Duration::from_millis(1),
        }
    }
}
