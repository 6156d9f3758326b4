//! Catalogue of metrics: name, kind and help text, as listed in `docs/metrics.md`.

use metrics::{Unit, describe_counter, describe_gauge, describe_histogram};

/// Metric of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Metric {
    /// Name with the unit as suffix.
    pub name: &'static str,
    /// Help text.
    pub help: &'static str,
    /// Kind of the metric.
    pub kind: MetricKind,
}

/// Kinds of metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// Value that only grows.
    Counter,
    /// Current value.
    Gauge,
    /// Distribution of durations in seconds.
    Seconds,
}

macro_rules! metrics {
    ($($id:ident = $name:literal, $kind:ident, $help:literal;)*) => {
        $(
            #[doc = $help]
            pub const $id: Metric = Metric { name: $name, help: $help, kind: MetricKind::$kind };
        )*

        /// All metrics in the order of `docs/metrics.md`.
        pub const METRICS: &[Metric] = &[$($id),*];
    };
}

metrics! {
    ANSWERS = "shallotd_answers_total", Counter,
        "Answers to callers, by status class (label status) and verdict (label verdict; none for a target's own answer).";
    ANSWER_SECONDS = "shallotd_answer_seconds", Seconds,
        "Time from a request's head to its whole answer.";
    IN_FLIGHT = "shallotd_in_flight", Gauge, "Requests of callers in flight.";
    BODIES_BYTES = "shallotd_bodies_bytes", Gauge, "Memory held for bodies.";
    READY = "shallotd_ready", Gauge, "1 while serving, else 0.";
    SYNCED_REVISION = "shallotd_synced_revision", Gauge,
        "Revision up to which the platform has been read.";
    LIST_REVISION = "shallotd_list_revision", Gauge, "Revision in force of each list (label list).";
    LIST_REFUSED = "shallotd_list_refused_revision", Gauge,
        "Highest revision refused of each list (label list), when it is not below the one in force; else 0.";
    LIST_OFFERS = "shallotd_list_offers_total", Counter,
        "Lists that the platform or a peer offered, by what became of them (label outcome).";
    LIST_PULLS = "shallotd_list_pulls_total", Counter,
        "Reads of a peer's lists because they differ from the own ones.";
    PLATFORM_BEHIND = "shallotd_platform_behind_revisions", Gauge,
        "How far the replica that answered last (label replica) is behind the highest revision seen.";
    PLATFORM_CALLS = "shallotd_platform_calls", Gauge, "Calls to the platform since the start.";
    PLATFORM_BYTES = "shallotd_platform_bytes_total", Counter,
        "Bytes of answers read from the platform.";
    PEER_BYTES = "shallotd_peer_bytes_total", Counter,
        "Bytes of calls between entries (label direction).";
    ENTRIES = "shallotd_entries", Gauge, "Entries known, by state (label state).";
    TARGETS = "shallotd_targets", Gauge, "Targets known, by state (label state).";
    TARGET_IN_FLIGHT = "shallotd_target_in_flight", Gauge, "Requests at targets.";
    SESSIONS_ISSUED = "shallotd_sessions_issued", Gauge, "Sessions issued since the start.";
    SESSION_OPERATIONS = "shallotd_session_operations", Gauge, "Operations in the ledger.";
}

/// Registers the help texts of all metrics with the recorder.
pub fn describe_metrics() {
    for metric in METRICS {
        match metric.kind {
            MetricKind::Counter => describe_counter!(metric.name, metric.help),
            MetricKind::Gauge => describe_gauge!(metric.name, metric.help),
            MetricKind::Seconds => describe_histogram!(metric.name, Unit::Seconds, metric.help),
        }
    }
}
