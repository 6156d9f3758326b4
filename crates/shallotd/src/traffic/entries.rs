//! `GET /v1/entries`: the entries advertised to a caller for a service.

use std::time::Duration;

use http::{Method, StatusCode};
use poem::{IntoResponse, Request, Response, web::Json};
use serde::{Deserialize, Serialize};
use shallotfork_exchange::Problem;
use shallotfork_membership::{CallerPreference, EntryVm, rank_for_caller};
use shallotfork_types::{Endpoint, FailureDomain, ServiceName, Verdict, VmId};

use crate::context::Context;

const ENTRIES_PATH: &str = "/v1/entries";

/// Time after which a caller may retry at a starting entry.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(500);

#[derive(Debug, Deserialize)]
struct Query {
    service: ServiceName,
    failure_domain: Option<FailureDomain>,
}

#[derive(Debug, Serialize)]
struct Answer {
    service: ServiceName,
    entries: Vec<Entry>,
    keep_for_ms: u64,
    session: Option<String>,
    session_lifetime_ms: u64,
}

#[derive(Debug, Serialize)]
struct Entry {
    vm: VmId,
    address: Endpoint,
    failure_domain: FailureDomain,
}

impl From<EntryVm> for Entry {
    fn from(entry: EntryVm) -> Self {
        Self { vm: entry.vm, address: entry.callers, failure_domain: entry.failure_domain }
    }
}

/// Handles a request for the system itself.
pub async fn handle_entries(context: &Context, request: &Request) -> Response {
    if request.uri().path() != ENTRIES_PATH {
        return problem_response(
            StatusCode::NOT_FOUND,
            "the only path of the system itself is /v1/entries",
        );
    }
    if request.method() != Method::GET {
        return problem_response(StatusCode::METHOD_NOT_ALLOWED, "only GET is answered here");
    }
    let query: Query = match request.params() {
        Ok(query) => query,
        Err(error) => return problem_response(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    list_entries(context, query).await
}

async fn list_entries(context: &Context, query: Query) -> Response {
    let snapshot = context.snapshot();
    if !snapshot.ready {
        let problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, Verdict::NotRun);
        let problem = problem.with_detail("starting: no rule list is in force yet");
        return problem.with_retry_after(STARTING_RETRY_AFTER).into_response();
    }
    let Some(service) = snapshot.services.get(&query.service) else {
        return problem_response(StatusCode::NOT_FOUND, "no such service is published");
    };
    let preference = CallerPreference {
        failure_domain: query.failure_domain,
        rotation: Context::next_value(&context.entry_rotation),
    };
    let ranked = rank_for_caller(&service.serving_entries, &preference);
    let session = context.control.issue().await;
    let callers = &context.settings.callers;
    let answer = Answer {
        service: query.service,
        entries: ranked.into_iter().map(Entry::from).collect(),
        keep_for_ms: millis(callers.keep_for),
        session: session.map(|session| session.to_string()),
        session_lifetime_ms: millis(context.settings.once.session_lifetime),
    };
    Json(answer).into_response()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn problem_response(status: StatusCode, detail: &str) -> Response {
    Problem::new(status, Verdict::NotRun).with_detail(detail).into_response()
}
