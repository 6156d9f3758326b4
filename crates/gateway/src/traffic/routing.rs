//! Finds the routes of requests, and rejects requests without a usable one.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use shallotfork_events::{REQUEST_REJECTED, event};
use shallotfork_exchange::BufferedRequest;
use shallotfork_routes::{RouteLookup, TableVersion, UnusableRoute};

use crate::context::Context;
use crate::traffic::problem_responses::{no_route, not_run};
use crate::traffic::routed_request::RouteMatch;

/// Retry-after time of an entry that has no routes yet; about the time that it takes to read them.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry-after time for requests of an unusable route. An operator has to publish the route again, which
/// takes effect at all entries within 2 s.
const UNUSABLE_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Reason and outcome of requests of an unusable route, in log lines and metrics.
const UNUSABLE_ROUTE: &str = "unusable-route";

/// Reason why a request has no usable route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoutingFailure {
    /// No routes are known yet.
    Starting,
    /// No known route covers the request, but this entry is disconnected from the platform and may
    /// lack a new route. The caller may try another entry.
    PerhapsNew,
    /// No route covers the request.
    NoRoute,
    /// The request belongs to a route that can't be used.
    Unusable {
        /// The route.
        route: UnusableRoute,
        /// Version of the table that contains the route.
        version: TableVersion,
    },
}

/// Finds the route in force for a request, and the version of its table.
///
/// # Errors
/// Returns the reason if there is no usable route.
pub fn find_route(
    context: &Context,
    request: &BufferedRequest,
) -> Result<RouteMatch, RoutingFailure> {
    let published = context.published.load();
    let table = published.table.as_ref().ok_or(RoutingFailure::Starting)?;
    let version = table.version();
    let host = request.service.as_str().to_ascii_lowercase();
    match table.find(&host, request.path_and_query.path()) {
        RouteLookup::Usable(route) => Ok(RouteMatch { route: Arc::clone(route), version }),
        RouteLookup::Unusable(route) => {
            Err(RoutingFailure::Unusable { route: route.clone(), version })
        }
        RouteLookup::NotFound if published.platform_disconnected_at.is_some() => {
            Err(RoutingFailure::PerhapsNew)
        }
        RouteLookup::NotFound => Err(RoutingFailure::NoRoute),
    }
}

/// Logs that a request has no usable route, and returns the response to it. It has not run.
pub fn reject_unrouted(
    context: &Context,
    request_id: &str,
    failure: &RoutingFailure,
) -> poem::Response {
    match failure {
        RoutingFailure::Unusable { route, version } => {
            counter!("shallotfork_requests", "outcome" => UNUSABLE_ROUTE).increment(1);
            event!(context.log, REQUEST_REJECTED, "request" => request_id,
                "reason" => UNUSABLE_ROUTE, "route" => &route.name,
                "version" => version.number());
            not_run(UNUSABLE_RETRY_AFTER, "the published route of the request can't be used")
        }
        RoutingFailure::Starting => {
            log_rejected(context, request_id, failure);
            not_run(STARTING_RETRY_AFTER, "no routes are known yet")
        }
        RoutingFailure::PerhapsNew => {
            log_rejected(context, request_id, failure);
            not_run(STARTING_RETRY_AFTER, "the routes known here may be out of date")
        }
        RoutingFailure::NoRoute => {
            log_rejected(context, request_id, failure);
            no_route()
        }
    }
}

fn log_rejected(context: &Context, request_id: &str, failure: &RoutingFailure) {
    event!(context.log, REQUEST_REJECTED, "request" => request_id,
        "reason" => format!("{failure:?}"));
}
