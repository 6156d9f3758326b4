//! Sends a request to targets until one answers or no further attempt is allowed.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::future::{Either, select};
use http::header::HeaderValue;
use http::{HeaderMap, Request, StatusCode, Uri};
use http_body_util::Full;
use shallotfork_balance::{RetryAllowance, Shed, SlotOutcome};
use shallotfork_events::{ATTEMPT_FAILED, event};
use shallotfork_exchange::{
    AnswerMatch, AttemptFailure, BufferedAnswer, ConnectionPurpose, TargetRequest,
};
use shallotfork_quarantine::SendKind;
use shallotfork_statements::TargetRun;
use shallotfork_types::{Endpoint, FailureDomain, Permille, TargetId, Verdict};

use crate::context::{Context, lock};
use crate::traffic::attempt_outcome::{
    AttemptOutcome, classify_attempt, parse_reported_load, slot_outcome, target_may_have_crashed,
};
use crate::traffic::forward::{forward, reject_without_path, should_forward, wait_until_forwarded};
use crate::traffic::path_checks::reaches_other_targets;
use crate::traffic::probes::{ProbeResult, probe};
use crate::traffic::quarantine::{begin_run, is_clear, record_answer, record_crash};
use crate::traffic::rate_limit::record_rate_limit;
use crate::traffic::reach::record_reach;
use crate::traffic::routed_request::RoutedRequest;
use crate::traffic::service_slots::{ServiceSlots, SlotGuard};
use crate::traffic::target_statements::{StatedBy, record_statements, target_run};
use crate::transfer::{TransferKind, message_bytes};

/// Maximum number of unreachable targets before a request is given up. Nothing is sent to these, so
/// they do not count towards the route's limit on attempts.
const UNREACHABLE_TARGETS_MAX: u32 = 4;
/// Multiple of the usual request time after which a hedge is sent.
const HEDGE_DELAY_FACTOR: f64 = 3.0;
/// Maximum number of targets probed for one request before it is sent without a probe.
const PROBED_TARGETS_MAX: u32 = 4;
/// Lower bound of the hedge delay, for use while few requests have been measured.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(200);
/// Timeout of the check whether a target's port refuses connections after a failed attempt.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Statuses that tell a caller that its request has not run and will not run.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];
/// Share of the fleet's fixed retry allowance for the advertised entries. After a change of the
/// advertised entry, some callers use the previous one until their cached answer expires, so twice
/// this share must be less than the whole.
const ADVERTISED_SHARE: Permille = Permille::new(450);

/// Outcome of a caller's request.
#[derive(Debug)]
pub enum RequestOutcome {
    /// A target answered.
    Answered(BufferedAnswer),
    /// No further attempt was admitted; the request has not run at any target.
    Rejected(Shed),
    /// The request was not run by any of the targets that it was sent to.
    NotRun(Shed),
    /// The request may have run.
    MayHaveRun {
        /// Whether the deadline passed.
        timed_out: bool,
    },
    /// The caller disconnected before the request, or another attempt of it, was sent.
    CallerLeft,
}

/// Outcome of a request, with the details that are logged.
#[derive(Debug)]
pub struct CompletedRequest {
    /// Outcome of the request.
    pub outcome: RequestOutcome,
    /// Targets that the request was sent to, in order.
    pub tried: Vec<TargetId>,
    /// Time spent waiting for slots.
    pub queued: Duration,
    /// Whether the request was forwarded to another entry.
    pub is_forwarded: bool,
}

impl CompletedRequest {
    /// Returns the outcome of a request that is still running when the process stops.
    pub fn interrupted() -> Self {
        let outcome = RequestOutcome::MayHaveRun { timed_out: true };
        Self { outcome, tried: Vec::new(), queued: Duration::ZERO, is_forwarded: false }
    }

    /// Returns the delay after which the caller may send the request again.
    pub fn retry_after(&self) -> Option<Duration> {
        match &self.outcome {
            RequestOutcome::Rejected(shed) | RequestOutcome::NotRun(shed) => Some(shed.retry_after),
            RequestOutcome::Answered(_)
            | RequestOutcome::MayHaveRun { .. }
            | RequestOutcome::CallerLeft => None,
        }
    }
}

