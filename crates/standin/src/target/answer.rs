//! Bodies of a target's answers.

use poem::http::StatusCode;
use poem::{Body, Response};

use super::load::LOAD_HEADER;
use super::state::TargetState;
use super::work::{MARK_HEADER, TARGET_HEADER, WorkAnswer};
use crate::digest::{CONTENT_DIGEST, content_digest};

/// Builds a whole answer with its digest, marks and load report.
pub(super) fn answer(state: &TargetState, status: StatusCode, body: &WorkAnswer) -> Response {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let digest = content_digest(&body);
    let mut response = empty_answer(state, status);
    if status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED {
        response.headers_mut().insert(CONTENT_DIGEST, header(&digest));
        response.headers_mut().insert("content-type", header("application/json"));
        response.set_body(Body::from(body));
    }
    response
}

/// Builds an answer without a body.
pub(super) fn empty_answer(state: &TargetState, status: StatusCode) -> Response {
    let mut response = Response::builder().status(status).finish();
    let headers = response.headers_mut();
    headers.insert(TARGET_HEADER, header(state.config.id.as_str()));
    if let Some(load) = state.reported_load() {
        headers.insert(LOAD_HEADER, header(&load.to_string()));
    }
    if state.faults().draining {
        headers.insert("connection", header("close"));
    }
    if status.is_redirection() {
        headers.insert("location", header("/elsewhere"));
    }
    response
}

/// Repeats the request's mark on its answer.
pub(super) fn with_mark(mut response: Response, mark: Option<&str>) -> Response {
    if let Some(mark) = mark {
        response.headers_mut().insert(MARK_HEADER, header(mark));
    }
    response
}

fn header(text: &str) -> poem::http::HeaderValue {
    poem::http::HeaderValue::from_str(text)
        .unwrap_or_else(|_| poem::http::HeaderValue::from_static("invalid"))
}
