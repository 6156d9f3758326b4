//! Header rules of an HTTP intermediary (RFC 9110, 7.6) and the headers of this system.

use std::time::Duration;

use http::HeaderMap;
use http::header::{
    CONNECTION, HOST, HeaderName, HeaderValue, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use shallotfork_types::{CallerName, IdempotencyKey};

use crate::refusal::Rejection;

/// The session that an entry issued; read and removed here.
pub const SESSION_HEADER: HeaderName = HeaderName::from_static("shallotfork-session");
/// The caller's name for one non-idempotent operation; passed on to the target.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Milliseconds that the caller still waits; passed on with what remains of it.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("shallotfork-deadline-ms");
/// Who calls; passed on to the target.
pub const CALLER_HEADER: HeaderName = HeaderName::from_static("shallotfork-caller");
/// On answers that the system itself makes: whether the request may have run.
pub const VERDICT_HEADER: HeaderName = HeaderName::from_static("shallotfork-verdict");
/// On an answer that was kept from the operation's one run.
pub const REPLAYED_HEADER: HeaderName = HeaderName::from_static("shallotfork-replayed");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const PROXY_AUTHENTICATION_INFO: HeaderName = HeaderName::from_static("proxy-authentication-info");

/// Meant for the next hop only, whether or not `Connection` names them.
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

/// Meant for the target, even when a caller's `Connection` names them (RFC 9110, 7.6.1, forbids
/// that). Without them a target would serve another host, or an operation without its key.
const END_TO_END: [HeaderName; 3] = [HOST, KEY_HEADER, CALLER_HEADER];

/// A session longer than this was not issued by any entry.
const MAX_SESSION_BYTES: usize = 1024;
/// A caller that waits longer is treated as one that waits this long: one day.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

/// Removes what must not be passed on: `Connection`, what it names, and the other hop-by-hop
/// fields.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Removes the headers that only the system's own answers may carry.
///
/// A target that hands on an answer of another service would otherwise tell its caller a verdict
/// on a different request.
pub(crate) fn strip_system_headers(headers: &mut HeaderMap) {
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

/// What a caller asks of the system itself, beside the request to the target.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ControlHeaders {
    /// The session, as text; its issuer checks it.
    pub session: Option<String>,
    /// The operation's key.
    pub key: Option<IdempotencyKey>,
    /// How long the caller waits, counted from the request's arrival.
    pub deadline: Option<Duration>,
    /// Who calls.
    pub caller: Option<CallerName>,
}

impl ControlHeaders {
    /// Reads the control headers and removes those that a target has no use for.
    pub(crate) fn take(headers: &mut HeaderMap) -> Result<Self, Rejection> {
        let session = single(headers, &SESSION_HEADER)?.map(session).transpose()?;
        let key = single(headers, &KEY_HEADER)?.map(key).transpose()?;
        let deadline = single(headers, &DEADLINE_HEADER)?.map(deadline).transpose()?;
        let caller = single(headers, &CALLER_HEADER)?.map(caller).transpose()?;
        headers.remove(SESSION_HEADER);
        headers.remove(DEADLINE_HEADER);
        Ok(Self { session, key, deadline, caller })
    }
}

/// Two different values of one control header would leave open which one was meant.
fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Rejection> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Rejection::bad_header(name, "it occurs more than once"));
    }
    value.to_str().map(Some).map_err(|_| Rejection::bad_header(name, "it is not visible ASCII"))
}

fn session(text: &str) -> Result<String, Rejection> {
    let fits = !text.is_empty() && text.len() <= MAX_SESSION_BYTES;
    if !fits {
        return Err(Rejection::bad_header(&SESSION_HEADER, "expected 1 to 1024 characters"));
    }
    Ok(text.to_owned())
}

fn key(text: &str) -> Result<IdempotencyKey, Rejection> {
    text.parse().map_err(|error| Rejection::bad_header(&KEY_HEADER, &format!("{error}")))
}

fn caller(text: &str) -> Result<CallerName, Rejection> {
    text.parse().map_err(|error| Rejection::bad_header(&CALLER_HEADER, &format!("{error}")))
}

fn deadline(text: &str) -> Result<Duration, Rejection> {
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !digits {
        return Err(Rejection::bad_header(&DEADLINE_HEADER, "expected a whole number"));
    }
    let wait_ms = text.parse().unwrap_or(u64::MAX);
    Ok(Duration::from_millis(wait_ms).min(MAX_DEADLINE))
}

/// Whole milliseconds, rounded down so that a hop never promises time that is not there.
pub(crate) fn deadline_value(remaining: Duration) -> HeaderValue {
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    HeaderValue::from(remaining_ms)
}
