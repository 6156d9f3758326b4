//! Handlers for requests and probes of a target.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poem::http::{Method, StatusCode};
use poem::web::Data;
use poem::{Body, Request, Response, handler};
use serde::{Deserialize, Serialize};

use super::answer::{answer, empty_answer, with_mark};
use super::state::TargetState;
use crate::digest::content_digest;

/// Header that carries a mark of the caller, echoed in the answer.
pub const MARK_HEADER: &str = "standin-mark";
/// Header that sets the size of the filler in the answer, in bytes.
pub const SIZE_HEADER: &str = "standin-size-bytes";
/// Header that sets the service time, in microseconds.
pub const SERVICE_US_HEADER: &str = "standin-service-us";
/// Header that sets the status of the answer.
pub const STATUS_HEADER: &str = "standin-status";
/// Header that carries the id of the target on an answer.
pub const TARGET_HEADER: &str = "standin-target";
/// Header that carries the idempotency key of a non-idempotent operation.
const KEY_HEADER: &str = "idempotency-key";

/// Maximum size of a request body.
const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;
/// Maximum size of the filler in an answer.
const FILLER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Body of an answer from a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkAnswer {
    /// Mark of the request.
    pub mark: Option<String>,
    /// Id of the target.
    pub target: String,
    /// Method of the request.
    pub method: String,
    /// Path of the request.
    pub path: String,
    /// Digest of the received request body.
    pub received_digest: String,
    /// Size of the received request body, in bytes.
    pub received_bytes: u64,
    /// Filler of the size set by the request.
    pub filler: String,
}

/// Parameters of a request, read from its head.
#[derive(Debug)]
struct RequestParams {
    method: Method,
    path: String,
    mark: Option<String>,
    key: Option<String>,
    size_bytes: usize,
    service: Option<Duration>,
    status: StatusCode,
}

impl RequestParams {
    fn new(request: &Request) -> Self {
        let number = |name| request.header(name).and_then(|text| text.parse::<u64>().ok());
        let size_bytes = number(SIZE_HEADER).unwrap_or(0);
        let status = request.header(STATUS_HEADER).and_then(|text| text.parse().ok());
        Self {
            method: request.method().clone(),
            path: request.uri().path().to_owned(),
            mark: request.header(MARK_HEADER).map(str::to_owned),
            key: request.header(KEY_HEADER).map(str::to_owned),
            size_bytes: usize::try_from(size_bytes).unwrap_or(usize::MAX).min(FILLER_MAX_BYTES),
            service: number(SERVICE_US_HEADER).map(Duration::from_micros),
            status: status.unwrap_or(StatusCode::OK),
        }
    }
}

/// Serves a request: reads it, waits for a slot, runs it and answers.
#[handler]
pub(super) async fn work(
    request: &Request,
    body: Body,
    Data(state): Data<&Arc<TargetState>>,
) -> Response {
    let params = RequestParams::new(request);
    state.recorder().record_arrival(Instant::now());
    let Ok(received) = body.into_bytes_limit(BODY_MAX_BYTES).await else {
        return empty_answer(state, StatusCode::BAD_REQUEST);
    };
    let response = run(state, &params, &received).await;
    with_mark(response, params.mark.as_deref())
}

async fn run(state: &TargetState, params: &RequestParams, received: &[u8]) -> Response {
    state.wait_while_frozen().await;
    let faults = state.faults();
    if faults.shed {
        return shed_request(state);
    }
    if let Some(status) = faults.fail_status {
        state.recorder().record_failure();
        return empty_answer(state, StatusCode::from_u16(status).unwrap_or_default());
    }
    let Some(slot) = state.acquire_slot().await else {
        return shed_request(state);
    };
    state.recorder().record_start(params.key.as_deref(), params.mark.as_deref());
    let time =
        params.service.map_or_else(|| state.service_time(), |time| state.apply_slowdown(time));
    tokio::time::sleep(time).await;
    state.recorder().record_completion(Instant::now());
    drop(slot);
    tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
    state.wait_while_frozen().await;
    let body = WorkAnswer {
        mark: params.mark.clone(),
        target: state.config.id.to_string(),
        method: params.method.to_string(),
        path: params.path.clone(),
        received_digest: content_digest(received),
        received_bytes: received.len() as u64,
        filler: "s".repeat(params.size_bytes),
    };
    answer(state, params.status, &body)
}

fn shed_request(state: &TargetState) -> Response {
    state.recorder().record_shed();
    let status = StatusCode::from_u16(state.config.shed_status).unwrap_or_default();
    let mut response = empty_answer(state, status);
    response.headers_mut().insert("retry-after", poem::http::HeaderValue::from_static("1"));
    response
}

/// Answers a probe, which holds a slot while it runs, as a request does.
#[handler]
pub(super) async fn probe(Data(state): Data<&Arc<TargetState>>) -> Response {
    state.recorder().record_probe(Instant::now());
    state.wait_while_frozen().await;
    let slot = state.slots.acquire().await;
    tokio::time::sleep(state.config.probe_duration).await;
    drop(slot);
    let load = state.reported_load().unwrap_or_default();
    let mut response = empty_answer(state, StatusCode::OK);
    response.set_body(serde_json::to_string(&load).unwrap_or_default());
    response
}
