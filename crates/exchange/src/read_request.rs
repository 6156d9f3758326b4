//! Takes a caller's request in, whole.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http::header::{CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Uri};
use shallotfork_types::{Bytes as Size, ServiceName};

use crate::body_budget::BodyBudget;
use crate::digest::{DigestCheck, check_digest};
use crate::discard::{DiscardLimits, discard};
use crate::gather::{Gather, GatherError};
use crate::headers::{ControlHeaders, strip_hop_by_hop};
use crate::refusal::Rejection;

const ROOT: &str = "/";

/// What one caller's body may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// The largest body, in bytes.
    pub body_max: Size,
    /// The longest time between the end of the headers and the end of the body.
    pub body_timeout: Duration,
}

/// A caller's request with its complete body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedRequest {
    /// The method.
    pub method: Method,
    /// Path and query as asked.
    pub path_and_query: PathAndQuery,
    /// The service, from `Host` or `:authority`.
    pub service: ServiceName,
    /// All headers but the hop-by-hop ones and those meant for the system alone.
    pub headers: HeaderMap,
    /// What the caller asks of the system itself.
    pub control: ControlHeaders,
    /// The body, decoded from its chunks.
    pub body: Bytes,
}

/// Reads `request` to its end, within `limits` and what `budget` has left.
///
/// # Errors
/// The refusal to answer with, when the request is malformed, too large, too slow or incomplete.
/// No target has seen any of it then.
pub async fn read_request(
    request: poem::Request,
    limits: &BodyLimits,
    budget: &BodyBudget,
) -> Result<BufferedRequest, Rejection> {
    let (parts, body) = request.into_parts();
    let mut pieces = Box::pin(body.into_bytes_stream());
    // Reading the body would tell a caller who waits for 100 Continue to send it.
    let waits = parts.headers.contains_key(EXPECT);
    let read = read_parts(parts, &mut pieces, limits, budget).await;
    let has_ended =
        matches!(read, Ok(_) | Err(Rejection::BodyTimeout { .. } | Rejection::BodyIncomplete));
    if !has_ended && !waits {
        let size_max_bytes = limits.body_max.value();
        let limits = DiscardLimits { size_max_bytes, timeout: limits.body_timeout };
        discard(pieces, limits, budget.discards());
    }
    read
}

async fn read_parts(
    parts: poem::RequestParts,
    pieces: &mut (impl Stream<Item = io::Result<Bytes>> + Unpin),
    limits: &BodyLimits,
    budget: &BodyBudget,
) -> Result<BufferedRequest, Rejection> {
    let mut headers = parts.headers;
    check_method(&parts.method)?;
    check_framing(&headers, limits)?;
    let service = service_of(&parts.uri, &headers)?;
    set_host(&parts.uri, &mut headers)?;
    let control = ControlHeaders::take(&mut headers)?;
    let gathering = gather(pieces, limits, budget);
    let body = tokio::time::timeout(limits.body_timeout, gathering)
        .await
        .map_err(|_| Rejection::BodyTimeout { limit: limits.body_timeout })??;
    check_body(&headers, &body)?;
    strip_hop_by_hop(&mut headers);
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
    let path_and_query = parts.uri.into_parts().path_and_query;
    Ok(BufferedRequest {
        method: parts.method,
        path_and_query: path_and_query.unwrap_or(PathAndQuery::from_static(ROOT)),
        service,
        headers,
        control,
        body,
    })
}

fn check_method(method: &Method) -> Result<(), Rejection> {
    if method == Method::CONNECT {
        return Err(Rejection::BadMethod { method: method.to_string() });
    }
    Ok(())
}

/// Refuses a message with two lengths (RFC 9112, 6.1), by which a request can be hidden inside
/// another one: the next hop might go by the other length.
fn check_framing(headers: &HeaderMap, limits: &BodyLimits) -> Result<(), Rejection> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else {
        return Ok(());
    };
    if headers.contains_key(TRANSFER_ENCODING) || lengths.next().is_some() {
        return Err(Rejection::bad_header(&CONTENT_LENGTH, "the body's length is given twice"));
    }
    let declared: Option<u64> = length.to_str().ok().and_then(|text| text.parse().ok());
    let Some(declared) = declared else {
        return Err(Rejection::bad_header(&CONTENT_LENGTH, "expected a whole number"));
    };
    if declared > limits.body_max.value() {
        return Err(Rejection::BodyTooLarge { limit: limits.body_max });
    }
    Ok(())
}

/// RFC 9112, 3.2.2: the authority of an absolute request target goes before `Host`.
fn service_of(uri: &Uri, headers: &HeaderMap) -> Result<ServiceName, Rejection> {
    if let Some(authority) = uri.authority() {
        return service_named(authority.host());
    }
    let mut hosts = headers.get_all(HOST).iter();
    let Some(host) = hosts.next() else {
        return Err(Rejection::BadHost { reason: "no Host header".to_owned() });
    };
    if hosts.next().is_some() {
        return Err(Rejection::BadHost { reason: "more than one Host header".to_owned() });
    }
    let text = host.to_str().unwrap_or_default();
    let name = text.rsplit_once(':').map_or(text, |(name, _port)| name);
    service_named(name)
}

/// HTTP/2 sends no `Host`, and an absolute request target overrides it; the target is told the
/// host that the caller meant.
fn set_host(uri: &Uri, headers: &mut HeaderMap) -> Result<(), Rejection> {
    let Some(authority) = uri.authority() else {
        return Ok(());
    };
    let host = match authority.port() {
        Some(port) => format!("{}:{port}", authority.host()),
        None => authority.host().to_owned(),
    };
    let value = HeaderValue::try_from(host)
        .map_err(|_| Rejection::BadHost { reason: "it is not visible ASCII".to_owned() })?;
    headers.insert(HOST, value);
    Ok(())
}

fn service_named(name: &str) -> Result<ServiceName, Rejection> {
    name.parse().map_err(|error| Rejection::BadHost { reason: format!("{error}") })
}

async fn gather(
    pieces: &mut (impl Stream<Item = io::Result<Bytes>> + Unpin),
    limits: &BodyLimits,
    budget: &BodyBudget,
) -> Result<Bytes, Rejection> {
    let mut gather = Gather::new(limits.body_max.value(), budget.permit());
    while let Some(piece) = pieces.next().await {
        let piece = piece.map_err(|_| Rejection::BodyIncomplete)?;
        gather.push(piece).map_err(|error| match error {
            GatherError::TooLarge => Rejection::BodyTooLarge { limit: limits.body_max },
            GatherError::BudgetFull => Rejection::BudgetFull,
        })?;
    }
    Ok(gather.finish())
}

fn check_body(headers: &HeaderMap, body: &Bytes) -> Result<(), Rejection> {
    match check_digest(headers, body) {
        DigestCheck::Absent | DigestCheck::Matches => Ok(()),
        DigestCheck::Differs => Err(Rejection::DigestMismatch),
        DigestCheck::Malformed => Err(Rejection::BadHeader {
            name: "content-digest".to_owned(),
            reason: "expected sha-256=:BASE64:".to_owned(),
        }),
    }
}
