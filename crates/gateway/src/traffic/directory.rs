//! Which entry a caller should use, and whether this one takes new work.

use std::sync::Arc;

use http::StatusCode;
use poem::IntoResponse;
use shallotfork_types::Endpoint;

use crate::context::Context;

const JSON: &str = "application/json";

/// Answers a caller who asks for addresses.
///
/// As few addresses are named as can carry everything: a process that sees all requests of a
/// service fills its slots far better than several that share them. The answer is kept for a short time, so that callers follow soon
/// when the named entry is lost.
pub fn directory(context: &Arc<Context>, request: &poem::Request) -> poem::Response {
    if request.uri().path() != context.dialect.paths.directory {
        return StatusCode::NOT_FOUND.into_response();
    }
    let fleet = context.fleet.load();
    let active = fleet.order.iter().take(fleet.active_count.max(1));
    let mut named: Vec<Endpoint> = active.map(|entry| entry.callers).collect();
    if named.is_empty() {
        // Nobody is known before the first heartbeats; this process serves as well as any.
        named.push(context.settings.ports.callers);
    }
    let answer = (context.dialect.directory_answer)(&named, context.settings.answer_keep);
    answer.with_content_type(JSON).into_response()
}

/// Says whether this process takes new work.
pub fn readiness(context: &Arc<Context>, request: &poem::Request) -> StatusCode {
    if request.uri().path() != context.dialect.paths.readiness {
        return StatusCode::NOT_FOUND;
    }
    if context.is_serving() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}
