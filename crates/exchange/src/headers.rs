//! Header rules of an HTTP intermediary (RFC 9110, 7.6) and Shallotfork's own headers.

use std::time::Duration;

use http::HeaderMap;
use http::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use shallotfork_types::{CallerName, IdempotencyKey};

use crate::rejection::Rejection;

/// The session issued by an entry; not forwarded to the target.
pub const SESSION_HEADER: HeaderName = HeaderName::from_static("shallotfork-session");
/// The idempotency key that the caller gives to an operation; forwarded to the target.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// The caller's remaining timeout in milliseconds; forwarded with the time that is left.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("shallotfork-deadline-ms");
/// The name of the caller; forwarded to the target.
pub const CALLER_HEADER: HeaderName = HeaderName::from_static("shallotfork-caller");
/// Whether the request may have run; set on answers made by an entry itself.
pub const VERDICT_HEADER: HeaderName = HeaderName::from_static("shallotfork-verdict");
/// Marks an answer that was stored when the operation ran and is now replayed.
pub const REPLAYED_HEADER: HeaderName = HeaderName::from_static("shallotfork-replayed");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const PROXY_AUTHENTICATION_INFO: HeaderName = HeaderName::from_static("proxy-authentication-info");

/// Headers for the next hop only, whether or not `Connection` lists them.
const HOP_BY_HOP: [HeaderName; 10] = [
    CONNECTION,
    KEEP_ALIVE,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    PROXY_CONNECTION,
    PROXY_AUTHENTICATION_INFO,
];

/// Headers that are forwarded even when a caller's `Connection` lists them, which RFC 9110, 7.6.1,
/// forbids. Without them a target would serve another host, or run an operation without its key.
const END_TO_END: [HeaderName; 3] = [HOST, KEY_HEADER, CALLER_HEADER];

/// Size of `HTTP/1.1 200 OK`, the date and the length that the HTTP library adds, and the empty line.
const STATUS_LINE_BYTES: usize = 80;
/// Size of the separators of a header field.
const FIELD_EXTRA_BYTES: usize = 4;
/// Maximum length of a session; no entry issues a longer one.
const MAX_SESSION_BYTES: usize = 1024;
/// Upper limit for a caller's timeout: one day.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

/// Returns the declared size of a body; 0 if there is none.
pub(crate) fn declared_length(headers: &HeaderMap) -> u64 {
    let text = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Returns the size of a response's head on an HTTP/1 connection, nearly.
pub(crate) fn head_size(headers: &HeaderMap) -> usize {
    let fields =
        headers.iter().map(|(name, value)| name.as_str().len() + value.len() + FIELD_EXTRA_BYTES);
    STATUS_LINE_BYTES + fields.sum::<usize>()
}

/// Removes `Connection`, the headers that it lists, and all other hop-by-hop headers.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Removes the headers that only an entry may set on an answer.
///
/// A target that forwards the answer of another service would otherwise give its caller the verdict
/// on a different request.
pub(crate) fn strip_entry_headers(headers: &mut HeaderMap) {
    headers.remove(VERDICT_HEADER);
    headers.remove(REPLAYED_HEADER);
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .filter(|name| !END_TO_END.contains(name))
        .collect()
}

/// The request headers that are addressed to the entry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ControlHeaders {
    /// The session as text; the entry that issued it verifies it.
    pub session: Option<String>,
    /// The idempotency key of the operation.
    pub key: Option<IdempotencyKey>,
    /// The caller's timeout, starting with the arrival of the request.
    pub deadline: Option<Duration>,
    /// The name of the caller.
    pub caller: Option<CallerName>,
}

impl ControlHeaders {
    /// Parses the control headers and removes those that are not forwarded to a target.
    pub(crate) fn take(headers: &mut HeaderMap) -> Result<Self, Rejection> {
        let session = single_value(headers, &SESSION_HEADER)?.map(parse_session).transpose()?;
        let key = single_value(headers, &KEY_HEADER)?.map(parse_key).transpose()?;
        let deadline = single_value(headers, &DEADLINE_HEADER)?.map(parse_deadline).transpose()?;
        let caller = single_value(headers, &CALLER_HEADER)?.map(parse_caller).transpose()?;
        headers.remove(SESSION_HEADER);
        headers.remove(DEADLINE_HEADER);
        Ok(Self { session, key, deadline, caller })
    }
}

/// Returns the value of a control header; several values are rejected as ambiguous.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, Rejection> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Rejection::bad_header(name, "it occurs more than once"));
    }
    value.to_str().map(Some).map_err(|_| Rejection::bad_header(name, "it is not visible ASCII"))
}

fn parse_session(text: &str) -> Result<String, Rejection> {
    let is_valid_length = !text.is_empty() && text.len() <= MAX_SESSION_BYTES;
    if !is_valid_length {
        return Err(Rejection::bad_header(&SESSION_HEADER, "expected 1 to 1024 characters"));
    }
    Ok(text.to_owned())
}

fn parse_key(text: &str) -> Result<IdempotencyKey, Rejection> {
    text.parse().map_err(|error| Rejection::bad_header(&KEY_HEADER, &format!("{error}")))
}

fn parse_caller(text: &str) -> Result<CallerName, Rejection> {
    text.parse().map_err(|error| Rejection::bad_header(&CALLER_HEADER, &format!("{error}")))
}

fn parse_deadline(text: &str) -> Result<Duration, Rejection> {
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number {
        return Err(Rejection::bad_header(&DEADLINE_HEADER, "expected a whole number"));
    }
    let timeout_ms = text.parse().unwrap_or(u64::MAX);
    Ok(Duration::from_millis(timeout_ms).min(MAX_DEADLINE))
}

/// Formats the remaining time in whole milliseconds, rounded down so that the next hop never gets
/// more time than is left.
pub(crate) fn deadline_value(remaining: Duration) -> HeaderValue {
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    HeaderValue::from(remaining_ms)
}
