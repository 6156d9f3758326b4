//! Answers of a target.

use poem::http::StatusCode;
use poem::{Body, Response};

use super::load::LOAD_HEADER;
use super::state::TargetState;
use super::work::{MARK_HEADER, TARGET_HEADER, WorkAnswer};
use crate::digest::{CONTENT_DIGEST, content_digest};

/// Builds an answer with a body, its digest and a load report.
pub(super) fn answer(state: &TargetState, status: StatusCode, body: &WorkAnswer) -> Response {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let digest = content_digest(&body);
    let mut response = empty_answer(state, status);
    if status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED {
        response.headers_mut().insert(CONTENT_DIGEST, header_value(&digest));
        response.headers_mut().insert("content-type", header_value("application/json"));
        response.set_body(Body::from(body));
    }
    response
}

/// Builds an answer without a body, with a load report.
pub(super) fn empty_answer(state: &TargetState, status: StatusCode) -> Response {
    let mut response = Response::builder().status(status).finish();
    let headers = response.headers_mut();
    headers.insert(TARGET_HEADER, header_value(state.config.id.as_str()));
    if let Some(load) = state.reported_load() {
        headers.insert(LOAD_HEADER, header_value(&load.to_string()));
    }
    if state.faults().draining {
        headers.insert("connection", header_value("close"));
    }
    if status.is_redirection() {
        headers.insert("location", header_value("/elsewhere"));
    }
    response
}

/// Copies the mark of a request to its answer.
pub(super) fn with_mark(mut response: Response, mark: Option<&str>) -> Response {
    if let Some(mark) = mark {
        response.headers_mut().insert(MARK_HEADER, header_value(mark));
    }
    response
}

fn header_value(text: &str) -> poem::http::HeaderValue {
    poem::http::HeaderValue::from_str(text)
        .unwrap_or_else(|_| poem::http::HeaderValue::from_static("invalid"))
}
