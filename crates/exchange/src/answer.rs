//! A target's answer, held whole.

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HeaderValue};
use http::{HeaderMap, Method, StatusCode};

use crate::headers::REPLAYED_HEADER;

/// An answer that arrived completely and matches its digest where one was given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedAnswer {
    /// The status.
    pub status: StatusCode,
    /// All headers but the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The body, decoded from its chunks.
    pub body: Bytes,
}

impl BufferedAnswer {
    /// The answer for the caller that asked with `method`.
    ///
    /// `Content-Length` is set anew from the body, except where it describes a body that is not
    /// sent: answers to `HEAD`, and 304.
    pub fn into_response(self, method: &Method) -> poem::Response {
        let Self { status, mut headers, body } = self;
        let describes_absent = method == Method::HEAD || status == StatusCode::NOT_MODIFIED;
        if !describes_absent {
            headers.remove(CONTENT_LENGTH);
        }
        let mut response = poem::Response::from(poem_body(body));
        response.set_status(status);
        *response.headers_mut() = headers;
        response
    }

    /// The answer for a caller that repeats an operation which ran before.
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
