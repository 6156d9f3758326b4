//! One request on its way: rule, place in the pool, attempts, answer.

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
use crate::traffic::operation::{Executed, operation, run_once};
use crate::traffic::service_pool::Assigned;
use crate::traffic::unserved::{Unserved, is_trouble};

/// Header in which a target reports its load with an answer.
const LOAD_REPORT_HEADER: &str = "endpoint-load-metrics";

/// One request with everything that was decided about it.
struct Job {
    context: Arc<Context>,
    service: Arc<Service>,
    request: Arc<BufferedRequest>,
    outcome: Outcome,
    deadline: Mono,
    /// Whether a second run does no harm.
    repeatable: bool,
}

/// Takes a whole request to a target and gives the whole answer, or says why there is none.
pub async fn dispatch(context: &Arc<Context>, request: BufferedRequest) -> Response {
    let arrived = context.clock.now();
    let snapshot = context.snapshot();
    let operation = match operation(&request) {
        Ok(operation) => operation,
        Err(problem) => return problem.into_response(),
    };
    let method = request.method.clone();
    let keyed = operation.is_some();
    let owned = Arc::clone(context);
    let executing = async move {
        let job = plan(&owned, &snapshot, request, arrived, keyed)?;
        attempt_until_answered(&job).await
    };
    match operation {
        Some(operation) => run_once(context, operation, method, executing).await,
        None => respond(executing.await, &method),
    }
}

/// The answer to a caller for an executed request.
pub fn respond(executed: Executed, method: &Method) -> Response {
    match executed {
        Ok(answer) => answer.into_response(method),
        Err(problem) => problem.into_response(),
    }
}

fn plan(
    context: &Arc<Context>,
    snapshot: &Snapshot,
    request: BufferedRequest,
    arrived: Mono,
    keyed: bool,
) -> Result<Job, Problem> {
    if !snapshot.ready {
        return Err(not_run(StatusCode::SERVICE_UNAVAILABLE, "no rule list is in force yet"));
    }
    let service = snapshot.services.get(&request.service).ok_or_else(unknown_service)?;
    let outcome = decide(service, &request)?;
    if let Some(refusal) = &outcome.refuse {
        let status = StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::FORBIDDEN);
        let problem = not_run(status, "refused by rule");
        return Err(match refusal.retry_after {
            Some(wait) => problem.with_retry_after(wait),
            None => problem,
        });
    }
    let repeatable = !keyed && request.method.is_idempotent();
    let deadline = arrived.plus(allowed_time(context, &request, &outcome));
    let service = Arc::clone(service);
    let request = Arc::new(request);
    Ok(Job { context: Arc::clone(context), service, request, outcome, deadline, repeatable })
}

fn unknown_service() -> Problem {
    not_run(StatusCode::NOT_FOUND, "no such service is published")
}

fn not_run(status: StatusCode, detail: &str) -> Problem {
    Problem::new(status, Verdict::NotRun).with_detail(detail)
}

