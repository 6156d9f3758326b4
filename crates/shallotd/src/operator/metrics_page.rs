//! `GET /metrics`: the metrics of the process in the text format of Prometheus.

use anyhow::Result;
use http::StatusCode;
use metrics::gauge;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use poem::{IntoResponse, Response};
use shallotfork_types::Revision;
use shallotfork_types::report::{LifeCycleState, StatusReport};

use crate::context::Context;
use crate::metrics_catalogue::{
    ANSWER_SECONDS, BODIES_BYTES, ENTRIES, IN_FLIGHT, LIST_REFUSED, LIST_REVISION, PLATFORM_CALLS,
    READY, SESSION_OPERATIONS, SESSIONS_ISSUED, SYNCED_REVISION, TARGET_IN_FLIGHT, TARGETS,
    describe_metrics,
};

const CONTENT_TYPE: &str = "text/plain; version=0.0.4";
/// Histogram buckets from half a millisecond, about the shortest duration of a proxied call, to the
/// default deadline.
const SECONDS_BUCKETS: [f64; 13] =
    [0.0005, 0.001, 0.0017, 0.003, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0];

/// Recorder of the metrics of the process.
#[derive(Clone)]
pub struct MetricsPage {
    recorder: PrometheusHandle,
}

impl MetricsPage {
    /// Installs the recorder of the process.
    ///
    /// # Errors
    /// Returns an error if the process already has a recorder.
    pub fn install() -> Result<Self> {
        let matcher = Matcher::Full(ANSWER_SECONDS.name.to_owned());
        let builder = PrometheusBuilder::new().set_buckets_for_metric(matcher, &SECONDS_BUCKETS)?;
        let recorder = builder.install_recorder()?;
        describe_metrics();
        Ok(Self { recorder })
    }

    /// Returns the page, with gauges set from `status`.
    pub fn render(&self, status: Option<StatusReport>, context: &Context) -> Response {
        let Some(status) = status else {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        };
        set_gauges(&status, context);
        self.recorder.run_upkeep();
        self.recorder.render().with_content_type(CONTENT_TYPE).into_response()
    }
}

fn set_gauges(status: &StatusReport, context: &Context) {
    let serving = status.state == LifeCycleState::Serving;
    gauge!(READY.name).set(if serving { 1.0 } else { 0.0 });
    gauge!(PLATFORM_CALLS.name).set(status.budgets.platform_calls as f64);
    gauge!(SYNCED_REVISION.name).set(status.synced_revision.value() as f64);
    gauge!(IN_FLIGHT.name).set(context.in_flight.requests() as f64);
    gauge!(BODIES_BYTES.name).set(context.body_budget.held().value() as f64);
    gauge!(SESSIONS_ISSUED.name).set(status.sessions.issued as f64);
    gauge!(SESSION_OPERATIONS.name).set(status.sessions.operations as f64);
    for list in &status.lists {
        let revision = list.revision.value() as f64;
        gauge!(LIST_REVISION.name, "list" => list.name.to_string()).set(revision);
        let refused = list.refused_revision.unwrap_or(Revision::NONE).value() as f64;
        gauge!(LIST_REFUSED.name, "list" => list.name.to_string()).set(refused);
    }
    set_state_gauges(ENTRIES.name, &ENTRY_STATES, status.entries.iter().map(|entry| &entry.state));
    set_state_gauges(
        TARGETS.name,
        &TARGET_STATES,
        status.targets.iter().map(|target| &target.state),
    );
    let in_flight: u64 = status.targets.iter().map(|target| u64::from(target.in_flight)).sum();
    gauge!(TARGET_IN_FLIGHT.name).set(in_flight as f64);
}

const ENTRY_STATES: [&str; 3] = ["live", "suspected", "leaving"];
const TARGET_STATES: [&str; 3] = ["serving", "draining", "ejected"];

/// Sets the gauge of each state. All states are set each time, so that a state without members
/// returns to zero.
fn set_state_gauges<'a>(
    name: &'static str,
    states: &'static [&'static str],
    members: impl Iterator<Item = &'a String> + Clone,
) {
    for state in states {
        let count = members.clone().filter(|member| member.as_str() == *state).count();
        gauge!(name, "state" => *state).set(count as f64);
    }
}