/// Makes attempts for a request until it is answered or no further attempt is allowed.
pub async fn run_attempts(routed: &RoutedRequest) -> CompletedRequest {
    let context = &routed.context;
    let slots = context.slots(&routed.service);
    if !should_forward(routed) {
        slots.record_request();
    }
    let mut history = AttemptHistory::default();
    loop {
        if should_forward(routed)
            && let Some(outcome) = forward(routed).await
        {
            return history.complete_forwarded(outcome);
        }
        if let Some(shed) = reject_without_path(context) {
            return history.complete_without_slot(shed);
        }
        // Rejects a request that the quarantine holds back, before it waits for a slot.
        if let Err(shed) = begin_run(routed, history.next_send_kind()) {
            return history.complete_without_slot(shed);
        }
        let requested_at = context.clock.now();
        let acquired = tokio::select! {
            acquired = acquire_probed_slot(routed, &slots, &history) => acquired,
            () = wait_until_forwarded(routed) => continue,
        };
        history.queued += context.clock.now().since(requested_at);
        let slot = match acquired {
            Ok(slot) => slot,
            Err(shed) => return history.complete_without_slot(shed),
        };
        if routed.caller.is_closed() {
            return history.complete(RequestOutcome::CallerLeft);
        }
        // Checks again, since other runs may have started or ended while the request waited.
        let run = match begin_run(routed, history.next_send_kind()) {
            Ok(run) => run,
            Err(shed) => return history.complete_without_slot(shed),
        };
        let outcome = send_until_forwarded(routed, slot, &mut history).await;
        drop(run);
        if let AttemptOutcome::Answered(answer) = outcome {
            record_answer(routed);
            return history.complete(RequestOutcome::Answered(answer));
        }
        let was_sent = !matches!(outcome, AttemptOutcome::NotSent);
        let may_retry = history.record_outcome(outcome, routed)
            // An attempt that was not sent loads no target, so its retry needs no allowance.
            && (!was_sent || slots.try_acquire_retry(retry_allowance(context)));
        if !may_retry || routed.remaining(context.clock.now()).is_zero() {
            return history.complete_unanswered(routed);
        }
    }
}

/// Acquires a slot at a target that a probe has just found neither slow nor full.
///
/// A request is rejected if all probed targets are full. Otherwise it would queue at one of them,
/// and with many entries doing so the targets would stay full long after a burst.
///
/// Targets share hosts with neighbours that slow them down for a fraction of a second at a time,
/// and a run keeps the slowdown at which it started. Load reports in earlier answers are too old to
/// detect this, hence the probe.
async fn acquire_probed_slot(
    routed: &RoutedRequest,
    slots: &Arc<ServiceSlots>,
    history: &AttemptHistory,
) -> Result<SlotGuard, Shed> {
    let request = routed.slot_request(&history.excluded);
    let mut full_count = 0;
    for _ in 0..PROBED_TARGETS_MAX {
        let slot = slots.admit(request.clone()).await?;
        let target = slot.target().clone();
        if !slots.needs_probe(&target) {
            return Ok(slot);
        }
        match probe(&routed.context, slots, &target).await {
            ProbeResult::Reported if !slot.is_unfit(&request) => return Ok(slot),
            ProbeResult::Full => full_count += 1,
            ProbeResult::Reported | ProbeResult::Unanswered => {}
            ProbeResult::NoLoad => {
                slots.record_missing_load();
                return Ok(slot);
            }
        }
    }
    if full_count == PROBED_TARGETS_MAX
        && let Some(shed) = slots.shed_full()
    {
        return Err(shed);
    }
    slots.admit(request).await
}

/// Attempts made so far for a request.
#[derive(Debug, Default)]
struct AttemptHistory {
    /// Targets that the request was sent to.
    tried: Vec<TargetId>,
    /// Targets that must not be selected again.
    excluded: Vec<TargetId>,
    unreachable_count: u32,
    queued: Duration,
    may_have_run: bool,
    /// Server error of a target, forwarded to the caller if no later attempt is answered.
    server_error: Option<BufferedAnswer>,
}

