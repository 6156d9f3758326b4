//! Complete answers of targets.

use std::sync::Arc;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HeaderValue};
use http::{HeaderMap, Method, StatusCode};
use http_body_util::combinators::BoxBody;

use crate::answer_transfer::{AnswerTransfer, Pacing};
use crate::headers::REPLAYED_HEADER;
use crate::paced_body::PacedBody;
use crate::transfer_state::TransferState;

/// An answer that was received completely and matches its `Content-Digest`, if it has one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// All headers except hop-by-hop headers.
    pub headers: HeaderMap,
    /// The body, without the chunked transfer encoding.
    pub body: Bytes,
}

impl BufferedAnswer {
    /// Converts the answer into the response to a request with `method`.
    ///
    /// `Content-Length` is recomputed from the body, except for answers to `HEAD` and for 304,
    /// where it describes a body that is not sent.
    pub fn into_response(mut self, method: &Method) -> poem::Response {
        if !self.has_absent_body(method) {
            self.headers.remove(CONTENT_LENGTH);
        }
        let Self { status, headers, body } = self;
        let mut response = poem::Response::from(poem_body(body));
        response.set_status(status);
        *response.headers_mut() = headers;
        response
    }

    /// Like [`BufferedAnswer::into_response`], but writes and reports the answer as `transfer` says.
    ///
    /// The body counts toward its [`BodyBudget`](crate::BodyBudget) until the caller's connection
    /// has taken its last byte or has ended.
    pub fn into_transferred_response(
        mut self,
        method: &Method,
        transfer: AnswerTransfer,
    ) -> poem::Response {
        let body = if self.has_absent_body(method) {
            Bytes::new()
        } else {
            std::mem::take(&mut self.body)
        };
        let pacing = transfer.pacing.clone();
        let state = Arc::new(TransferState::new(transfer, body.len() as u64));
        let mut response = self.into_response(method);
        response.set_body(match pacing {
            Pacing::Paced(pacer) if !body.is_empty() => {
                poem::Body::from(BoxBody::new(PacedBody::new(body, pacer, Arc::clone(&state))))
            }
            _ => poem_body(body),
        });
        response.extensions_mut().insert(state);
        response
    }

    /// Returns whether `Content-Length` describes a body that is not sent.
    fn has_absent_body(&self, method: &Method) -> bool {
        method == Method::HEAD || self.status == StatusCode::NOT_MODIFIED
    }

    /// Converts the answer into the response to a repeated operation that has already run.
    pub fn into_replayed_response(self, method: &Method) -> poem::Response {
        let mut response = self.into_response(method);
        response.headers_mut().insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
        response
    }
}

fn poem_body(body: Bytes) -> poem::Body {
    if body.is_empty() {
        return poem::Body::empty();
    }
    poem::Body::from_bytes(body)
}
