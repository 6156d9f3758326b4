//! Settings of a [`SlotPool`](super::SlotPool).

use std::time::Duration;

use shallotfork_types::FailureDomain;

/// Configures how a pool ranks and ejects targets and when it sheds requests.
#[derive(Debug, Clone, PartialEq)]
pub struct SlotPoolConfig {
    /// Work time assumed for a class before its first answer; default 100 ms.
    pub initial_work_time: Duration,
    /// Time constant with which a target's slowdown report loses weight; default 150 ms, the length
    /// of the phases in which neighbours on the same host slow a target down.
    pub slowdown_decay: Duration,
    /// Age of a target's last load report beyond which the target is probed before a request is
    /// sent to it; default 10 ms, a small fraction of a slow phase. A probe takes one round trip.
    pub load_max_age: Duration,
    /// Age of a target's last report of whether it is cold beyond which the target is probed before
    /// a request is sent to it, if its service has a warm-up; default 50 ms. Only probe answers
    /// carry this report, and a busy target's other answers keep its load known without a probe.
    pub cold_report_max_age: Duration,
    /// Time between two probes of a target while requests wait for the end of its slow phase;
    /// default 25 ms, a small fraction of such a phase.
    pub probe_interval: Duration,
    /// Fraction of the time to its deadline, in thousandths, for which a request may wait that can
    /// no longer be answered within its objective; default 250.
    pub late_wait_permille: u32,
    /// Name of this process. It determines the rank of equally good targets, so that processes
    /// don't all fill the same target first.
    pub name: String,
    /// Failure domain of this process; `None` treats all targets as equally close.
    pub failure_domain: Option<FailureDomain>,
    /// Cost of sending a request to another failure domain, in thousandths of the usual time of its
    /// class; default 1000. A remote target is chosen when the local ones would take twice as long
    /// or have no suitable slot. Estimates of equal targets differ by a fraction of that time,
    /// which must not make requests cross failure domains.
    pub cross_domain_cost_permille: u32,
    /// Maximum number of queued requests; default 4096, a bound on memory only.
    pub queue_max: usize,
    /// Shortest time after which a rejected caller is asked to retry; default 150 ms.
    pub retry_after_min: Duration,
    /// Longest time after which a rejected caller is asked to retry; default 2 s.
    pub retry_after_max: Duration,
    /// Consecutive failures after which a target is ejected; default 3.
    pub failures_max: u32,
    /// Duration of the first ejection, doubled with each further one; default 400 ms, a few times
    /// the usual work time.
    pub ejection_initial: Duration,
    /// Longest duration of an ejection; default 4 s.
    pub ejection_max: Duration,
    /// Multiple of its expected time after which an attempt marks its target as hanging; default 6,
    /// above the factor of 5 by which neighbours slow a target down.
    pub overdue_factor: f64,
}

impl Default for SlotPoolConfig {
    fn default() -> Self {
        Self {
            initial_work_time: Duration::from_millis(100),
            slowdown_decay: Duration::from_millis(150),
            load_max_age: Duration::from_millis(10),
            cold_report_max_age: Duration::from_millis(50),
            probe_interval: Duration::from_millis(25),
            late_wait_permille: 250,
            name: String::new(),
            failure_domain: None,
            cross_domain_cost_permille: 1000,
            queue_max: 4096,
            retry_after_min: Duration::from_millis(150),
            retry_after_max: Duration::from_secs(2),
            failures_max: 3,
            ejection_initial: Duration::from_millis(400),
            ejection_max: Duration::from_secs(4),
            overdue_factor: 6.0,
        }
    }
}
