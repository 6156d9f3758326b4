//! Finds the heads of requests that wait behind another one on their connection.

use bytes::{Buf, BytesMut};
use http::header::{CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE};
use http::{Method, Request, Uri, Version};

/// Fields of a head at most; the HTTP library allows as many.
const FIELDS_MAX: usize = 100;
/// A head that is longer is left to the HTTP library.
const HEAD_MAX_BYTES: usize = 16 * 1024;

/// Follows the bytes of a connection for as long as all of its requests are without a body.
///
/// A body's end would have to be found by the same rules as the HTTP library's, or bytes of a body
/// could be taken for a request that nobody sent. So the first request with anything like a body
/// ends the search for the rest of the connection.
#[derive(Debug)]
pub(crate) struct HeadsAhead {
    unread: BytesMut,
    searching: bool,
    next: u64,
    found: Vec<(u64, http::request::Parts)>,
}

impl HeadsAhead {
    pub(crate) fn new() -> Self {
        Self { unread: BytesMut::new(), searching: true, next: 0, found: Vec::new() }
    }

    /// Takes bytes as they arrive.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        if !self.searching {
            return;
        }
        self.unread.extend_from_slice(bytes);
        while let Some(head) = self.next_head() {
            self.found.push((self.next, head));
            self.next += 1;
        }
    }

    /// The heads found since the last call, with their numbers on the connection.
    pub(crate) fn take(&mut self) -> Vec<(u64, http::request::Parts)> {
        std::mem::take(&mut self.found)
    }

    fn next_head(&mut self) -> Option<http::request::Parts> {
        if self.unread.is_empty() {
            return None;
        }
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
        let mut parsed = httparse::Request::new(&mut fields);
        let (size, head) = match parsed.parse(&self.unread) {
            Ok(httparse::Status::Complete(size)) => (size, head(&parsed)),
            Ok(httparse::Status::Partial) if self.unread.len() < HEAD_MAX_BYTES => return None,
            _ => (0, None),
        };
        let Some(head) = head else {
            self.searching = false;
            self.unread = BytesMut::new();
            return None;
        };
        self.unread.advance(size);
        Some(head)
    }
}

/// The head of a request that surely has no body.
fn head(parsed: &httparse::Request<'_, '_>) -> Option<http::request::Parts> {
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
