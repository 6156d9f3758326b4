//! Non-idempotent operations named by session and key: claim, run, report the end.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use poem::Response;
use shallotfork_exchange::{
    KEY_HEADER, Problem, SESSION_HEADER, VERDICT_HEADER, WholeAnswer, WholeRequest,
};
use shallotfork_once::{
    ClaimAnswer, ClaimId, Completion, HeaderField, KeptAnswer, OperationId, Session,
};
use shallotfork_types::Verdict;

use tokio::sync::oneshot;

use crate::context::Context;
use crate::control::Decision;
use crate::traffic::dispatch::respond;

/// The end of an execution: a whole answer, or the problem to report.
pub type Executed = Result<WholeAnswer, Problem>;

/// The operation that a request names.
///
/// # Errors
/// When there is a session without a key, a key without a session, or the session is no session.
pub fn operation(request: &WholeRequest) -> Result<Option<OperationId>, Problem> {
    let control = &request.control;
    match (&control.session, &control.key) {
        (None, None) => Ok(None),
        (Some(session), Some(key)) => {
            let session: Session = session.parse().map_err(|_| bad("the session is malformed"))?;
            Ok(Some(OperationId::new(session, key.clone())))
        }
        (None, Some(_)) => Err(bad("Idempotency-Key needs a Shallotfork-Session")),
        (Some(_), None) => Err(bad("Shallotfork-Session needs an Idempotency-Key")),
    }
}

fn bad(detail: &str) -> Problem {
    Problem::new(StatusCode::BAD_REQUEST, Verdict::NotRun).with_detail(detail)
}

/// Runs an operation if its issuer grants it, and tells the issuer how it ended.
///
/// The work is a task of its own, so that it goes on when the caller hangs up: a request whose
/// bytes may be at a target must be reported, or its key would stay in progress until the session
/// ends.
pub async fn run_once(
    context: &Arc<Context>,
    operation: OperationId,
    method: Method,
    executing: impl Future<Output = Executed> + Send + 'static,
) -> Response {
    let (reply, response) = oneshot::channel();
    tokio::spawn(run_claimed(Arc::clone(context), operation, method, executing, reply));
    response.await.unwrap_or_else(|_| {
        Problem::new(StatusCode::INTERNAL_SERVER_ERROR, Verdict::MayHaveRun).into_response()
    })
}

/// The caller is answered once the end is recorded, so that its repeats get the kept answer; when
/// the issuer is slow to record it, the caller does not wait for that any longer.
async fn run_claimed(
    context: Arc<Context>,
    operation: OperationId,
    method: Method,
    executing: impl Future<Output = Executed> + Send,
    reply: oneshot::Sender<Response>,
) {
    let _in_flight = context.in_flight.enter();
    let claim = next_claim(&context);
    match context.control.claim(&operation, &claim).await {
        Decision::Answered(ClaimAnswer::Granted) => {}
        refused => {
            let _hung_up = reply.send(answer_refused(refused, &method));
            return;
        }
    }
    let executed = executing.await;
    let completion = completion(&executed);
    let wait = if completion == Completion::NotRun { NOT_RUN_WAIT } else { RECORD_WAIT };
    let mut recording = pin!(context.control.complete(&operation, &claim, completion));
    let recorded = tokio::time::timeout(wait, &mut recording).await;
    let executed = confirmed(executed, recorded == Ok(true));
    let _hung_up = reply.send(respond(executed, &method));
    if recorded.is_err() {
        recording.await;
    }
}

fn next_claim(context: &Context) -> ClaimId {
    let identity = &context.identity;
    let number = Context::next_value(&context.claim_counter);
    ClaimId::new(identity.vm.clone(), identity.incarnation, number)
}

/// The answer to a request that was refused before it was claimed.
///
/// Another copy of a keyed request may reach another entry: `not-run` is said only once the
/// operation is closed.
pub async fn refuse(
    context: &Context,
    operation: Option<OperationId>,
    problem: Problem,
) -> Problem {
    let Some(operation) = operation else { return problem };
    let claim = next_claim(context);
    let closing = context.control.close(&operation, &claim);
    let closed = tokio::time::timeout(NOT_RUN_WAIT, closing).await;
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

/// The operation that the headers of a request name, if they name one.
pub fn named_operation(headers: &HeaderMap) -> Option<OperationId> {
    let key = headers.get(KEY_HEADER)?.to_str().ok()?.parse().ok()?;
    let session = headers.get(SESSION_HEADER)?.to_str().ok()?.parse().ok()?;
    Some(OperationId::new(session, key))
}

fn completion(executed: &Executed) -> Completion {
    match executed {
        Ok(answer) => Completion::Ran(Arc::new(kept(answer))),
        Err(problem) => match problem.verdict() {
            Verdict::NotRun => Completion::NotRun,
            Verdict::MayHaveRun => Completion::MayHaveRun,
            Verdict::Ran => Completion::RanUnkept,
        },
    }
}

/// `not-run` is said only once the issuer has recorded that the key never runs: another copy of
/// the request, held up in a paused entry, could be granted otherwise.
fn confirmed(executed: Executed, recorded: bool) -> Executed {
    match executed {
        Err(problem) if problem.verdict() == Verdict::NotRun && !recorded => {
            Err(Problem::new(problem.status(), Verdict::MayHaveRun)
                .with_detail("the issuer of the session did not confirm that nothing ran"))
        }
        other => other,
    }
}

fn kept(answer: &WholeAnswer) -> KeptAnswer {
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

fn whole(kept: &KeptAnswer) -> WholeAnswer {
    let mut headers = HeaderMap::new();
    for field in &kept.headers {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    WholeAnswer {
        status: StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK),
        headers,
        body: Bytes::copy_from_slice(&kept.body),
    }
}

fn answer_refused(decision: Decision, method: &Method) -> Response {
    let Decision::Answered(answer) = decision else {
        return Problem::new(StatusCode::SERVICE_UNAVAILABLE, Verdict::MayHaveRun)
            .with_detail("the entry that issued the session cannot be reached")
            .with_retry_after(UNREACHABLE_RETRY)
            .into_response();
    };
    let verdict = answer.verdict().unwrap_or(Verdict::MayHaveRun);
    let problem = |status, detail| Problem::new(status, verdict).with_detail(detail);
    let problem = match answer {
        ClaimAnswer::Kept(kept) => {
            let mut response = whole(&kept).into_replayed_response(method);
            let ran = HeaderValue::from_static(Verdict::Ran.as_str());
            response.headers_mut().insert(VERDICT_HEADER, ran);
            return response;
        }
        ClaimAnswer::Ran => problem(StatusCode::CONFLICT, "it ran; its answer was not kept"),
        ClaimAnswer::InProgress => {
            problem(StatusCode::CONFLICT, "it is in progress").with_retry_after(IN_PROGRESS_RETRY)
        }
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

/// When a caller may ask again for an operation in progress.
const IN_PROGRESS_RETRY: Duration = Duration::from_millis(500);

/// When a caller may ask again whose session's issuer cannot be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_secs(1);

/// Longest wait of a caller for its answer to be recorded.
const RECORD_WAIT: Duration = Duration::from_millis(50);

/// Longest wait of a caller for the proof that nothing ran, which spares it a look-up.
const NOT_RUN_WAIT: Duration = Duration::from_millis(500);
