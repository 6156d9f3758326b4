//! The callers' port: requests for the system itself, and requests to forward to targets.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Instant;

use http::Version;
use http::header::{CONNECTION, HOST, HeaderValue};
use poem::{Request, Response};
use shallotfork_exchange::{BodyLimits, read_request};

use crate::context::Context;
use crate::traffic::answer_metrics::record_answer;
use crate::traffic::dispatch::dispatch;
use crate::traffic::entries::handle_entries;
use crate::traffic::operation::{parse_operation_headers, reject};

/// Handles one request of a caller.
///
/// A request whose `Host` is an IP address is for the system itself; any other host is the name of
/// a service.
pub async fn handle_request(context: Arc<Context>, request: Request) -> Response {
    let received_at = Instant::now();
    let _in_flight = context.in_flight.enter();
    let response = route_request(&context, request).await;
    record_answer(&response, received_at);
    response
}

async fn route_request(context: &Arc<Context>, request: Request) -> Response {
    if is_system_request(&request) {
        return handle_entries(context, &request).await;
    }
    let limits = body_limits(context);
    let version = request.version();
    let operation = parse_operation_headers(request.headers());
    match read_request(request, &limits, &context.body_budget).await {
        Ok(buffered) => dispatch(context, buffered).await,
        Err(rejection) => with_connection_close(
            reject(context, operation, rejection.problem()).await.into_response(),
            version,
        ),
    }
}

/// Makes the caller close a connection whose request was not read completely, so that hundreds of
/// rejected uploads do not keep their read buffers. HTTP/2 has no such header.
fn with_connection_close(mut response: Response, version: Version) -> Response {
    if version < Version::HTTP_2 {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn is_system_request(request: &Request) -> bool {
    let authority = request.uri().authority().map(|authority| authority.as_str());
    let host = request.headers().get(HOST).and_then(|host| host.to_str().ok());
    authority.or(host).is_some_and(is_ip_address)
}

fn is_ip_address(host: &str) -> bool {
    host.parse::<SocketAddr>().is_ok() || host.parse::<IpAddr>().is_ok()
}

fn body_limits(context: &Context) -> BodyLimits {
    let callers = &context.settings.callers;
    BodyLimits { body_max: callers.body_max, body_timeout: callers.body_timeout }
}
