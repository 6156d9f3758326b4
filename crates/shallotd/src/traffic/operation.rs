//! Non-idempotent operations, identified by session and key: claim, run, report the completion.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use poem::Response;
use shallotfork_exchange::{
    BufferedAnswer, BufferedRequest, KEY_HEADER, Problem, SESSION_HEADER, VERDICT_HEADER,
};
use shallotfork_once::{
    ClaimAnswer, ClaimId, Completion, HeaderField, KeptAnswer, OperationId, Session,
};
use shallotfork_types::Verdict;

use tokio::sync::oneshot;

use crate::context::Context;
use crate::control::Decision;
use crate::traffic::dispatch::respond;

/// Result of an execution: a complete answer, or the problem to report.
pub type ExecutionResult = Result<BufferedAnswer, Problem>;

/// Returns the operation that a request names, if it names one.
///
/// # Errors
/// Returns a problem if there is a session without a key, a key without a session, or the session
/// is malformed.
pub fn parse_operation(request: &BufferedRequest) -> Result<Option<OperationId>, Problem> {
    let control = &request.control;
    match (&control.session, &control.key) {
        (None, None) => Ok(None),
        (Some(session), Some(key)) => {
            let session: Session =
                session.parse().map_err(|_| bad_request("the session is malformed"))?;
            Ok(Some(OperationId::new(session, key.clone())))
        }
        (None, Some(_)) => Err(bad_request("Idempotency-Key needs a Shallotfork-Session")),
        (Some(_), None) => Err(bad_request("Shallotfork-Session needs an Idempotency-Key")),
    }
}

fn bad_request(detail: &str) -> Problem {
    Problem::new(StatusCode::BAD_REQUEST, Verdict::NotRun).with_detail(detail)
}

/// Runs an operation if its issuer grants the claim, and reports the completion to the issuer.
///
/// The operation runs in a separate task, which continues when the caller disconnects: the
/// completion of a request that may have reached a target must be reported, or its key would stay
/// in progress until the session ends.
pub async fn run_once(
    context: &Arc<Context>,
    operation: OperationId,
    method: Method,
    execution: impl Future<Output = ExecutionResult> + Send + 'static,
) -> Response {
    let (reply, response) = oneshot::channel();
    tokio::spawn(claim_and_run(Arc::clone(context), operation, method, execution, reply));
    response.await.unwrap_or_else(|_| {
        Problem::new(StatusCode::INTERNAL_SERVER_ERROR, Verdict::MayHaveRun).into_response()
    })
}

/// Claims and runs an operation. The caller is answered once the issuer has recorded the
/// completion, so that repeated requests get the kept answer, or after a timeout if the issuer is
/// slow.
async fn claim_and_run(
    context: Arc<Context>,
    operation: OperationId,
    method: Method,
    execution: impl Future<Output = ExecutionResult> + Send,
    reply: oneshot::Sender<Response>,
) {
    let _in_flight = context.in_flight.enter();
    let claim = next_claim(&context);
    match context.control.claim(&operation, &claim).await {
        Decision::Answered(ClaimAnswer::Granted) => {}
        denied => {
            let _disconnected = reply.send(denied_claim_response(denied, &method));
            return;
        }
    }
    let result = execution.await;
    let completion = completion(&result);
    let timeout = if completion == Completion::NotRun { NOT_RUN_TIMEOUT } else { RECORD_TIMEOUT };
    let mut recording = pin!(context.control.complete(&operation, &claim, completion));
    let recorded = tokio::time::timeout(timeout, &mut recording).await;
    let result = require_confirmation(result, recorded == Ok(true));
    let _disconnected = reply.send(respond(result, &method));
    if recorded.is_err() {
        recording.await;
    }
}

fn next_claim(context: &Context) -> ClaimId {
    let identity = &context.identity;
    let number = Context::next_value(&context.claim_counter);
    ClaimId::new(identity.vm.clone(), identity.incarnation, number)
}

/// Returns the problem for a request that was rejected before its operation was claimed.
///
/// Another copy of a request with a key may reach another entry: `not-run` is reported only once
/// the operation is closed.
pub async fn reject(
    context: &Context,
    operation: Option<OperationId>,
    problem: Problem,
) -> Problem {
    let Some(operation) = operation else { return problem };
    let claim = next_claim(context);
    let closing = context.control.close(&operation, &claim);
    let closed = tokio::time::timeout(NOT_RUN_TIMEOUT, closing).await;
    let verdict = match closed {
        Ok(Decision::Answered(answer)) => answer.verdict(),
        _ => None,
    };
    match verdict.unwrap_or(Verdict::MayHaveRun) {
        Verdict::NotRun => problem,
        other => Problem::new(problem.status(), other)
            .with_detail("this copy was refused; another one may have run"),
    }
}

