//! Answers that the process makes itself.

use std::time::Duration;

use http::StatusCode;
use http::header::{HeaderValue, RETRY_AFTER};
use shallotfork_exchange::Problem;
use shallotfork_types::Verdict;

/// The request has not run and never will; the caller is told when to come back.
pub fn not_run(retry_after: Duration, reason: &str) -> poem::Response {
    let problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, Verdict::NotRun);
    let mut response = problem.with_detail(reason).into_response();
    // Whole seconds would keep a caller away for many times the wait that is expected.
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::try_from(seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// The request may have run; no answer can be had any more.
pub fn may_have_run(timed_out: bool, reason: &str) -> poem::Response {
    let status = if timed_out { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
    Problem::new(status, Verdict::MayHaveRun).with_detail(reason).into_response()
}

/// No route covers the request.
pub fn no_route() -> poem::Response {
    Problem::new(StatusCode::NOT_FOUND, Verdict::NotRun)
        .with_detail("no route covers the request")
        .into_response()
}

/// The request lacks what every caller sends.
pub fn bad_request(reason: &str) -> poem::Response {
    Problem::new(StatusCode::BAD_REQUEST, Verdict::NotRun).with_detail(reason).into_response()
}
