//! Processing of one request: rules, admission to the pool, attempts, answer.

use std::collections::BTreeSet;
use std::pin::pin;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use futures::future::{Either, select};
use http::{Method, StatusCode};
use poem::Response;
use shallotfork_balance::{AttemptOutcome, PoolRequest, Priority, Shed, ShedReason};
use shallotfork_exchange::{
    Attempt, AttemptFailure, BufferedAnswer, BufferedRequest, FailureCause, Problem, TargetAddress,
};
use shallotfork_measure::LoadReport;
use shallotfork_platform::TargetInfo;
use shallotfork_rules::{Outcome, Priority as RulePriority, RequestContext};
use shallotfork_types::{Mono, TargetId, Verdict};

use crate::context::Context;
use crate::snapshot::{Service, Snapshot};
use crate::traffic::failed_attempt::{FailedAttempt, is_target_error};
use crate::traffic::operation::{ExecutionResult, parse_operation, run_once};
use crate::traffic::service_pool::AssignedAttempt;

/// Header of an answer in which a target reports its load.
const LOAD_REPORT_HEADER: &str = "endpoint-load-metrics";

/// Request with the decisions made about it.
struct PlannedRequest {
    context: Arc<Context>,
    service: Arc<Service>,
    request: Arc<BufferedRequest>,
    outcome: Outcome,
    deadline: Mono,
    /// Whether the request may safely run twice.
    is_repeatable: bool,
}

/// Sends a complete request to a target and returns the complete answer, or a problem that states
/// why there is none.
pub async fn dispatch(context: &Arc<Context>, request: BufferedRequest) -> Response {
    let received_at = context.clock.now();
    let snapshot = context.snapshot();
    let operation = match parse_operation(&request) {
        Ok(operation) => operation,
        Err(problem) => return problem.into_response(),
    };
    let method = request.method.clone();
    let has_key = operation.is_some();
    let shared_context = Arc::clone(context);
    let execution = async move {
        let planned = plan_request(&shared_context, &snapshot, request, received_at, has_key)?;
        run_attempts(&planned).await
    };
    match operation {
        Some(operation) => run_once(context, operation, method, execution).await,
        None => respond(execution.await, &method),
    }
}

/// Returns the response to a caller for an executed request.
pub fn respond(result: ExecutionResult, method: &Method) -> Response {
    match result {
        Ok(answer) => answer.into_response(method),
        Err(problem) => problem.into_response(),
    }
}

fn plan_request(
    context: &Arc<Context>,
    snapshot: &Snapshot,
    request: BufferedRequest,
    received_at: Mono,
    has_key: bool,
) -> Result<PlannedRequest, Problem> {
    if !snapshot.ready {
        return Err(not_run(StatusCode::SERVICE_UNAVAILABLE, "no rule list is in force yet"));
    }
    let service = snapshot.services.get(&request.service).ok_or_else(unknown_service)?;
    let outcome = apply_rules(service, &request)?;
    if let Some(refusal) = &outcome.refuse {
        let status = StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::FORBIDDEN);
        let problem = not_run(status, "refused by rule");
        return Err(match refusal.retry_after {
            Some(wait) => problem.with_retry_after(wait),
            None => problem,
        });
    }
    let is_repeatable = !has_key && request.method.is_idempotent();
    let deadline = received_at.plus(request_timeout(context, &request, &outcome));
    let service = Arc::clone(service);
    let request = Arc::new(request);
    Ok(PlannedRequest {
        context: Arc::clone(context),
        service,
        request,
        outcome,
        deadline,
        is_repeatable,
    })
}

fn unknown_service() -> Problem {
    not_run(StatusCode::NOT_FOUND, "no such service is published")
}

fn not_run(status: StatusCode, detail: &str) -> Problem {
    Problem::new(status, Verdict::NotRun).with_detail(detail)
}

