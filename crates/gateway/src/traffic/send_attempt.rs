//! Sends a request to one target and records the result.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::HeaderValue;
use http::{HeaderMap, Request, StatusCode, Uri};
use http_body_util::Full;
use shallotfork_balance::SlotOutcome;
use shallotfork_events::{ATTEMPT_FAILED, event};
use shallotfork_exchange::{
    AnswerMatch, AttemptFailure, BufferedAnswer, ConnectionPurpose, TargetRequest,
};
use shallotfork_statements::TargetRun;
use shallotfork_types::{Endpoint, FailureDomain, TargetId, Verdict};

use crate::context::{Context, lock};
use crate::traffic::answer_owner::answer_owner;
use crate::traffic::answer_room::{AnswerRoom, correct_room, expected_answer_size};
use crate::traffic::attempt_outcome::{
    AttemptOutcome, classify_attempt, parse_reported_load, slot_outcome, target_may_have_crashed,
};
use crate::traffic::endless_answers::record_endless_answer;
use crate::traffic::path_checks::reaches_other_targets;
use crate::traffic::quarantine::record_crash;
use crate::traffic::rate_limit::record_rate_limit;
use crate::traffic::reach::record_reach;
use crate::traffic::routed_request::RoutedRequest;
use crate::traffic::service_slots::SlotGuard;
use crate::traffic::target_statements::{StatedBy, record_statements, target_run};
use crate::transfer::{TransferKind, message_bytes};

/// Timeout of the check whether a target's port refuses connections after a failed attempt.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Sends the request to one target and records the result. `room` is the room for the answer, if
/// the answers of the route are large.
pub async fn send_attempt(
    routed: &RoutedRequest,
    slot: SlotGuard,
    room: AnswerRoom,
) -> AttemptOutcome {
    let context = &routed.context;
    let target = slot.target().clone();
    let location = location_of(context, &target);
    let run = target_run(context, &target);
    let sent_at = context.clock.now();
    let timeout = routed.remaining(sent_at);
    let (Some((endpoint, domain)), Some(request)) =
        (location, build_target_request(routed, &target, timeout))
    else {
        // The target was removed, has said that it is leaving or wants rest, or its failure domain was
        // evacuated after its selection.
        return AttemptOutcome::NotSent;
    };
    let owner = |status: StatusCode, headers: &HeaderMap| {
        let owner = answer_owner(context, &routed.request_id, headers);
        if owner == AnswerMatch::Match {
            record_statements(context, &StatedBy { run: &run, sent_at }, status, headers);
            correct_room(&room, headers);
        }
        owner
    };
    let repeatable = routed.is_idempotent();
    let is_opened = AtomicBool::new(false);
    let target_request = TargetRequest {
        target: &target,
        endpoint,
        request,
        timeout,
        expected_size: expected_answer_size(routed),
        repeatable,
        answer_match: &owner,
        purpose: ConnectionPurpose::Request,
        on_opened: &|| is_opened.store(true, Ordering::Relaxed),
    };
    let is_cold = slot.mark_sent();
    let sent_bytes = message_bytes(target_request.request.headers(), routed.request.body.len());
    TransferKind::Requests.record_bytes(&domain, sent_bytes);
    context.large_answers.record_request(sent_bytes);
    let result = context.target_connections.send(target_request).await;
    if let Ok(answer) = &result {
        TransferKind::Answers
            .record_bytes(&domain, message_bytes(&answer.headers, answer.body.len()));
    }
    let latency = context.clock.now().since(sent_at);
    let outcome = slot_outcome(&context.dialect, &result, latency);
    let reported_load =
        result.as_ref().ok().and_then(|answer| parse_reported_load(&context.dialect, answer));
    record_reach(context, &target, is_opened.into_inner(), &result);
    record_endless_answer(context, &run, &result);
    if let Ok(answer) = &result
        && outcome != SlotOutcome::Misdirected
    {
        record_rate_limit(context, &target, answer);
    }
    slot.finish(outcome, reported_load);
    let lost_at = context.clock.now();
    let crashed = target_may_have_crashed(&result)
        && refuses_connections(routed, endpoint).await
        && reaches_other_targets(context, &target, lost_at).await;
    // A cold target may crash from overload, whatever the request.
    if crashed && !is_cold {
        record_crash(routed, &target, sent_at);
    }
    log_failed_attempt(routed, &target, &result, &AttemptDetails { outcome, latency, crashed });
    classify_attempt(&context.dialect, result)
}

