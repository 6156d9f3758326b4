//! The work that a target does for one request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use poem::http::{Method, StatusCode};
use poem::web::Data;
use poem::{Body, Request, Response, handler};
use serde::{Deserialize, Serialize};

use super::answer::{answer, empty_answer, with_mark};
use super::state::TargetState;
use crate::digest::content_digest;

/// Header with a caller's mark, echoed in the answer.
pub const MARK_HEADER: &str = "standin-mark";
/// Header with the size of the filler wanted in the answer.
pub const SIZE_HEADER: &str = "standin-size-bytes";
/// Header with the service time wanted, in microseconds.
pub const SERVICE_US_HEADER: &str = "standin-service-us";
/// Header with the status wanted.
pub const STATUS_HEADER: &str = "standin-status";
/// Header of answers with the target's id.
pub const TARGET_HEADER: &str = "standin-target";
/// Header with the caller's name for a non-idempotent operation.
const KEY_HEADER: &str = "idempotency-key";

/// Largest body taken.
const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;
/// Largest filler given.
const FILLER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Body of a target's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkAnswer {
    /// The request's mark.
    pub mark: Option<String>,
    /// The target's id.
    pub target: String,
    /// The request's method.
    pub method: String,
    /// The request's path.
    pub path: String,
    /// Digest of the body that arrived.
    pub received_digest: String,
    /// Size of the body that arrived.
    pub received_bytes: u64,
    /// As many letters as the request asked for.
    pub filler: String,
}

/// What a request asks of the stand-in.
#[derive(Debug)]
struct Asked {
    method: Method,
    path: String,
    mark: Option<String>,
    key: Option<String>,
    size_bytes: usize,
    service: Option<Duration>,
    status: StatusCode,
}

impl Asked {
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

/// Serves a request: read, queue, run, answer.
#[handler]
pub(super) async fn work(
    request: &Request,
    body: Body,
    Data(state): Data<&Arc<TargetState>>,
) -> Response {
    let asked = Asked::new(request);
    state.recorder().arrived(Instant::now());
    let Ok(received) = body.into_bytes_limit(BODY_MAX_BYTES).await else {
        return empty_answer(state, StatusCode::BAD_REQUEST);
    };
    let response = run(state, &asked, &received).await;
    with_mark(response, asked.mark.as_deref())
}

async fn run(state: &TargetState, asked: &Asked, received: &[u8]) -> Response {
    state.thaw().await;
    let faults = state.faults();
    if faults.shed {
        return shed(state);
    }
    if let Some(status) = faults.fail_status {
        state.recorder().failed();
        return empty_answer(state, StatusCode::from_u16(status).unwrap_or_default());
    }
    let Some(slot) = state.take_slot().await else {
        return shed(state);
    };
    state.recorder().started(asked.key.as_deref(), asked.mark.as_deref());
    let time = asked.service.map_or_else(|| state.service_time(), |time| state.slow_down(time));
    tokio::time::sleep(time).await;
    state.recorder().completed(Instant::now());
    drop(slot);
    tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
    state.thaw().await;
    let body = WorkAnswer {
        mark: asked.mark.clone(),
        target: state.config.id.to_string(),
        method: asked.method.to_string(),
        path: asked.path.clone(),
        received_digest: content_digest(received),
        received_bytes: received.len() as u64,
        filler: "s".repeat(asked.size_bytes),
    };
    answer(state, asked.status, &body)
}

fn shed(state: &TargetState) -> Response {
    state.recorder().shed();
    let status = StatusCode::from_u16(state.config.shed_status).unwrap_or_default();
    let mut response = empty_answer(state, status);
    response.headers_mut().insert("retry-after", poem::http::HeaderValue::from_static("1"));
    response
}

/// Answers a probe, which takes a slot as work does.
#[handler]
pub(super) async fn probe(Data(state): Data<&Arc<TargetState>>) -> Response {
    state.recorder().probed(Instant::now());
    state.thaw().await;
    let slot = state.slots.acquire().await;
    tokio::time::sleep(state.config.probe).await;
    drop(slot);
    let load = state.reported_load().unwrap_or_default();
    let mut response = empty_answer(state, StatusCode::OK);
    response.set_body(serde_json::to_string(&load).unwrap_or_default());
    response
}
