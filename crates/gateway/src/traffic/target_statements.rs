//! Reads what a target states about itself in the head of an answer: whether it is leaving, and for
//! how long it wants no requests from this process.

use std::time::Duration;

use http::header::{HeaderName, RETRY_AFTER};
use http::{HeaderMap, StatusCode};
use shallotfork_events::{STATEMENT_INVALID, TARGET_LEAVING, TARGET_RESTING, event};
use shallotfork_statements::TargetRun;
use shallotfork_types::{Mono, TargetId};

use crate::context::{Context, lock};
use crate::log_budget::LogDecision;

/// Maximum rest that a target can request. Longer values are truncated to it: an erroneous one would
/// leave a healthy target unused for hours.
const REST_MAX: Duration = Duration::from_secs(60);
/// Value of the header of a target that is leaving.
const IS_LEAVING: &str = "1";
/// Value of the header of a target that is not leaving.
const IS_STAYING: &str = "0";

/// The run of a target that an answer comes from.
#[derive(Debug, Clone, Copy)]
pub struct StatedBy<'a> {
    /// Run of the target to which the request was sent, as far as it was known then.
    pub run: &'a TargetRun,
    /// Time at which the request was sent.
    pub sent_at: Mono,
}

/// Returns the current run of a target as the platform publishes it.
pub fn target_run(context: &Context, target: &TargetId) -> TargetRun {
    let published = context.published.load();
    let record = published.targets.get(target);
    TargetRun::new(target.clone(), record.and_then(|record| record.started_at_ms))
}

/// Records what an answer's head says about its target. Called for every answer that belongs to its
/// request, whatever becomes of the body.
pub fn record_statements(
    context: &Context,
    stated_by: &StatedBy<'_>,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let StatedBy { run, sent_at } = *stated_by;
    let target = &run.target;
    // Another target answers at the address.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if states_leaving(context, target, headers) {
        if lock(&context.leaving_targets).record_leaving(run, context.clock.now()) {
            stop_sending(context, run, "own");
        }
    } else if status.is_success() && headers.contains_key(&context.dialect.headers.signature) {
        lock(&context.leaving_targets).record_staying(run, sent_at);
    }
    if let Some(rest) = requested_rest(context, target, status, headers) {
        let until = context.clock.now().plus(rest);
        let changed = lock(&context.rests).record(run, until);
        changed.into_iter().for_each(|until| begin_rest(context, target, rest, until));
    }
}

/// Sends no requests to a target until the rest that it has asked for is over.
fn begin_rest(context: &Context, target: &TargetId, rest: Duration, until: Mono) {
    for (_, slots) in context.services.all() {
        slots.set_rest(target, until);
    }
    event!(context.log, TARGET_RESTING, "target" => target.as_str(),
        "rest_ms" => u64::try_from(rest.as_millis()).unwrap_or(u64::MAX));
}

/// Stops sending requests to a target that is leaving, unless it has started again since. `source` is `own` for an answer to this process
/// and `peer` for a report from a peer.
pub fn stop_sending(context: &Context, run: &TargetRun, source: &str) {
    let current = target_run(context, &run.target);
    if !lock(&context.leaving_targets).is_leaving(&current) {
        return;
    }
    for (_, slots) in context.services.all() {
        slots.stop_serving(&run.target);
    }
    context.target_connections.close_idle(&run.target);
    event!(context.log, TARGET_LEAVING, "target" => run.target.as_str(), "source" => source);
}

fn states_leaving(context: &Context, target: &TargetId, headers: &HeaderMap) -> bool {
    let name = &context.dialect.headers.leaving;
    let Some(value) = headers.get(name) else { return false };
    match value.to_str().map(str::trim) {
        Ok(IS_LEAVING) => true,
        Ok(IS_STAYING) => false,
        text => {
            log_invalid(context, target, name, text.unwrap_or_default());
            false
        }
    }
}

/// Returns the rest that a target asks for when it turns a request away, in seconds that may have a
/// fraction.
fn requested_rest(
    context: &Context,
    target: &TargetId,
    status: StatusCode,
    headers: &HeaderMap,
) -> Option<Duration> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let text = headers.get(RETRY_AFTER)?.to_str().unwrap_or_default().trim();
    let rest = text.parse().ok().and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    if rest.is_none() {
        log_invalid(context, target, &RETRY_AFTER, text);
    }
    rest.map(|rest| rest.min(REST_MAX))
}

fn log_invalid(context: &Context, target: &TargetId, header: &HeaderName, value: &str) {
    let LogDecision::Write { left_out } =
        context.invalid_log_budget.try_acquire(context.clock.now())
    else {
        return;
    };
    event!(context.log, STATEMENT_INVALID, "target" => target.as_str(),
        "header" => header.as_str(), "value" => value, "left_out" => left_out);
}
