//! How evidence about a target is weighed.

use std::time::Duration;

/// Settings for judging targets.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetConfig {
    /// Requests beyond the target's slots that may be in flight to it from this process. They
    /// hide the time between an answer and the next request, and wait at the target; default 1.
    pub gate_extra: u32,
    /// Requests that may be in flight from this process to a target that is another's home;
    /// default 1.
    pub gate_away: u32,
    /// Age at which a load report counts for a third; default 2 s.
    pub report_fade: Duration,
    /// A target counts as slow from this multiple of the pool's median latency; default 2.
    pub slow_factor: f64,
    /// Failures in a row after which a target is left out for a while; default 3.
    pub failures_max: u32,
    /// How long a target is left out at first; it doubles each time; default 200 ms.
    pub ejection_first: Duration,
    /// How long a target is left out at most; default 10 s.
    pub ejection_max: Duration,
    /// How long a new target takes to get its whole share, as it may be cold; default 5 s.
    pub ramp: Duration,
    /// How long a target that was left out for failures takes to get its whole share; default 1 s.
    pub return_ramp: Duration,
    /// Time after which half of the evidence that a target is slow is forgotten, so that it is
    /// tried again; default 2 s.
    pub forget: Duration,
    /// How long a target that said it is leaving gets nothing; default 30 s. It may have changed
    /// its mind, or another server may have taken its address, and nothing else would tell.
    pub drain_trust: Duration,
    /// Added expected time for a target outside the preferred failure domains; default 1 ms.
    pub far_cost: Duration,
}

impl Default for TargetConfig {
    fn default() -> Self {
        Self {
            gate_extra: 1,
            gate_away: 1,
            report_fade: Duration::from_secs(2),
            slow_factor: 2.0,
            failures_max: 3,
            ejection_first: Duration::from_millis(200),
            ejection_max: Duration::from_secs(10),
            ramp: Duration::from_secs(5),
            return_ramp: Duration::from_secs(1),
            forget: Duration::from_secs(2),
            drain_trust: Duration::from_secs(30),
            far_cost: Duration::from_millis(1),
        }
    }
}