fn decide(service: &Service, request: &BufferedRequest) -> Result<Outcome, Problem> {
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

/// The caller's own deadline, else the rule's, else the settings'; never above the settings' most.
fn allowed_time(context: &Context, request: &BufferedRequest, outcome: &Outcome) -> Duration {
    let callers = &context.settings.callers;
    let asked = request.control.deadline.or(outcome.deadline).unwrap_or(callers.deadline_default);
    asked.min(callers.deadline_max)
}

async fn attempt_until_answered(job: &Job) -> Executed {
    let mut tried: BTreeSet<TargetId> = BTreeSet::new();
    let mut last: Option<Unserved> = None;
    let mut may_have_run = false;
    let mut attempts = 0;
    loop {
        let ask = ask(job, &tried);
        let place = match last {
            None => job.service.pool.admit(ask).await,
            Some(_) => job.service.pool.retry(ask).await,
        };
        let assigned = match (place, last) {
            (Ok(assigned), _) => assigned,
            (Err(shed), None) => return Err(shed_problem(shed)),
            (Err(_), Some(unserved)) => return unserved.into_executed(may_have_run),
        };
        tried.insert(assigned.target().clone());
        let unserved = match attempt_hedged(job, assigned, &mut tried).await {
            Ok(answer) => return Ok(answer),
            Err(unserved) => unserved,
        };
        may_have_run |= unserved.verdict() != Verdict::NotRun;
        attempts += 1;
        if attempts > job.outcome.retries || !may_repeat(job, &unserved) {
            return unserved.into_executed(may_have_run);
        }
        last = Some(unserved);
    }
}

/// A request that may have run is only sent again when a second run does no harm.
fn may_repeat(job: &Job, unserved: &Unserved) -> bool {
    unserved.may_pass() && (job.repeatable || unserved.verdict() == Verdict::NotRun)
}

fn ask(job: &Job, tried: &BTreeSet<TargetId>) -> PoolRequest {
    PoolRequest::new(job.deadline)
        .with_priority(priority(job.outcome.priority))
        .with_preferred_domains(job.outcome.prefer.clone())
        .with_exclude(tried.iter().cloned().collect())
}

fn priority(priority: RulePriority) -> Priority {
    Priority::new(match priority {
        RulePriority::Low => 0,
        RulePriority::Normal => 1,
        RulePriority::High => 2,
    })
}

/// Sends the request, and once more to another target when the first one is slow.
///
/// The first whole answer wins; dropping the other attempt closes its connection.
async fn attempt_hedged(
    job: &Job,
    assigned: Assigned,
    tried: &mut BTreeSet<TargetId>,
) -> Result<BufferedAnswer, Unserved> {
    let name = assigned.attempt();
    let first = pin!(attempt(job, assigned));
    let Some(delay) = hedge_delay(job) else { return first.await };
    let first = match select(first, pin!(tokio::time::sleep(delay))).await {
        Either::Left((result, _)) => return result,
        Either::Right(((), first)) => first,
    };
    let Some(second) = job.service.pool.hedge(name, ask(job, tried)) else { return first.await };
    tried.insert(second.target().clone());
    match select(first, pin!(attempt(job, second))).await {
        Either::Left((Ok(answer), _)) | Either::Right((Ok(answer), _)) => Ok(answer),
        Either::Left((Err(failure), other)) => other.await.map_err(|last| worse(failure, last)),
        Either::Right((Err(failure), other)) => other.await.map_err(|last| worse(failure, last)),
    }
}

/// Of two failed attempts, the one that says more: `not-run` holds only when both prove it.
fn worse(first: Unserved, second: Unserved) -> Unserved {
    if second.verdict() == Verdict::NotRun { first } else { second }
}

/// When to send a second attempt; only for requests that may run twice, where a rule allows it.
fn hedge_delay(job: &Job) -> Option<Duration> {
    let allowed = job.repeatable && job.outcome.hedge;
    allowed.then(|| job.service.pool.hedge_delay()).flatten()
}

async fn attempt(job: &Job, assigned: Assigned) -> Result<BufferedAnswer, Unserved> {
    let Some(target) = job.service.targets.by_id.get(assigned.target()) else {
        // The list changed between choice and sending: the target is gone from this snapshot.
        let gone = TargetAddress::new(job.context.identity.callers);
        let attempt = Attempt::new(gone, Arc::clone(&job.request), job.deadline);
        return Err(Unserved::Failed(attempt.not_run(FailureCause::ConnectFailed)));
    };
    let attempt = Attempt::new(address(target), Arc::clone(&job.request), job.deadline);
    let sent_at = job.context.clock.now();
    let result = job.context.exchange.send(attempt).await;
    let latency = job.context.clock.now().since(sent_at);
    let report = result.as_ref().ok().and_then(load_report);
    assigned.finish(attempt_outcome(&result, latency), report);
    match result {
        Ok(answer) if job.repeatable && is_trouble(&answer) => Err(Unserved::Error(answer)),
        other => other.map_err(Unserved::Failed),
    }
}

fn address(target: &TargetInfo) -> TargetAddress {
    let shed = target.shed_status.and_then(|status| StatusCode::from_u16(status).ok());
    TargetAddress::new(target.endpoint).with_http2(target.http2).with_shed_status(shed)
}

/// The load report that a target sent with its answer; one that can't be read counts as none.
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
            | FailureCause::ConnectRefusedByGate
            | FailureCause::BudgetFull => AttemptOutcome::Cancelled,
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
