//! Reads what a target states about itself in the head of an answer: whether it is leaving, and for
//! how long it wants no requests from this process.

use std::time::Duration;

use http::header::{HeaderName, RETRY_AFTER};
use http::{HeaderMap, StatusCode};
use shallotfork_events::{STATEMENT_INVALID, TARGET_LEAVING, TARGET_RESTING, event};
use shallotfork_types::TargetId;

use crate::context::Context;
use crate::log_budget::LogDecision;

/// Longest rest that a target can ask for. A longer one is more likely an error than a wish, and would
/// leave the target unused for long after it.
const REST_MAX: Duration = Duration::from_secs(60);
/// Value of the header of a target that is leaving.
const IS_LEAVING: &str = "1";
/// Value of the header of a target that is not leaving.
const IS_STAYING: &str = "0";

/// Records what an answer's head says about its target. Called for every answer that belongs to its
/// request, whatever becomes of the body.
pub fn record_statements(
    context: &Context,
    target: &TargetId,
    status: StatusCode,
    headers: &HeaderMap,
) {
    // Another target answers at the address.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if states_leaving(context, target, headers)
        && let LogDecision::Write { .. } =
            context.invalid_log_budget.try_acquire(context.clock.now())
    {
        event!(context.log, TARGET_LEAVING, "target" => target.as_str());
    }
    if let Some(rest) = requested_rest(context, target, status, headers)
        && let LogDecision::Write { .. } =
            context.invalid_log_budget.try_acquire(context.clock.now())
    {
        event!(context.log, TARGET_RESTING, "target" => target.as_str(),
            "rest_ms" => u64::try_from(rest.as_millis()).unwrap_or(u64::MAX));
    }
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
