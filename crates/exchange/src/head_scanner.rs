//! Finds the heads of pipelined requests in the bytes of a connection.

use bytes::{Buf, BytesMut};
use http::header::{CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE};
use http::{Method, Request, Uri, Version};

/// Maximum number of header fields; the HTTP library has the same limit.
const FIELDS_MAX: usize = 100;
/// Maximum size of a head that is parsed here; longer heads are left to the HTTP library.
const HEAD_MAX_BYTES: usize = 16 * 1024;

/// Scans the bytes of a connection for request heads, as long as no request has a body.
///
/// To find the end of a body, the scanner would have to follow exactly the HTTP library's rules;
/// otherwise bytes of a body could be mistaken for a request. Scanning therefore stops for the rest
/// of the connection at the first request that may have a body.
#[derive(Debug)]
pub(crate) struct HeadScanner {
    buffer: BytesMut,
    is_scanning: bool,
    next_index: u64,
    heads: Vec<(u64, http::request::Parts)>,
}

impl HeadScanner {
    pub(crate) fn new() -> Self {
        Self { buffer: BytesMut::new(), is_scanning: true, next_index: 0, heads: Vec::new() }
    }

    /// Scans bytes in the order in which they were received.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        if !self.is_scanning {
            return;
        }
        self.buffer.extend_from_slice(bytes);
        while let Some(head) = self.next_head() {
            self.heads.push((self.next_index, head));
            self.next_index += 1;
        }
    }

    /// Returns the number of bytes held of an incomplete head.
    pub(crate) fn held_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the heads found since the last call, each with its index on the connection.
    pub(crate) fn take(&mut self) -> Vec<(u64, http::request::Parts)> {
        std::mem::take(&mut self.heads)
    }

    fn next_head(&mut self) -> Option<http::request::Parts> {
        if self.buffer.is_empty() {
            return None;
        }
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
        let mut parsed = httparse::Request::new(&mut fields);
        let (size, head) = match parsed.parse(&self.buffer) {
            Ok(httparse::Status::Complete(size)) => (size, bodiless_head(&parsed)),
            Ok(httparse::Status::Partial) if self.buffer.len() < HEAD_MAX_BYTES => return None,
            _ => (0, None),
        };
        let Some(head) = head else {
            self.is_scanning = false;
            self.buffer = BytesMut::new();
            return None;
        };
        self.buffer.advance(size);
        Some(head)
    }
}

/// Converts a parsed head; returns `None` if the request may have a body.
fn bodiless_head(parsed: &httparse::Request<'_, '_>) -> Option<http::request::Parts> {
    let method = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    let bodiless = method == Method::GET || method == Method::HEAD;
    if !bodiless || parsed.version != Some(1) {
        return None;
    }
    let uri: Uri = parsed.path?.parse().ok()?;
    let mut request = Request::new(());
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    *request.version_mut() = Version::HTTP_11;
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        if [CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT, UPGRADE].contains(&name) {
            return None;
        }
        request.headers_mut().append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    Some(request.into_parts().0)
}
