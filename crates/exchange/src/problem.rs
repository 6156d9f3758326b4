//! Answers made by an entry itself: problem details (RFC 9457) with a verdict.

use std::time::Duration;

use http::StatusCode;
use http::header::{CACHE_CONTROL, CONNECTION, RETRY_AFTER};
use serde::Serialize;
use shallotfork_types::Verdict;

use crate::headers::VERDICT_HEADER;

const CONTENT_TYPE_PROBLEM: &str = "application/problem+json";

/// An answer to a caller that does not come from a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    status: StatusCode,
    verdict: Verdict,
    title: String,
    detail: Option<String>,
    retry_after: Option<Duration>,
    close: bool,
}

#[derive(Debug, Serialize)]
struct ProblemBody<'a> {
    status: u16,
    title: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
    verdict: Verdict,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Problem {
    /// Creates a problem with the standard reason phrase of `status` as its title.
    pub fn new(status: StatusCode, verdict: Verdict) -> Self {
        let title = status.canonical_reason().unwrap_or("Error").to_owned();
        Self { status, verdict, title, detail: None, retry_after: None, close: false }
    }

    /// Replaces the title.
    #[must_use]
    pub fn with_title(mut self, title: &str) -> Self {
        title.clone_into(&mut self.title);
        self
    }

    /// Sets the detail, which explains this occurrence of the problem.
    #[must_use]
    pub fn with_detail(mut self, detail: &str) -> Self {
        self.detail = Some(detail.to_owned());
        self
    }

    /// Sets the delay before a retry: `Retry-After` in seconds and `retry_after_ms` in
    /// milliseconds, both rounded up.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Closes the caller's HTTP/1 connection after this answer.
    #[must_use]
    pub fn with_close(mut self) -> Self {
        self.close = true;
        self
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Converts the problem into the response for the caller.
    pub fn into_response(self) -> poem::Response {
        let body = ProblemBody {
            status: self.status.as_u16(),
            title: &self.title,
            detail: self.detail.as_deref(),
            verdict: self.verdict,
            retry_after_ms: self.retry_after.map(millis_rounded_up),
        };
        let json = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = poem::Response::builder()
            .status(self.status)
            .content_type(CONTENT_TYPE_PROBLEM)
            .header(CACHE_CONTROL, "no-store")
            .header(VERDICT_HEADER, self.verdict.as_str());
        if let Some(delay) = self.retry_after {
            response = response.header(RETRY_AFTER, seconds_rounded_up(delay));
        }
        if self.close {
            response = response.header(CONNECTION, "close");
        }
        response.body(json)
    }
}

impl poem::IntoResponse for Problem {
    fn into_response(self) -> poem::Response {
        Problem::into_response(self)
    }
}

fn millis_rounded_up(delay: Duration) -> u64 {
    u64::try_from(delay.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}

fn seconds_rounded_up(delay: Duration) -> u64 {
    millis_rounded_up(delay).div_ceil(1000)
}
