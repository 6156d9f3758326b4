//! A caller's request with its route and deadlines.

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
use crate::traffic::forward::FORWARDED_HEADER;

/// Minimum prior wait of a request that counts as resubmitted. Below it the request was not
/// rejected before: its deadline is shorter than the longest one only by its time in transit.
const RESUBMITTED_PRIOR_WAIT_MIN: Duration = Duration::from_millis(50);
/// Subtracted from a caller's timeout so that the answer arrives before the caller gives up. Three
/// times the transit time between callers and entries.
const ANSWER_TRANSIT_MARGIN: Duration = Duration::from_millis(10);

/// A route and the version of the route table that contains it.
pub struct RouteMatch {
    /// Route of the request.
    pub route: Arc<Route>,
    /// Version of the route table.
    pub version: TableVersion,
}

/// A request whose route has been found.
pub struct RoutedRequest {
    /// State shared by the threads of the process.
    pub context: Arc<Context>,
    /// The request with its complete body.
    pub request: BufferedRequest,
    /// Id that the caller gave to this attempt.
    pub request_id: String,
    /// Route of the request.
    pub route: Arc<Route>,
    /// Version of the route table that contains the route.
    pub version: TableVersion,
    /// Service that runs the request.
    pub service: ServiceName,
    /// Time at which the request arrived.
    pub arrived_at: Mono,
    /// Time by which an answer meets the route's latency objective.
    pub objective: Mono,
    /// Time by which the request must be answered.
    pub deadline: Mono,
    /// Time that the caller waited before it sent this request, estimated from its deadline.
    pub prior_wait: Duration,
    /// Whether another entry has forwarded the request.
    pub is_forwarded: bool,
    /// Whether the caller is still connected.
    pub caller: CallerConnection,
    /// Fingerprint of the request's content, computed on first use.
    fingerprint: OnceLock<RequestFingerprint>,
}

impl RoutedRequest {
    /// Creates a routed request: computes its objective and deadline and chooses a service.
    pub fn new(
        context: Arc<Context>,
        mut request: BufferedRequest,
        request_id: String,
        matched: RouteMatch,
        arrived_at: Mono,
        caller: CallerConnection,
    ) -> Self {
        let RouteMatch { route, version } = matched;
        let caller_timeout = requested_timeout(&context, &request.headers).unwrap_or(route.timeout);
        let prior_wait = context.prior_waits.estimate(&route.name, caller_timeout);
        let objective = arrived_at.plus(route.latency_objective.saturating_sub(prior_wait));
        let deadline = arrived_at
            .plus(caller_timeout.saturating_sub(ANSWER_TRANSIT_MARGIN).min(route.timeout));
        let deadline = context.answer_deadline.borrow().map_or(deadline, |end| deadline.min(end));
        let service = context.choose_service(&route);
        let is_forwarded = request.headers.remove(FORWARDED_HEADER).is_some();
        Self {
            context,
            request,
            request_id,
            route,
            version,
            service,
            arrived_at,
            objective,
            deadline,
            prior_wait,
            is_forwarded,
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

    /// Whether the request may run more than once without harm.
    pub fn is_idempotent(&self) -> bool {
        self.route.repeat_policy == RepeatPolicy::Idempotent
    }

    /// Whether the caller was rejected before and has sent the request again.
    pub fn has_returned(&self) -> bool {
        self.prior_wait >= RESUBMITTED_PRIOR_WAIT_MIN
    }

    /// Returns the time remaining until the deadline.
    pub fn remaining(&self, now: Mono) -> Duration {
        self.deadline.since(now)
    }

    /// Returns the work class, which is the route: requests of one route take about the same time.
    pub fn class(&self) -> WorkClass {
        WorkClass::new(self.route.name.as_str())
    }

    /// Returns the request for a slot at a target that is not in `exclude`.
    pub fn slot_request(&self, exclude: &[TargetId]) -> SlotRequest {
        SlotRequest::new(self.class(), self.arrived_at, self.objective, self.deadline)
            .with_rank(self.route.priority.rank())
            .with_resubmitted(self.has_returned() || !exclude.is_empty())
            .with_exclude(exclude.to_vec())
    }
}

/// Reads the timeout that the caller sent in the deadline header.
fn requested_timeout(context: &Context, headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(&context.dialect.headers.deadline_ms)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_millis)
}
