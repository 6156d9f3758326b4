//! The callers' port: requests for the system itself, and requests to pass on.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Instant;

use http::Version;
use http::header::{CONNECTION, HOST, HeaderValue};
use poem::{Request, Response};
use shallotfork_exchange::{BodyLimits, read_whole};

use crate::context::Context;
use crate::traffic::counted::counted;
use crate::traffic::dispatch::dispatch;
use crate::traffic::entries::entries;
use crate::traffic::operation::{named_operation, refuse};

/// Answers one request of a caller.
///
/// A request whose `Host` is an IP address is for the system itself; any other host names a
/// service.
pub async fn front(context: Arc<Context>, request: Request) -> Response {
    let arrived = Instant::now();
    let _in_flight = context.in_flight.enter();
    let response = answer(&context, request).await;
    counted(&response, arrived);
    response
}

async fn answer(context: &Arc<Context>, request: Request) -> Response {
    if is_for_system(&request) {
        return entries(context, &request).await;
    }
    let limits = body_limits(context);
    let version = request.version();
    let operation = named_operation(request.headers());
    match read_whole(request, &limits, &context.body_budget).await {
        Ok(whole) => dispatch(context, whole).await,
        Err(refusal) => {
            with_close(refuse(context, operation, refusal.problem()).await.into_response(), version)
        }
    }
}

/// Ends a connection whose request was not taken in, so that hundreds of refused uploads do not
/// keep their read buffers; HTTP/2 has no such header.
fn with_close(mut response: Response, version: Version) -> Response {
    if version < Version::HTTP_2 {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn is_for_system(request: &Request) -> bool {
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