/// Returns the operation that the headers of a request name, if they name one.
pub fn parse_operation_headers(headers: &HeaderMap) -> Option<OperationId> {
    let key = headers.get(KEY_HEADER)?.to_str().ok()?.parse().ok()?;
    let session = headers.get(SESSION_HEADER)?.to_str().ok()?.parse().ok()?;
    Some(OperationId::new(session, key))
}

fn completion(result: &ExecutionResult) -> Completion {
    match result {
        Ok(answer) => Completion::Ran(Arc::new(to_kept_answer(answer))),
        Err(problem) => match problem.verdict() {
            Verdict::NotRun => Completion::NotRun,
            Verdict::MayHaveRun => Completion::MayHaveRun,
            Verdict::Ran => Completion::RanUnkept,
        },
    }
}

/// Reports `not-run` only if the issuer has recorded that the key never runs: otherwise another
/// copy of the request, delayed in a paused entry, could still be granted.
fn require_confirmation(result: ExecutionResult, recorded: bool) -> ExecutionResult {
    match result {
        Err(problem) if problem.verdict() == Verdict::NotRun && !recorded => {
            Err(Problem::new(problem.status(), Verdict::MayHaveRun)
                .with_detail("the issuer of the session did not confirm that nothing ran"))
        }
        other => other,
    }
}

fn to_kept_answer(answer: &BufferedAnswer) -> KeptAnswer {
    let field = |(name, value): (&HeaderName, &HeaderValue)| HeaderField {
        name: name.to_string(),
        value: value.as_bytes().to_vec(),
    };
    KeptAnswer {
        status: answer.status.as_u16(),
        headers: answer.headers.iter().map(field).collect(),
        body: answer.body.to_vec(),
    }
}

fn from_kept_answer(kept: &KeptAnswer) -> BufferedAnswer {
    let mut headers = HeaderMap::new();
    for field in &kept.headers {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    BufferedAnswer {
        status: StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK),
        headers,
        body: Bytes::copy_from_slice(&kept.body),
    }
}

fn denied_claim_response(decision: Decision, method: &Method) -> Response {
    let Decision::Answered(answer) = decision else {
        return Problem::new(StatusCode::SERVICE_UNAVAILABLE, Verdict::MayHaveRun)
            .with_detail("the entry that issued the session cannot be reached")
            .with_retry_after(UNREACHABLE_RETRY_AFTER)
            .into_response();
    };
    let verdict = answer.verdict().unwrap_or(Verdict::MayHaveRun);
    let problem = |status, detail| Problem::new(status, verdict).with_detail(detail);
    let problem = match answer {
        ClaimAnswer::Kept(kept) => {
            let mut response = from_kept_answer(&kept).into_replayed_response(method);
            let ran = HeaderValue::from_static(Verdict::Ran.as_str());
            response.headers_mut().insert(VERDICT_HEADER, ran);
            return response;
        }
        ClaimAnswer::Ran => problem(StatusCode::CONFLICT, "it ran; its answer was not kept"),
        ClaimAnswer::InProgress => problem(StatusCode::CONFLICT, "it is in progress")
            .with_retry_after(IN_PROGRESS_RETRY_AFTER),
        ClaimAnswer::NotRun => {
            problem(StatusCode::CONFLICT, "it was not run and never will be under this key")
        }
        ClaimAnswer::Full { retry_after } => {
            problem(StatusCode::SERVICE_UNAVAILABLE, "the ledger is full; take a new session")
                .with_retry_after(retry_after)
        }
        ClaimAnswer::BadSession => problem(StatusCode::BAD_REQUEST, "the session is not signed"),
        ClaimAnswer::Granted | ClaimAnswer::MayHaveRun => {
            problem(StatusCode::CONFLICT, "nobody knows; look the operation up at the service")
        }
    };
    problem.into_response()
}

/// Time after which a caller may retry an operation in progress.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time after which a caller may retry if the issuer of its session cannot be reached.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum time that a caller waits for its answer to be recorded.
const RECORD_TIMEOUT: Duration = Duration::from_millis(50);

/// Maximum time that a caller waits for the proof that nothing ran, which saves it a look-up.
const NOT_RUN_TIMEOUT: Duration = Duration::from_millis(500);