impl AttemptHistory {
    fn record_start(&mut self, slot: &SlotGuard) {
        self.tried.push(slot.target().clone());
        self.excluded.push(slot.target().clone());
    }

    fn next_send_kind(&self) -> SendKind {
        if self.tried.is_empty() { SendKind::First } else { SendKind::Retry }
    }

    /// Whether the limits allow another attempt.
    fn has_attempt_left(&self, routed: &RoutedRequest) -> bool {
        let attempts = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        attempts < routed.route.attempts_max && self.unreachable_count < UNREACHABLE_TARGETS_MAX
    }

    /// Records the outcome of an attempt. Returns whether another attempt may be made.
    fn record_outcome(&mut self, outcome: AttemptOutcome, routed: &RoutedRequest) -> bool {
        match outcome {
            AttemptOutcome::NotSent => {
                self.tried.pop();
                self.unreachable_count += 1;
            }
            AttemptOutcome::NotRun => {}
            AttemptOutcome::Lost => self.may_have_run = true,
            AttemptOutcome::ServerError(answer) => {
                self.may_have_run = true;
                self.server_error = Some(answer);
            }
            AttemptOutcome::Answered(_) => return false,
        }
        self.has_attempt_left(routed) && (!self.may_have_run || routed.is_idempotent())
    }

    fn complete(self, outcome: RequestOutcome) -> CompletedRequest {
        let Self { tried, queued, .. } = self;
        CompletedRequest { outcome, tried, queued, is_forwarded: false }
    }

    /// Completes a request that was forwarded to another entry. The other entry's rejection does not
    /// cover an earlier attempt of this one.
    fn complete_forwarded(self, outcome: RequestOutcome) -> CompletedRequest {
        let outcome = match outcome {
            RequestOutcome::Answered(answer)
                if self.may_have_run && NOT_RUN_STATUSES.contains(&answer.status) =>
            {
                RequestOutcome::MayHaveRun { timed_out: false }
            }
            outcome => outcome,
        };
        CompletedRequest { is_forwarded: true, ..self.complete(outcome) }
    }

    /// Completes a request whose first or next attempt was not admitted.
    fn complete_without_slot(mut self, shed: Shed) -> CompletedRequest {
        if let Some(error) = self.server_error.take() {
            return self.complete(RequestOutcome::Answered(error));
        }
        if self.may_have_run {
            return self.complete(RequestOutcome::MayHaveRun { timed_out: false });
        }
        self.complete(RequestOutcome::Rejected(shed))
    }

    /// Completes a request for which no further attempt is made.
    fn complete_unanswered(mut self, routed: &RoutedRequest) -> CompletedRequest {
        if let Some(error) = self.server_error.take() {
            return self.complete(RequestOutcome::Answered(error));
        }
        if self.may_have_run {
            let timed_out = routed.remaining(routed.context.clock.now()).is_zero();
            return self.complete(RequestOutcome::MayHaveRun { timed_out });
        }
        let shed = routed.context.slots(&routed.service).shed_no_target();
        self.complete(RequestOutcome::NotRun(shed))
    }
}

/// Sends the request as [`send_with_hedge`] does. Gives up an idempotent request that can be forwarded
/// once this process has lost its path and no target answers on open connections either.
async fn send_until_forwarded(
    routed: &RoutedRequest,
    slot: SlotGuard,
    history: &mut AttemptHistory,
) -> AttemptOutcome {
    let mut sending = pin!(send_with_hedge(routed, slot, history));
    if !routed.is_idempotent() {
        return sending.await;
    }
    tokio::select! {
        outcome = &mut sending => return outcome,
        () = wait_until_forwarded(routed) => {}
    }
    if reject_without_path(&routed.context).is_some() {
        return AttemptOutcome::Lost;
    }
    sending.await
}