/// Whether the target refuses connections; `false` if the check times out.
async fn refuses_connections(routed: &RoutedRequest, endpoint: Endpoint) -> bool {
    let timeout = routed.remaining(routed.context.clock.now()).min(CRASH_CHECK_TIMEOUT);
    let check = routed.context.target_connections.refuses_connections(endpoint);
    tokio::time::timeout(timeout, check).await.unwrap_or(false)
}

/// Details of an attempt that are logged in addition to its result.
struct AttemptDetails {
    outcome: SlotOutcome,
    latency: Duration,
    /// Whether the connection failed and the target's port then refused a new one.
    crashed: bool,
}

/// Returns the endpoint and failure domain of a target; `None` if the target was removed, is leaving
/// or rests, or its failure domain is evacuated.
fn location_of(context: &Context, target: &TargetId) -> Option<(Endpoint, FailureDomain)> {
    let published = context.published.load();
    let record = published.targets.get(target)?;
    let is_evacuated = published.evacuated.contains_key(&record.failure_domain);
    let run = TargetRun::new(target.clone(), record.started_at_ms);
    let is_leaving = lock(&context.leaving_targets).is_leaving(&run);
    let is_resting = lock(&context.rests).resting_until(&run, context.clock.now()).is_some();
    (!is_evacuated && !is_leaving && !is_resting)
        .then(|| (record.endpoint, record.failure_domain.clone()))
}

/// Logs an attempt that was not answered successfully.
fn log_failed_attempt(
    routed: &RoutedRequest,
    target: &TargetId,
    result: &Result<BufferedAnswer, AttemptFailure>,
    attempt: &AttemptDetails,
) {
    let AttemptDetails { outcome, latency, crashed } = attempt;
    if matches!(outcome, SlotOutcome::Answered { .. }) {
        return;
    }
    let (verdict, cause) = match result {
        Ok(answer) => (Verdict::Ran, format!("status {}", answer.status.as_u16())),
        Err(failure) => (failure.verdict(), failure.cause().to_string()),
    };
    event!(routed.context.log, ATTEMPT_FAILED,
        "request" => &routed.request_id,
        "service" => routed.service.as_str(),
        "target" => target.as_str(),
        "outcome" => format!("{outcome:?}"),
        "cause" => cause,
        "verdict" => verdict.as_str(),
        "crashed" => crashed,
        "fingerprint" => crashed.then(|| routed.fingerprint().to_string()).unwrap_or_default(),
        "took_ms" => u64::try_from(latency.as_millis()).unwrap_or(u64::MAX),
    );
}

/// Builds the request for one target, with the remaining time and the only target that may run it.
fn build_target_request(
    routed: &RoutedRequest,
    target: &TargetId,
    remaining: Duration,
) -> Option<Request<Full<Bytes>>> {
    let names = &routed.context.dialect.headers;
    let original = &routed.request;
    let uri = Uri::from(original.path_and_query.clone());
    let mut request = Request::new(Full::new(original.body.clone()));
    *request.method_mut() = original.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = original.headers.clone();
    let remaining_ms = u64::try_from(remaining.as_millis()).ok()?;
    let headers = request.headers_mut();
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(remaining_ms));
    headers.insert(names.expected_target.clone(), HeaderValue::try_from(target.as_str()).ok()?);
    Some(request)
}
