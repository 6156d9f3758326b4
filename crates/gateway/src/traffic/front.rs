//! The callers' port.

use std::sync::Arc;
use std::time::Duration;

use http::header::HOST;
use http::{HeaderMap, Method};
use metrics::{counter, histogram};
use shallotfork_events::{
    CALLER_LEFT, CALLER_REFUSED, REQUEST_ANSWERED, REQUEST_NOT_ANSWERED, event,
};
use shallotfork_exchange::{
    ArrivedAt, BodyLimits, BufferedRequest, CallerConnection, read_request,
};
use shallotfork_routes::RepeatPolicy;
use shallotfork_types::{Bytes, Mono, TargetId};

use crate::context::Context;
use crate::line_budget::LineLeave;
use crate::traffic::attempts::{Course, Ended, attempts};
use crate::traffic::job::{Job, Routed};
use crate::traffic::refusal::{bad_request, may_have_run, no_route, not_run};

/// When to come back to an entry that knows no routes yet; about the time in which it learns them.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The longest time for a body to arrive; the same as for whole requests of the most patient
/// callers.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The largest body before any limit is published.
const BODY_MAX: Bytes = Bytes::from_mib(8);

/// Answers one request of a caller.
pub async fn front(context: Arc<Context>, request: poem::Request) -> poem::Response {
    let arrived = arrived(&context, &request);
    let Some(caller) = request.extensions().get::<CallerConnection>().cloned() else {
        return bad_request("the request came on no connection");
    };
    context.begins.notify_one();
    let body_max =
        context.published.load().table.as_ref().map_or(BODY_MAX, |table| table.limits().body_max);
    let limits = BodyLimits { body_max, body_timeout: BODY_TIMEOUT };
    let request = match read_request(request, &limits, &context.bodies).await {
        Ok(request) => request,
        Err(refusal) => {
            event!(context.log, CALLER_REFUSED, "reason" => refusal.to_string());
            return refusal.problem().into_response();
        }
    };
    let Some(request_id) = request_id(&context, &request.headers) else {
        return bad_request("the request has no id");
    };
    let routed = match route(&context, &request) {
        Ok(routed) => routed,
        Err(reason) => {
            event!(context.log, CALLER_REFUSED, "request" => request_id,
                "reason" => format!("{reason:?}"));
            return reason.response();
        }
    };
    let method = request.method.clone();
    let job = Job::new(Arc::clone(&context), request, request_id, routed, arrived, caller);
    let course = tokio::select! {
        biased;
        course = attempts(&job) => course,
        () = context.answers_are_due() => Course::cut_short(),
    };
    report(&job, &course);
    respond(course, &method)
}

/// When the request arrived, which is before now if it has waited behind others.
fn arrived(context: &Context, request: &poem::Request) -> Mono {
    let waited = request.extensions().get::<ArrivedAt>().map(|arrived| arrived.0.elapsed());
    let now_us = context.clock.now().as_micros();
    let waited_us = waited.map_or(0, |waited| u64::try_from(waited.as_micros()).unwrap_or(0));
    Mono::from_micros(now_us.saturating_sub(waited_us))
}

/// Whether a request that waits behind another one on its connection may be begun: it may run
/// although its caller never gets an answer on this connection, and so sends it again.
pub fn may_begin_early(context: &Context, head: &http::request::Parts) -> bool {
    let published = context.published.load();
    let Some(table) = &published.table else { return false };
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _port)| name).to_ascii_lowercase();
    let route = table.find(&name, head.uri.path());
    route.is_some_and(|route| route.repeat_policy == RepeatPolicy::Idempotent)
}

fn request_id(context: &Context, headers: &HeaderMap) -> Option<String> {
    let id = headers.get(&context.dialect.headers.request_id)?.to_str().ok()?;
    Some(id.to_owned())
}

/// Why a request has no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Unrouted {
    /// No routes are known yet.
    Starting,
    /// No route known here covers it, but the platform has not answered for a while: a new route
    /// may not be known here. Its caller may try another entry.
    PerhapsNew,
    /// No route covers it.
    NoRoute,
}

impl Unrouted {
    fn response(self) -> poem::Response {
        match self {
            Self::Starting => not_run(STARTING_RETRY_AFTER, "no routes are known yet"),
            Self::PerhapsNew => {
                not_run(STARTING_RETRY_AFTER, "the routes known here may be out of date")
            }
            Self::NoRoute => no_route(),
        }
    }
}

/// The route in force, and the version of the table that says so.
fn route(context: &Context, request: &BufferedRequest) -> Result<Routed, Unrouted> {
    let published = context.published.load();
    let table = published.table.as_ref().ok_or(Unrouted::Starting)?;
    let host = request.service.as_str().to_ascii_lowercase();
    if let Some(route) = table.find(&host, request.path_and_query.path()) {
        return Ok(Routed { route: Arc::clone(route), version: table.version() });
    }
    let lost = published.platform_lost_at.is_some();
    Err(if lost { Unrouted::PerhapsNew } else { Unrouted::NoRoute })
}

fn respond(course: Course, method: &Method) -> poem::Response {
    match course.ended {
        Ended::Answered(answer) => answer.into_response(method),
        Ended::Refused(shed) | Ended::NotRun(shed) => {
            not_run(shed.retry_after, shed.reason.as_str())
        }
        Ended::MayHaveRun { timed_out: true } => may_have_run(true, "no answer in time"),
        Ended::MayHaveRun { timed_out: false } => {
            may_have_run(false, "the target's answer is lost")
        }
        Ended::CallerLeft => may_have_run(false, "the caller has left"),
    }
}

fn report(job: &Job, course: &Course) {
    let took = job.context.clock.now().since(job.arrived);
    histogram!("shallotfork_request_seconds").record(took.as_secs_f64());
    let (outcome, event) = match &course.ended {
        Ended::Answered(answer) if answer.status.is_server_error() => ("error", REQUEST_ANSWERED),
        Ended::Answered(_) => ("answered", REQUEST_ANSWERED),
        Ended::Refused(shed) | Ended::NotRun(shed) => (shed.reason.as_str(), CALLER_REFUSED),
        Ended::MayHaveRun { timed_out: true } => ("timeout", REQUEST_NOT_ANSWERED),
        Ended::MayHaveRun { timed_out: false } => ("lost", REQUEST_NOT_ANSWERED),
        Ended::CallerLeft => ("caller-left", CALLER_LEFT),
    };
    counter!("shallotfork_requests", "outcome" => outcome).increment(1);
    let context = &job.context;
    let left_out = match context.lines.ask(context.clock.now()) {
        LineLeave::Write { left_out } => left_out,
        LineLeave::LeaveOut if event == REQUEST_ANSWERED => return,
        LineLeave::LeaveOut => 0,
    };
    let published = context.published.load();
    let away = published.platform_lost_at.map(|at| context.clock.now().since(at));
    let targets: Vec<&str> = course.tried.iter().map(TargetId::as_str).collect();
    event!(context.log, event,
        "request" => &job.request_id,
        "route" => job.route.name.as_str(),
        "version" => job.version.number(),
        "service" => job.service.as_str(),
        "outcome" => outcome,
        "targets" => targets.join(","),
        "retry_after_ms" => course.retry_after().map_or(0, millis),
        "waited_before_ms" => millis(job.waited),
        "queued_ms" => millis(course.queued),
        "late_ms" => millis(job.context.late_by()),
        "took_ms" => millis(took),
        "left_ms" => millis(job.left(context.clock.now())),
        "platform_away_ms" => away.map_or(0, millis),
        "left_out" => left_out,
    );
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
