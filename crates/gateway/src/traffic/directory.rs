//! Which entry a caller should use, and whether this one takes new work.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use poem::IntoResponse;
use shallotfork_fleet::endpoints_for_caller;

use crate::context::Context;

/// Time after its start in which a process may not know all others.
const YOUNG_FOR: Duration = Duration::from_millis(2500);
/// How long an answer is kept that was given in that time.
const YOUNG_KEEP: Duration = Duration::from_millis(400);
const JSON: &str = "application/json";

/// Answers a caller who asks for addresses.
///
/// The answer is kept for a short time, so that callers follow soon when a named entry is lost.
pub fn handle_directory(context: &Arc<Context>, request: &poem::Request) -> poem::Response {
    if request.uri().path() != context.dialect.paths.directory {
        return StatusCode::NOT_FOUND.into_response();
    }
    let fleet = context.fleet.load();
    let question = request.uri().query().unwrap_or_default();
    let domain = (context.dialect.caller_domain)(question);
    let mut named = endpoints_for_caller(&fleet.named, &context.settings.regions, domain.as_ref());
    if named.is_empty() {
        if !context.is_serving() {
            // Callers that keep an older answer do better with it.
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        // Nobody is known before the first heartbeats; this process serves as well as any.
        named.push(context.settings.ports.callers);
    }
    let keep = answer_keep(context);
    let answer = (context.dialect.directory_answer)(&named, keep);
    answer.with_content_type(JSON).into_response()
}

/// How long a caller may keep an answer: shorter while this process may not know the fleet yet, and
/// so names another entry than the rest does.
fn answer_keep(context: &Context) -> Duration {
    let young = context.age() < YOUNG_FOR;
    let keep = context.settings.answer_keep;
    if young { keep.min(YOUNG_KEEP) } else { keep }
}

/// Says whether this process takes new work.
pub fn handle_readiness(context: &Arc<Context>, request: &poem::Request) -> StatusCode {
    if request.uri().path() != context.dialect.paths.readiness {
        return StatusCode::NOT_FOUND;
    }
    if context.is_serving() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}
