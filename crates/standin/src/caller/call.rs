//! Requests that a caller sends, and the outcome of each.

use bytes::Bytes;
use http::{HeaderMap, Method};
use serde::Serialize;
use shallotfork_types::{Endpoint, IdempotencyKey, ServiceName, TargetId, Verdict};

use crate::digest::{CONTENT_DIGEST, content_digest};
use crate::target::{MARK_HEADER, TARGET_HEADER, WorkAnswer};

/// Header that carries the verdict on a failed request.
const VERDICT_HEADER: &str = "shallotfork-verdict";

/// A request to send to a service.
#[derive(Debug, Clone)]
pub struct Call {
    /// Service that the request is sent to.
    pub service: ServiceName,
    /// HTTP method.
    pub method: Method,
    /// Request path and query.
    pub path: String,
    /// Request body; empty by default.
    pub body: Bytes,
    /// Idempotency key of a non-idempotent operation.
    pub key: Option<IdempotencyKey>,
    /// Session to use instead of the one in the cached entry list.
    pub session: Option<String>,
    /// Additional request headers.
    pub headers: HeaderMap,
}

impl Call {
    /// Creates a `GET` request.
    pub fn get(service: ServiceName, path: &str) -> Self {
        Self::new(service, Method::GET, path, Bytes::new())
    }

    /// Creates a `POST` request with an idempotency key.
    pub fn post(service: ServiceName, path: &str, key: IdempotencyKey, body: Bytes) -> Self {
        Self { key: Some(key), ..Self::new(service, Method::POST, path, body) }
    }

    /// Creates a request without an idempotency key.
    pub fn new(service: ServiceName, method: Method, path: &str, body: Bytes) -> Self {
        let path = path.to_owned();
        let headers = HeaderMap::new();
        Self { service, method, path, body, key: None, session: None, headers }
    }

    /// Adds a header; an invalid value is ignored.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = value.parse() {
            self.headers.insert(name, value);
        }
        self
    }

    /// Adds a mark, which the target echoes in its answer and counts in its records.
    #[must_use]
    pub fn with_mark(self, mark: &str) -> Self {
        self.with_header(MARK_HEADER, mark)
    }

    /// Sends the request with a session from an earlier call.
    #[must_use]
    pub fn with_session(mut self, session: &str) -> Self {
        self.session = Some(session.to_owned());
        self
    }

    /// Returns whether the method is idempotent, so that running the request twice is harmless.
    pub fn is_idempotent(&self) -> bool {
        self.method.is_idempotent()
    }

    /// Returns whether a retry is safe: the method is idempotent, or a key prevents a second run.
    pub fn may_resend(&self) -> bool {
        self.is_idempotent() || self.key.is_some()
    }
}

/// A complete answer to a request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Verdict, if an entry itself answered.
    pub verdict: Option<Verdict>,
    /// Value of `Retry-After`, in seconds.
    pub retry_after_s: Option<u64>,
    /// Target that answered.
    pub target: Option<TargetId>,
    /// Mark echoed by the target.
    pub mark: Option<String>,
    /// Whether the body matches its `Content-Digest` header; `None` without that header.
    pub digest_holds: Option<bool>,
    /// All response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

impl Answer {
    pub(super) fn new(status: u16, headers: HeaderMap, body: Bytes) -> Self {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        Self {
            status,
            verdict: text(VERDICT_HEADER).and_then(|text| text.parse().ok()),
            retry_after_s: text("retry-after").and_then(|text| text.parse().ok()),
            target: text(TARGET_HEADER).and_then(|text| text.parse().ok()),
            mark: text(MARK_HEADER).map(str::to_owned),
            digest_holds: text(CONTENT_DIGEST).map(|digest| digest == content_digest(&body)),
            headers,
            body,
        }
    }

    /// Returns whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns the body that the target wrote; `None` when an entry answered instead.
    pub fn work(&self) -> Option<WorkAnswer> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// One attempt to send a request through an entry.
#[derive(Debug, Clone, Serialize)]
pub struct Attempt {
    /// Entry that the attempt was sent to.
    pub entry: Endpoint,
    /// Status of the answer, if it was received completely.
    pub status: Option<u16>,
    /// Verdict of the answer, if it has one.
    pub verdict: Option<Verdict>,
    /// Why no complete answer was received.
    pub error: Option<String>,
}

/// Outcome of a request over all of its attempts.
#[derive(Debug, Clone)]
pub struct Report {
    /// All attempts, in the order in which they were made.
    pub attempts: Vec<Attempt>,
    /// Session that a request with an idempotency key was sent with.
    pub session: Option<String>,
    /// Last complete answer.
    pub answer: Option<Answer>,
}

impl Report {
    /// Returns the last answer if its status is 2xx.
    pub fn success(&self) -> Option<&Answer> {
        self.answer.as_ref().filter(|answer| answer.is_success())
    }

    /// Returns whether every attempt was answered with the verdict that the request did not run.
    pub fn is_proved_not_run(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.verdict == Some(Verdict::NotRun))
    }

    /// Returns the verdict of the last answer.
    pub fn verdict(&self) -> Option<Verdict> {
        self.answer.as_ref().and_then(|answer| answer.verdict)
    }
}
