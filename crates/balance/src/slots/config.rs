//! Settings of a [`SlotPool`](super::SlotPool).

use std::time::Duration;

use shallotfork_types::FailureDomain;

/// How a pool judges targets and when it refuses.
#[derive(Debug, Clone, PartialEq)]
pub struct SlotPoolConfig {
    /// Work of a class before its first answer; default 100 ms.
    pub initial_work_time: Duration,
    /// How long a target's own word on its pace says something; default 150 ms, the length of the
    /// phases in which neighbours on the same host slow it down.
    pub slowdown_decay: Duration,
    /// Age of a target's last report after which it is asked again before a request is sent to it;
    /// default 10 ms, a small part of a slow phase; asking takes one round trip.
    pub load_max_age: Duration,
    /// Age of a target's last word on whether it is cold after which it is asked again before a
    /// request is sent to it, if its service has a warm-up; default 50 ms. Only answers to questions
    /// tell it, and a busy target's other answers keep its load known without one.
    pub cold_report_max_age: Duration,
    /// Time between two probes of a target while requests wait for it to end a slow phase; default
    /// 25 ms, a small part of such a phase.
    pub probe_interval: Duration,
    /// Part of the time until its deadline that a request which can't be answered within its
    /// objective any more may wait, in thousandths; default 250.
    pub late_wait_permille: u32,
    /// Name of this process. Targets that are equal otherwise are taken in an order that differs
    /// from process to process; processes that all began with the same one would fill it.
    pub name: String,
    /// The failure domain of this process; `None` when all are equally near.
    pub failure_domain: Option<FailureDomain>,
    /// What it costs that a request crosses failure domains, as time by which targets are compared,
    /// in thousandths of the usual time of its class; default 1000. A far target is chosen when the
    /// near ones would take twice as long or have no slot that is fit. What is measured of equal
    /// targets differs by a part of that time, for which no request should cross.
    pub cross_domain_cost_permille: u32,
    /// Requests that may wait at once; default 4096, bounded by memory only.
    pub queue_max: usize,
    /// Shortest advice when to come back; default 150 ms.
    pub retry_after_min: Duration,
    /// Longest advice when to come back; default 2 s.
    pub retry_after_max: Duration,
    /// Failures in a row after which a target is left out; default 3.
    pub failures_max: u32,
    /// First time for which a failing target is left out; doubles with each further failure;
    /// default 400 ms, a few times the usual work.
    pub ejection_initial: Duration,
    /// Longest time for which a failing target is left out; default 4 s.
    pub ejection_max: Duration,
    /// An attempt that runs for this many times its expected time says that its target hangs;
    /// default 6, beyond the factor of 5 by which neighbours slow a target down.
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
