//! Serves the advertised entries to callers, and the readiness of this entry.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use poem::IntoResponse;
use shallotfork_fleet::endpoints_for_caller;

use crate::context::Context;
use crate::traffic::configuration_report::readiness_report;

/// Time after the start of a process during which it may not know all other entries.
const STARTUP_PERIOD: Duration = Duration::from_millis(2500);
/// Maximum time for which callers may cache an answer given during [`STARTUP_PERIOD`].
const STARTUP_TTL_MAX: Duration = Duration::from_millis(400);
const JSON: &str = "application/json";

/// Answers a caller's request for the endpoints of advertised entries.
///
/// Callers may cache the answer for a short time only, so that they soon stop using an advertised
/// entry that was lost.
pub fn handle_directory(context: &Arc<Context>, request: &poem::Request) -> poem::Response {
    if request.uri().path() != context.dialect.paths.directory {
        return StatusCode::NOT_FOUND.into_response();
    }
    let fleet = context.fleet.load();
    let query = request.uri().query().unwrap_or_default();
    let domain = (context.dialect.parse_caller_domain)(query);
    let mut endpoints =
        endpoints_for_caller(&fleet.advertised, &context.settings.regions, domain.as_ref());
    if endpoints.is_empty() {
        if !context.is_serving() {
            // A caller should rather keep using the older answer that it has cached.
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        // No entry is known before the first heartbeats, so this process advertises itself.
        endpoints.push(context.settings.ports.callers);
    }
    let ttl = answer_ttl(context);
    let answer = (context.dialect.format_directory_answer)(&endpoints, ttl);
    answer.with_content_type(JSON).into_response()
}

/// Returns how long callers may cache an answer: shorter after the start, while this process may
/// not know the whole fleet and so may advertise a different entry than the others do.
fn answer_ttl(context: &Context) -> Duration {
    let is_starting = context.uptime() < STARTUP_PERIOD;
    let ttl = context.settings.directory_ttl;
    if is_starting { ttl.min(STARTUP_TTL_MAX) } else { ttl }
}

/// Answers whether this process accepts new requests, by the status. The body tells how far the newest
/// known configuration is in force, which does not affect the status.
pub fn handle_readiness(context: &Arc<Context>, request: &poem::Request) -> poem::Response {
    if request.uri().path() != context.dialect.paths.readiness {
        return StatusCode::NOT_FOUND.into_response();
    }
    let is_serving = context.is_serving();
    let status = if is_serving { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let report = readiness_report(&context.published.load().configuration);
    report.with_content_type(JSON).with_status(status).into_response()
}
