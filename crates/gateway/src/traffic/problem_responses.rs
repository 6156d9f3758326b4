//! Error responses that the entry creates itself.

use std::time::Duration;

use http::StatusCode;
use http::header::{HeaderValue, RETRY_AFTER};
use shallotfork_exchange::Problem;
use shallotfork_types::Verdict;

/// Returns the response to a request that has not run and will not run, with a retry-after time.
pub fn not_run(retry_after: Duration, reason: &str) -> poem::Response {
    let problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, Verdict::NotRun);
    let mut response = problem.with_detail(reason).into_response();
    // Includes milliseconds: whole seconds would keep callers away for many times the expected
    // wait.
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::try_from(seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Returns the response to a request that may have run but whose answer is lost.
pub fn may_have_run(timed_out: bool, reason: &str) -> poem::Response {
    let status = if timed_out { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
    Problem::new(status, Verdict::MayHaveRun).with_detail(reason).into_response()
}

/// Returns the response to a request that no route covers.
pub fn no_route() -> poem::Response {
    Problem::new(StatusCode::NOT_FOUND, Verdict::NotRun)
        .with_detail("no route covers the request")
        .into_response()
}

/// Returns the response to a request that lacks something every caller must send.
pub fn bad_request(reason: &str) -> poem::Response {
    Problem::new(StatusCode::BAD_REQUEST, Verdict::NotRun).with_detail(reason).into_response()
}