/// Sends the request to a target and, if it takes far longer than usual, a hedge to a second one.
///
/// Without hedges, requests at targets that hang or no longer respond would end at the route's
/// timeout although other targets are free. Only idempotent requests are hedged. The first answer
/// wins; dropping the other attempt closes its connection, which stops its work.
async fn send_with_hedge(
    routed: &RoutedRequest,
    slot: SlotGuard,
    history: &mut AttemptHistory,
) -> AttemptOutcome {
    history.record_start(&slot);
    let first = pin!(send_attempt(routed, slot));
    if !routed.is_idempotent() || !history.has_attempt_left(routed) || !is_clear(routed) {
        return first.await;
    }
    let slots = routed.context.slots(&routed.service);
    let hedge_delay =
        slots.usual_time(&routed.class()).mul_f64(HEDGE_DELAY_FACTOR).max(HEDGE_DELAY_MIN);
    let first = match select(first, pin!(tokio::time::sleep(hedge_delay))).await {
        Either::Left((outcome, _)) => return outcome,
        Either::Right(((), first)) => first,
    };
    let Some(hedge) = slots.assign_hedge(&routed.slot_request(&history.excluded)) else {
        return first.await;
    };
    if routed.caller.is_closed()
        || !is_clear(routed)
        || !slots.try_acquire_retry(retry_allowance(&routed.context))
    {
        return first.await;
    }
    history.record_start(&hedge);
    match select(first, pin!(send_attempt(routed, hedge))).await {
        Either::Left((outcome, other)) => prefer_answered(outcome, other).await,
        Either::Right((outcome, other)) => prefer_answered(outcome, other).await,
    }
}

/// Returns the outcome of the attempt that ended first if it was answered, otherwise that of the
/// other attempt.
async fn prefer_answered(
    outcome: AttemptOutcome,
    other: impl Future<Output = AttemptOutcome>,
) -> AttemptOutcome {
    match outcome {
        AttemptOutcome::Answered(_) => outcome,
        _ => match other.await {
            // The first attempt may have run even if the second one has not.
            AttemptOutcome::NotSent | AttemptOutcome::NotRun => AttemptOutcome::Lost,
            last => last,
        },
    }
}

/// Sends the request to one target and records the result.
async fn send_attempt(routed: &RoutedRequest, slot: SlotGuard) -> AttemptOutcome {
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
        repeatable,
        answer_match: &owner,
        purpose: ConnectionPurpose::Request,
        on_opened: &|| is_opened.store(true, Ordering::Relaxed),
    };
    let is_cold = slot.mark_sent();
    let sent_bytes = message_bytes(target_request.request.headers(), routed.request.body.len());
    TransferKind::Requests.record_bytes(&domain, sent_bytes);
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

/// Checks whether an answer belongs to the request, by the request id that targets echo.
///
/// A signed answer without an id is foreign: a success must prove which request it belongs to. An
/// unsigned answer without an id can only be a failure and counts as an answer to this request.
pub fn answer_owner(context: &Context, request_id: &str, headers: &HeaderMap) -> AnswerMatch {
    let echoed = headers.get(&context.dialect.headers.request_id);
    match echoed {
        Some(id) if id.as_bytes() == request_id.as_bytes() => AnswerMatch::Match,
        Some(_) => AnswerMatch::Mismatch,
        None if headers.contains_key(&context.dialect.headers.signature) => AnswerMatch::Mismatch,
        None => AnswerMatch::Match,
    }
}

/// Returns how many retries and hedges this process may send so that all entries together stay
/// within the limit.
///
/// The proportional part counts requests at the entry that receives them, so each process applies
/// it to its own requests. The fixed part is for the whole fleet: an advertised entry takes a bit
/// less than half of it if it sees most of the fleet, so that two entries that both consider
/// themselves advertised stay within the limit together. Every other entry takes an equal part of
/// the rest.
fn retry_allowance(context: &Context) -> RetryAllowance {
    let settings = &context.settings;
    let fleet = context.fleet.load();
    let fleet_extra = u64::from(settings.retry_extra);
    let advertised_total = ADVERTISED_SHARE.of(fleet_extra);
    let advertised_extra = advertised_total / (fleet.advertised.len().max(1) as u64);
    let other_extra = (fleet_extra - 2 * advertised_total) / (fleet.known_entries.max(1) as u64);
    let extra =
        if fleet.is_advertised && fleet.sees_majority() { advertised_extra } else { other_extra };
    RetryAllowance { share: settings.retry_share, extra: u32::try_from(extra).unwrap_or(0) }
}
