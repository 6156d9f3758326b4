//! A request as a caller describes it, and what became of it.

use bytes::Bytes;
use http::{HeaderMap, Method};
use serde::Serialize;
use shallotfork_types::{Endpoint, IdempotencyKey, ServiceName, TargetId, Verdict};

use crate::digest::{CONTENT_DIGEST, content_digest};
use crate::target::{MARK_HEADER, TARGET_HEADER, WorkAnswer};

/// Header with the verdict on a request that failed.
const VERDICT_HEADER: &str = "shallotfork-verdict";

/// One request.
#[derive(Debug, Clone)]
pub struct Call {
    /// The service asked.
    pub service: ServiceName,
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The body, empty by default.
    pub body: Bytes,
    /// Key of a non-idempotent operation.
    pub key: Option<IdempotencyKey>,
    /// Session to use in place of the newest one held.
    pub session: Option<String>,
    /// Further headers.
    pub headers: HeaderMap,
}

impl Call {
    /// A read.
    pub fn get(service: ServiceName, path: &str) -> Self {
        Self::new(service, Method::GET, path, Bytes::new())
    }

    /// A non-idempotent operation under a key.
    pub fn post(service: ServiceName, path: &str, key: IdempotencyKey, body: Bytes) -> Self {
        Self { key: Some(key), ..Self::new(service, Method::POST, path, body) }
    }

    /// Any request without a key.
    pub fn new(service: ServiceName, method: Method, path: &str, body: Bytes) -> Self {
        let path = path.to_owned();
        let headers = HeaderMap::new();
        Self { service, method, path, body, key: None, session: None, headers }
    }

    /// Adds a header; one that is not valid is left out.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = value.parse() {
            self.headers.insert(name, value);
        }
        self
    }

    /// Adds a mark, which the target echoes and counts.
    #[must_use]
    pub fn with_mark(self, mark: &str) -> Self {
        self.with_header(MARK_HEADER, mark)
    }

    /// Uses a session kept from an earlier call.
    #[must_use]
    pub fn with_session(mut self, session: &str) -> Self {
        self.session = Some(session.to_owned());
        self
    }

    /// Whether another run would do no harm.
    pub fn is_idempotent(&self) -> bool {
        self.method.is_idempotent()
    }

    /// Whether a resend can't cause a second run: nothing to lose, or a key that guards it.
    pub fn may_resend(&self) -> bool {
        self.is_idempotent() || self.key.is_some()
    }
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The verdict, when the system itself answered.
    pub verdict: Option<Verdict>,
    /// How long to wait before asking again.
    pub retry_after_s: Option<u64>,
    /// The target that answered.
    pub target: Option<TargetId>,
    /// The mark that came back.
    pub mark: Option<String>,
    /// Whether the body has the digest that its headers state; nothing when they state none.
    pub digest_holds: Option<bool>,
    /// All headers.
    pub headers: HeaderMap,
    /// The body.
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

    /// Whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// The target's own answer; nothing when the system answered.
    pub fn work(&self) -> Option<WorkAnswer> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// One send of a request.
#[derive(Debug, Clone, Serialize)]
pub struct Attempt {
    /// The entry that it went to.
    pub entry: Endpoint,
    /// Status of the answer, if one came whole.
    pub status: Option<u16>,
    /// The verdict, if the answer carries one.
    pub verdict: Option<Verdict>,
    /// Why no whole answer came.
    pub error: Option<String>,
}

/// What became of a request.
#[derive(Debug, Clone)]
pub struct Report {
    /// Every send in order.
    pub attempts: Vec<Attempt>,
    /// The session that a keyed request was sent with.
    pub session: Option<String>,
    /// The last whole answer.
    pub answer: Option<Answer>,
}

impl Report {
    /// The answer, when it is a success.
    pub fn success(&self) -> Option<&Answer> {
        self.answer.as_ref().filter(|answer| answer.is_success())
    }

    /// Whether every send was answered with the proof that nothing ran.
    pub fn is_proved_not_run(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.verdict == Some(Verdict::NotRun))
    }

    /// The last answer's verdict.
    pub fn verdict(&self) -> Option<Verdict> {
        self.answer.as_ref().and_then(|answer| answer.verdict)
    }
}
