//! How evidence about a target is weighed.

use std::time::Duration;

/// Settings for judging targets.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetConfig {
    /// Requests beyond the target's slots that may be in flight to it from this process. They
    /// hide the time between an answer and the next request, and wait at the target; default 1.
    pub extra_concurrency: u32,
    /// Requests that may be in flight from this process to a target that is another's home;
    /// default 1.
    pub non_home_concurrency: u32,
    /// Age at which a load report counts for a third; default 2 s.
    pub report_decay: Duration,
    /// A target counts as slow from this multiple of the pool's median latency; default 2.
    pub slow_factor: f64,
    /// Failures in a row after which a target is left out for a while; default 3.
    pub failures_max: u32,
    /// How long a target is left out at first; it doubles each time; default 200 ms.
    pub ejection_first: Duration,
    /// How long a target is left out at most; default 10 s.
    pub ejection_max: Duration,
    /// How long a new target takes to get its whole share, as it may be cold; default 5 s.
    pub cold_ramp: Duration,
    /// How long a target that was left out for failures takes to get its whole share; default 1 s.
    pub return_ramp: Duration,
    /// Time after which half of the evidence that a target is slow is forgotten, so that it is
    /// tried again; default 2 s.
    pub slowness_half_life: Duration,
    /// How long a target that said it is leaving gets nothing; default 30 s. It may have changed
    /// its mind, or another server may have taken its address, and nothing else would tell.
    pub drain_report_ttl: Duration,
    /// Added expected time for a target outside the preferred failure domains; default 1 ms.
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
            slowness_half_life: Duration::from_secs(2),
            drain_report_ttl: Duration::from_secs(30),
            far_domain_cost: Duration::from_millis(1),
        }
    }
}
