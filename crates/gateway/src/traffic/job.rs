//! One caller's request on its way.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use http::HeaderMap;
use http::header::{AUTHORIZATION, COOKIE};
use shallotfork_balance::{SlotRequest, WorkClass};
use shallotfork_exchange::{BufferedRequest, CALLER_HEADER, CallerConnection};
use shallotfork_quarantine::{RequestContent, RequestFingerprint};
use shallotfork_routes::{RepeatPolicy, Route, TableVersion};
use shallotfork_types::{Mono, ServiceName, TargetId};

use crate::context::Context;

/// A caller that waited less than this before it came here has not been refused: its deadline
/// differs from the longest one by the time on the way.
const RETURNING_AFTER: Duration = Duration::from_millis(50);
/// Kept back from a deadline, so that the answer reaches its caller before it gives up; three
/// times the way between callers and entries.
const WAY_BACK: Duration = Duration::from_millis(10);

/// A route and the version of the routes that it was found in.
pub struct Routed {
    /// The route.
    pub route: Arc<Route>,
    /// The version.
    pub version: TableVersion,
}

/// What is known of a request once its route is found.
pub struct Job {
    /// Shared parts of the process.
    pub context: Arc<Context>,
    /// The request, whole.
    pub request: BufferedRequest,
    /// The caller's name for this attempt.
    pub request_id: String,
    /// Its route.
    pub route: Arc<Route>,
    /// Version of the routes that name it.
    pub version: TableVersion,
    /// The service that serves it.
    pub service: ServiceName,
    /// When it arrived.
    pub arrived: Mono,
    /// An answer until then is worth most.
    pub objective: Mono,
    /// The final answer is due then.
    pub deadline: Mono,
    /// How long the caller had waited before.
    pub waited: Duration,
    /// Whether its caller is still there.
    pub caller: CallerConnection,
    /// The fingerprint of its content, computed on first use.
    fingerprint: OnceLock<RequestFingerprint>,
}

impl Job {
    /// Works out the times of a request.
    pub fn new(
        context: Arc<Context>,
        request: BufferedRequest,
        request_id: String,
        routed: Routed,
        arrived: Mono,
        caller: CallerConnection,
    ) -> Self {
        let Routed { route, version } = routed;
        let patience = deadline_of(&context, &request.headers).unwrap_or(route.timeout);
        let waited = context.deadlines.waited(&route.name, patience);
        let objective = arrived.plus(route.latency_objective.saturating_sub(waited));
        let deadline = arrived.plus(patience.saturating_sub(WAY_BACK).min(route.timeout));
        let deadline = context.last_answer.borrow().map_or(deadline, |end| deadline.min(end));
        let service = context.choose_service(&route);
        Self {
            context,
            request,
            request_id,
            route,
            version,
            service,
            arrived,
            objective,
            deadline,
            waited,
            caller,
            fingerprint: OnceLock::new(),
        }
    }

    /// Returns the fingerprint of the request's content. The first call hashes the body.
    pub fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            let request = &self.request;
            let names = [AUTHORIZATION, COOKIE, CALLER_HEADER];
            let caller_headers: Vec<&[u8]> = names
                .iter()
                .flat_map(|name| {
                    let values = request.headers.get_all(name).iter();
                    values.flat_map(|value| [name.as_str().as_bytes(), value.as_bytes()])
                })
                .collect();
            let host = request.service.as_str().to_ascii_lowercase();
            self.context.fingerprint_key.fingerprint(&RequestContent {
                method: request.method.as_str(),
                host: &host,
                path_and_query: request.path_and_query.as_str(),
                caller_headers: &caller_headers,
                body: &request.body,
            })
        })
    }

    /// Whether a second run does no harm.
    pub fn is_repeatable(&self) -> bool {
        self.route.repeat_policy == RepeatPolicy::Idempotent
    }

    /// Time left at `now`.
    pub fn left(&self, now: Mono) -> Duration {
        self.deadline.since(now)
    }

    /// Requests of one route take about the same time.
    pub fn class(&self) -> WorkClass {
        WorkClass::new(self.route.name.as_str())
    }

    /// What it asks of the service's slots.
    pub fn ask(&self, tried: &[TargetId]) -> SlotRequest {
        SlotRequest::new(self.class(), self.arrived, self.objective, self.deadline)
            .with_rank(self.route.priority.rank())
            .with_resubmitted(self.waited >= RETURNING_AFTER || !tried.is_empty())
            .with_exclude(tried.to_vec())
    }
}

/// How long the caller says it waits.
fn deadline_of(context: &Context, headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(&context.dialect.headers.deadline_ms)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_millis)
}
