//! Complete answers of targets.

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HeaderValue};
use http::{HeaderMap, Method, StatusCode};

use crate::headers::REPLAYED_HEADER;

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
    pub fn into_response(self, method: &Method) -> poem::Response {
        let Self { status, mut headers, body } = self;
        let has_absent_body = method == Method::HEAD || status == StatusCode::NOT_MODIFIED;
        if !has_absent_body {
            headers.remove(CONTENT_LENGTH);
        }
        let mut response = poem::Response::from(poem_body(body));
        response.set_status(status);
        *response.headers_mut() = headers;
        response
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
