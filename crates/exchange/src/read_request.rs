//! Reads complete requests of callers.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http::header::{CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Uri, Version};
use shallotfork_types::{Bytes as Size, ServiceName};

use crate::activity::ReceivingGuard;
use crate::body_budget::BodyBudget;
use crate::caller_connection::CallerConnection;
use crate::digest::{DigestCheck, check_digest};
use crate::discard::{DiscardLimits, discard};
use crate::headers::{ControlHeaders, strip_hop_by_hop};
use crate::rejection::Rejection;
use crate::request_body::{RequestBody, RequestBodyError};

const ROOT: &str = "/";

/// Limits for the body of a single request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// The maximum size of the body.
    pub body_max: Size,
    /// The timeout for receiving the body, starting at the end of the headers.
    pub body_timeout: Duration,
}

/// A caller's request with its complete body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and query as requested.
    pub path_and_query: PathAndQuery,
    /// The service named by `Host` or `:authority`.
    pub service: ServiceName,
    /// All headers except hop-by-hop headers and those addressed to the entry alone.
    pub headers: HeaderMap,
    /// The control headers, which are addressed to the entry.
    pub control: ControlHeaders,
    /// The body, without the chunked transfer encoding.
    pub body: Bytes,
}

/// Reads `request` to its end, within `limits` and the rest of `budget`.
///
/// # Errors
/// The rejection to answer with, if the request is malformed, too large, too slow or incomplete.
/// No part of it has been sent to a target then.
pub async fn read_request(
    request: poem::Request,
    limits: &BodyLimits,
    budget: &BodyBudget,
) -> Result<BufferedRequest, Rejection> {
    let (parts, body) = request.into_parts();
    let mut chunks = Box::pin(body.into_bytes_stream());
    // Reading the body would send 100 Continue, which asks a waiting caller to send it.
    let expects_continue = parts.headers.contains_key(EXPECT);
    let read = read_parts(parts, &mut chunks, limits, budget).await;
    let is_rest_expected = match &read {
        Ok(_) => false,
        Err(rejection) => !matches!(
            rejection,
            Rejection::BodyTimeout { .. } | Rejection::BodyIncomplete | Rejection::BodyStalled
        ),
    };
    if is_rest_expected && !expects_continue {
        let size_max_bytes = limits.body_max.value();
        let limits = DiscardLimits { size_max_bytes, timeout: limits.body_timeout };
        discard(chunks, limits);
    }
    read
}

async fn read_parts(
    parts: poem::RequestParts,
    chunks: &mut (impl Stream<Item = io::Result<Bytes>> + Unpin),
    limits: &BodyLimits,
    budget: &BodyBudget,
) -> Result<BufferedRequest, Rejection> {
    let mut headers = parts.headers;
    check_method(&parts.method)?;
    let declared_bytes = declared_length(&headers, limits)?;
    let service = service_of(&parts.uri, &headers)?;
    set_host(&parts.uri, &mut headers)?;
    let control = ControlHeaders::take(&mut headers)?;
    if budget.is_full() && !budget.wait_for_room().await {
        // The answer to any request, even one without a body, would need more of the budget.
        return Err(Rejection::BudgetFull);
    }
    // HTTP/2 declares no length for some bodies.
    let has_body = declared_bytes > 0
        || headers.contains_key(TRANSFER_ENCODING)
        || parts.version >= Version::HTTP_2;
    let body = if has_body {
        let caller = parts.extensions.get::<CallerConnection>();
        let receiving = caller.and_then(CallerConnection::receive_body);
        read_body(chunks, limits, budget, (declared_bytes, receiving)).await?
    } else {
        Bytes::new()
    };
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

/// Returns the declared length of the body; 0 if none is declared.
///
/// Rejects a message with two lengths (RFC 9112, 6.1). They allow request smuggling, since the next
/// hop might use the other length.
fn declared_length(headers: &HeaderMap, limits: &BodyLimits) -> Result<u64, Rejection> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else {
        return Ok(0);
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
    Ok(declared)
}

/// Returns the service that a request names. The authority of an absolute request target takes
/// precedence over `Host` (RFC 9112, 3.2.2).
fn service_of(uri: &Uri, headers: &HeaderMap) -> Result<ServiceName, Rejection> {
    if let Some(authority) = uri.authority() {
        return parse_service(authority.host());
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
    parse_service(name)
}

/// Sets `Host` from the URI's authority, so that the target receives the host that the caller
/// meant. HTTP/2 sends no `Host`, and an absolute request target overrides it.
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

fn parse_service(name: &str) -> Result<ServiceName, Rejection> {
    name.parse().map_err(|error| Rejection::BadHost { reason: format!("{error}") })
}

/// Reads a body, until it has to give way to others.
async fn read_body(
    chunks: &mut (impl Stream<Item = io::Result<Bytes>> + Unpin),
    limits: &BodyLimits,
    budget: &BodyBudget,
    (declared_bytes, receiving): (u64, Option<ReceivingGuard>),
) -> Result<Bytes, Rejection> {
    let registration = budget.incoming().start();
    let give_way = registration.give_way();
    let rejection = |error| match error {
        RequestBodyError::TooLarge => Rejection::BodyTooLarge { limit: limits.body_max },
        RequestBodyError::BudgetFull => Rejection::BudgetFull,
    };
    let reading = async {
        let limit_bytes = limits.body_max.value();
        let body = RequestBody::new(budget, registration, limit_bytes, declared_bytes).await;
        let mut body = body.map_err(rejection)?;
        while let Some(chunk) = chunks.next().await {
            let chunk = chunk.map_err(|_| Rejection::BodyIncomplete)?;
            if let Some(receiving) = &receiving {
                receiving.record_received(chunk.len() as u64);
            }
            body.push(&chunk).await.map_err(rejection)?;
        }
        Ok(body.finish())
    };
    tokio::select! {
        biased;
        () = give_way.cancelled() => Err(Rejection::BodyStalled),
        read = tokio::time::timeout(limits.body_timeout, reading) => {
            read.map_err(|_| Rejection::BodyTimeout { limit: limits.body_timeout })?
        }
    }
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
