//! Handles the requests that callers send to the entry.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::header::HOST;
use metrics::{counter, histogram};
use shallotfork_events::{
    CALLER_DISCONNECTED, REQUEST_ANSWERED, REQUEST_NOT_ANSWERED, REQUEST_REJECTED, event,
};
use shallotfork_exchange::{ArrivedAt, BodyLimits, CallerConnection, read_request};
use shallotfork_routes::{CallerLimits, RepeatPolicy, RouteLookup};
use shallotfork_types::{Mono, TargetId};

use crate::context::Context;
use crate::log_budget::LogDecision;
use crate::millis::millis;
use crate::traffic::answer_response::answer_response;
use crate::traffic::attempts::run_attempts;
use crate::traffic::problem_responses::{bad_request, may_have_run, not_run};
use crate::traffic::request_outcome::{CompletedRequest, RequestOutcome};
use crate::traffic::routed_request::RoutedRequest;
use crate::traffic::routing::{find_route, reject_unrouted};

/// Maximum time for a body to arrive. Equals the longest timeout that callers set for whole
/// requests.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles one request of a caller.
pub async fn handle_request(context: Arc<Context>, request: poem::Request) -> poem::Response {
    let arrived_at = arrival_time(&context, &request);
    let Some(caller) = request.extensions().get::<CallerConnection>().cloned() else {
        return bad_request("the request came on no connection");
    };
    context.request_started.notify_one();
    let caller_limits = match &context.published.load().table {
        Some(table) => table.limits(),
        None => CallerLimits::default(),
    };
    let limits = BodyLimits { body_max: caller_limits.body_max, body_timeout: BODY_TIMEOUT };
    let request = match read_request(request, &limits, &context.body_budget).await {
        Ok(request) => request,
        Err(error) => {
            event!(context.log, REQUEST_REJECTED, "reason" => error.to_string());
            return error.problem().into_response();
        }
    };
    let Some(request_id) = request_id(&context, &request.headers) else {
        return bad_request("the request has no id");
    };
    let matched = match find_route(&context, &request) {
        Ok(matched) => matched,
        Err(failure) => return reject_unrouted(&context, &request_id, &failure),
    };
    let routed =
        RoutedRequest::new(Arc::clone(&context), request, request_id, matched, arrived_at, caller);
    let completed = tokio::select! {
        biased;
        completed = run_attempts(&routed) => completed,
        () = context.wait_for_answer_deadline() => CompletedRequest::interrupted(),
    };
    log_completion(&routed, &completed);
    respond(&routed, completed)
}

/// Returns when the request arrived, which is in the past if it waited behind others on its
/// connection.
fn arrival_time(context: &Context, request: &poem::Request) -> Mono {
    let waited = request.extensions().get::<ArrivedAt>().map(|arrived_at| arrived_at.0.elapsed());
    let now_us = context.clock.now().as_micros();
    let waited_us = waited.map_or(0, |waited| u64::try_from(waited.as_micros()).unwrap_or(0));
    Mono::from_micros(now_us.saturating_sub(waited_us))
}

/// Whether a pipelined request may start before the one ahead of it has been answered.
///
/// Only idempotent requests may: if the connection closes first, the caller gets no answer to a
/// request that has run, and sends it again.
pub fn may_begin_early(context: &Context, head: &http::request::Parts) -> bool {
    let published = context.published.load();
    let Some(table) = &published.table else { return false };
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _port)| name).to_ascii_lowercase();
    match table.find(&name, head.uri.path()) {
        RouteLookup::Usable(route) => route.repeat_policy == RepeatPolicy::Idempotent,
        RouteLookup::Unusable(_) | RouteLookup::NotFound => false,
    }
}

fn request_id(context: &Context, headers: &HeaderMap) -> Option<String> {
    let id = headers.get(&context.dialect.headers.request_id)?.to_str().ok()?;
    Some(id.to_owned())
}

fn respond(routed: &RoutedRequest, completed: CompletedRequest) -> poem::Response {
    match completed.outcome {
        RequestOutcome::Answered(answer) => answer_response(routed, answer, completed.room),
        RequestOutcome::Rejected(shed) | RequestOutcome::NotRun(shed) => {
            not_run(shed.retry_after, shed.reason.as_str())
        }
        RequestOutcome::MayHaveRun { timed_out: true } => may_have_run(true, "no answer in time"),
        RequestOutcome::MayHaveRun { timed_out: false } => {
            may_have_run(false, "the target's answer is lost")
        }
        RequestOutcome::CallerLeft => may_have_run(false, "the caller has left"),
    }
}

fn log_completion(routed: &RoutedRequest, completed: &CompletedRequest) {
    let elapsed = routed.context.clock.now().since(routed.arrived_at);
    histogram!("shallotfork_request_seconds").record(elapsed.as_secs_f64());
    let (outcome, event) = match &completed.outcome {
        RequestOutcome::Answered(answer) if answer.status.is_server_error() => {
            ("error", REQUEST_ANSWERED)
        }
        RequestOutcome::Answered(_) => ("answered", REQUEST_ANSWERED),
        RequestOutcome::Rejected(shed) | RequestOutcome::NotRun(shed) => {
            (shed.reason.as_str(), REQUEST_REJECTED)
        }
        RequestOutcome::MayHaveRun { timed_out: true } => ("timeout", REQUEST_NOT_ANSWERED),
        RequestOutcome::MayHaveRun { timed_out: false } => ("lost", REQUEST_NOT_ANSWERED),
        RequestOutcome::CallerLeft => ("caller-left", CALLER_DISCONNECTED),
    };
    counter!("shallotfork_requests", "outcome" => outcome).increment(1);
    let is_late = completed.is_late(routed.objective, routed.context.clock.now());
    if is_late {
        completed.hedge.count_late();
    }
    let context = &routed.context;
    let left_out = match context.request_log_budget.try_acquire(context.clock.now()) {
        LogDecision::Write { left_out } => left_out,
        LogDecision::Suppress if event == REQUEST_ANSWERED => return,
        LogDecision::Suppress => 0,
    };
    let published = context.published.load();
    let outage = published.platform_disconnected_at.map(|at| context.clock.now().since(at));
    let targets: Vec<&str> = completed.tried.iter().map(TargetId::as_str).collect();
    event!(context.log, event,
        "request" => &routed.request_id,
        "route" => routed.route.name.as_str(),
        "version" => routed.version.number(),
        "service" => routed.service.as_str(),
        "outcome" => outcome,
        "targets" => targets.join(","),
        "forwarded" => completed.is_forwarded,
        "hedge" => completed.hedge.log_text(is_late),
        "retry_after_ms" => completed.retry_after().map_or(0, millis),
        "waited_before_ms" => millis(routed.prior_wait),
        "queued_ms" => millis(completed.queued),
        "late_ms" => millis(routed.context.scheduling_delay()),
        "took_ms" => millis(elapsed),
        "left_ms" => millis(routed.remaining(context.clock.now())),
        "platform_away_ms" => outage.map_or(0, millis),
        "left_out" => left_out,
    );
}