fn apply_rules(service: &Service, request: &BufferedRequest) -> Result<Outcome, Problem> {
    let Some(rules) = &service.rules else {
        return Err(not_run(StatusCode::SERVICE_UNAVAILABLE, "no rule list is in force yet"));
    };
    let request_context = RequestContext {
        caller: request.control.caller.clone(),
        service: request.service.clone(),
        at: jiff::Timestamp::now(),
        load: service.pool.load(),
    };
    let mut load_hysteresis = rules.load_hysteresis.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(rules.list.decide(&request_context, &mut load_hysteresis).outcome.clone())
}

/// Returns the timeout of a request: that of the caller, else that of the rule, else the default of
/// the settings; at most the maximum of the settings.
fn request_timeout(context: &Context, request: &BufferedRequest, outcome: &Outcome) -> Duration {
    let callers = &context.settings.callers;
    let requested =
        request.control.deadline.or(outcome.deadline).unwrap_or(callers.deadline_default);
    requested.min(callers.deadline_max)
}

async fn run_attempts(planned: &PlannedRequest) -> ExecutionResult {
    let mut tried_targets: BTreeSet<TargetId> = BTreeSet::new();
    let mut last: Option<FailedAttempt> = None;
    let mut may_have_run = false;
    let mut attempts = 0;
    loop {
        let pool_request = pool_request(planned, &tried_targets);
        let admission = match last {
            None => planned.service.pool.admit(pool_request).await,
            Some(_) => planned.service.pool.retry(pool_request).await,
        };
        let assigned = match (admission, last) {
            (Ok(assigned), _) => assigned,
            (Err(shed), None) => return Err(shed_problem(shed)),
            (Err(_), Some(failed_attempt)) => return failed_attempt.into_result(may_have_run),
        };
        tried_targets.insert(assigned.target().clone());
        let failed_attempt = match run_hedged_attempt(planned, assigned, &mut tried_targets).await {
            Ok(answer) => return Ok(answer),
            Err(failed_attempt) => failed_attempt,
        };
        may_have_run |= failed_attempt.verdict() != Verdict::NotRun;
        attempts += 1;
        if attempts > planned.outcome.retries || !may_retry(planned, &failed_attempt) {
            return failed_attempt.into_result(may_have_run);
        }
        last = Some(failed_attempt);
    }
}

/// Returns whether a request may be sent again; one that may have run only if it may safely run
/// twice.
fn may_retry(planned: &PlannedRequest, failed_attempt: &FailedAttempt) -> bool {
    failed_attempt.is_retryable()
        && (planned.is_repeatable || failed_attempt.verdict() == Verdict::NotRun)
}

fn pool_request(planned: &PlannedRequest, tried_targets: &BTreeSet<TargetId>) -> PoolRequest {
    PoolRequest::new(planned.deadline)
        .with_priority(priority(planned.outcome.priority))
        .with_preferred_domains(planned.outcome.prefer.clone())
        .with_exclude(tried_targets.iter().cloned().collect())
}

fn priority(priority: RulePriority) -> Priority {
    Priority::new(match priority {
        RulePriority::Low => 0,
        RulePriority::Normal => 1,
        RulePriority::High => 2,
    })
}

/// Sends the request, and a hedge to another target if the first one is slow.
///
/// The first complete answer wins; dropping the other attempt closes its connection.
async fn run_hedged_attempt(
    planned: &PlannedRequest,
    assigned: AssignedAttempt,
    tried_targets: &mut BTreeSet<TargetId>,
) -> Result<BufferedAnswer, FailedAttempt> {
    let first_attempt = assigned.attempt();
    let first = pin!(run_attempt(planned, assigned));
    let Some(delay) = hedge_delay(planned) else { return first.await };
    let first = match select(first, pin!(tokio::time::sleep(delay))).await {
        Either::Left((result, _)) => return result,
        Either::Right(((), first)) => first,
    };
    let Some(hedge) =
        planned.service.pool.assign_hedge(first_attempt, pool_request(planned, tried_targets))
    else {
        return first.await;
    };
    tried_targets.insert(hedge.target().clone());
    match select(first, pin!(run_attempt(planned, hedge))).await {
        Either::Left((Ok(answer), _)) | Either::Right((Ok(answer), _)) => Ok(answer),
        Either::Left((Err(failure), other)) => {
            other.await.map_err(|last| select_failure(failure, last))
        }
        Either::Right((Err(failure), other)) => {
            other.await.map_err(|last| select_failure(failure, last))
        }
    }
}

/// Selects the failed attempt of two to report: `not-run` is reported only if both prove it.
fn select_failure(first: FailedAttempt, second: FailedAttempt) -> FailedAttempt {
    if second.verdict() == Verdict::NotRun { first } else { second }
}

/// Returns the delay before a hedge; `None` unless the request may safely run twice and a rule
/// allows hedges.
fn hedge_delay(planned: &PlannedRequest) -> Option<Duration> {
    let allowed = planned.is_repeatable && planned.outcome.hedge;
    allowed.then(|| planned.service.pool.hedge_delay()).flatten()
}

async fn run_attempt(
    planned: &PlannedRequest,
    assigned: AssignedAttempt,
) -> Result<BufferedAnswer, FailedAttempt> {
    let Some(target) = planned.service.targets.by_id.get(assigned.target()) else {
        // The list changed after the target was selected: the target is not in this snapshot.
        let placeholder = TargetAddress::new(planned.context.identity.callers);
        let attempt = Attempt::new(placeholder, Arc::clone(&planned.request), planned.deadline);
        return Err(FailedAttempt::NoAnswer(attempt.not_run(FailureCause::ConnectFailed)));
    };
    let attempt =
        Attempt::new(target_address(target), Arc::clone(&planned.request), planned.deadline);
    let sent_at = planned.context.clock.now();
    let result = planned.context.exchange.send(attempt).await;
    let latency = planned.context.clock.now().since(sent_at);
    let report = result.as_ref().ok().and_then(load_report);
    assigned.finish(attempt_outcome(&result, latency), report);
    match result {
        Ok(answer) if planned.is_repeatable && is_target_error(&answer) => {
            Err(FailedAttempt::ErrorAnswer(answer))
        }
        other => other.map_err(FailedAttempt::NoAnswer),
    }
}

fn target_address(target: &TargetInfo) -> TargetAddress {
    let shed = target.shed_status.and_then(|status| StatusCode::from_u16(status).ok());
    TargetAddress::new(target.endpoint).with_http2(target.http2).with_shed_status(shed)
}

/// Returns the load report that a target sent with its answer; `None` if missing or invalid.
pub fn load_report(answer: &BufferedAnswer) -> Option<LoadReport> {
    let text = answer.headers.get(LOAD_REPORT_HEADER)?.to_str().ok()?;
    LoadReport::from_header(text).ok()
}

fn attempt_outcome(
    result: &Result<BufferedAnswer, AttemptFailure>,
    latency: Duration,
) -> AttemptOutcome {
    match result {
        Ok(answer) if answer.status.is_server_error() => AttemptOutcome::Failed,
        Ok(_) => AttemptOutcome::Answered { latency },
        Err(failure) => match failure.cause() {
            FailureCause::Shed { .. } | FailureCause::StreamRefused => AttemptOutcome::Shed,
            FailureCause::Timeout => AttemptOutcome::TimedOut,
            FailureCause::DeadlinePassed
            | FailureCause::BadRequest
            | FailureCause::ConnectRefusedByGate => AttemptOutcome::Cancelled,
            _ => AttemptOutcome::Failed,
        },
    }
}

fn shed_problem(shed: Shed) -> Problem {
    let status = match shed.reason {
        ShedReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    not_run(status, shed.reason.as_str()).with_retry_after(shed.retry_after)
}
