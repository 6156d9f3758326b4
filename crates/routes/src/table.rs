//! Route tables, which are validated when they are created.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use shallotfork_types::{Bytes, ParseError, ServiceName, Warmup};

use crate::route::Route;
use crate::route_error::{DeclaredRoutes, RouteError};
use crate::unusable::UnusableRoute;

/// Maximum size of a request head while no limits are known.
const DEFAULT_HEADER_MAX: Bytes = Bytes::from_kib(64);
/// Maximum size of a body while no limits are known.
const DEFAULT_BODY_MAX: Bytes = Bytes::from_mib(8);
/// Timeout for receiving a request head while no limits are known.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which an idle connection may be closed while no limits are known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Version of a route table. Versions increase, possibly with gaps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableVersion(u64);

impl TableVersion {
    /// Creates a version from its number.
    pub fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for TableVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for TableVersion {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        text.parse().map(Self).map_err(|_| ParseError::new("a version number", text))
    }
}

/// Specification of a service, without its targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Path for health probes of the targets.
    pub health_path: String,
    /// Maximum number of connections to one target from all processes together.
    pub connections_max: u32,
    /// Limit on requests to cold targets; `None` if there is none.
    pub warmup: Option<Warmup>,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub header_max: Bytes,
    /// Maximum size of a request body.
    pub body_max: Bytes,
    /// Timeout for receiving a request head.
    pub header_timeout: Duration,
    /// Time after which an idle connection may be closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_max: DEFAULT_HEADER_MAX,
            body_max: DEFAULT_BODY_MAX,
            header_timeout: DEFAULT_HEADER_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }
}

/// Result of a search for the route of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteLookup<'a> {
    /// The route that handles the request.
    Usable(&'a Arc<Route>),
    /// The request belongs to a route that can't be used, so no other route may handle it.
    Unusable(&'a UnusableRoute),
    /// No route covers the request.
    NotFound,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum TableRoute {
    Usable(Arc<Route>),
    Unusable(UnusableRoute),
}

impl TableRoute {
    fn host(&self) -> &str {
        match self {
            Self::Usable(route) => &route.host,
            Self::Unusable(route) => &route.host,
        }
    }

    fn prefix(&self) -> &str {
        match self {
            Self::Usable(route) => &route.prefix,
            Self::Unusable(route) => &route.prefix,
        }
    }
}

/// Routes and services of one version.
///
/// A usable route in a table is always valid, and both its name and its host and prefix are unique.
/// Routes for which that does not hold are unusable: the table keeps their hosts and prefixes, so that
/// requests to them are neither answered as unknown nor handled by a route with a shorter prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTable {
    version: TableVersion,
    /// Routes by host. Those with longer prefixes come first, so that the first match is the most
    /// specific one.
    routes: BTreeMap<String, Vec<TableRoute>>,
    services: BTreeMap<ServiceName, ServiceSpec>,
    /// `None` if no valid limits are published with the table.
    limits: Option<CallerLimits>,
}

impl RouteTable {
    /// Creates a table without routes, services and limits.
    pub fn new(version: TableVersion) -> Self {
        Self { version, routes: BTreeMap::new(), services: BTreeMap::new(), limits: None }
    }

    /// Replaces the services.
    #[must_use]
    pub fn with_services(self, services: BTreeMap<ServiceName, ServiceSpec>) -> Self {
        Self { services, ..self }
    }

    /// Replaces the limits for callers.
    #[must_use]
    pub fn with_limits(self, limits: CallerLimits) -> Self {
        Self { limits: Some(limits), ..self }
    }

    /// Replaces the routes, which refer to the services of the table. A route of `routes` that is not
    /// valid, or that has the same host and prefix as any other one, becomes unusable.
    #[must_use]
    pub fn with_routes(self, routes: Vec<Route>, unusable: Vec<UnusableRoute>) -> Self {
        let errors: Vec<Vec<RouteError>> = {
            let declared = DeclaredRoutes::new(&routes, &unusable);
            routes.iter().map(|route| declared.check(route, &self.services)).collect()
        };
        let checked = routes.into_iter().zip(errors).map(|(route, errors)| {
            if errors.is_empty() {
                TableRoute::Usable(Arc::new(route))
            } else {
                TableRoute::Unusable(UnusableRoute::from_errors(&route, &errors))
            }
        });
        let unusable = unusable.into_iter().map(TableRoute::Unusable);
        Self { routes: by_host(checked.chain(unusable)), ..self }
    }

    /// Returns the version of the table.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// Returns the route with the longest prefix that matches the request.
    pub fn find(&self, host: &str, path: &str) -> RouteLookup<'_> {
        let routes = self.routes.get(host).map(Vec::as_slice).unwrap_or_default();
        let found = routes.iter().find(|route| match route {
            TableRoute::Usable(route) => path.starts_with(&route.prefix),
            TableRoute::Unusable(route) => route.covers(path),
        });
        match found {
            Some(TableRoute::Usable(route)) => RouteLookup::Usable(route),
            Some(TableRoute::Unusable(route)) => RouteLookup::Unusable(route),
            None => RouteLookup::NotFound,
        }
    }

    /// Returns the usable routes, grouped by host.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten().filter_map(|route| match route {
            TableRoute::Usable(route) => Some(route.as_ref()),
            TableRoute::Unusable(_) => None,
        })
    }

    /// Returns the unusable routes, grouped by host.
    pub fn unusable_routes(&self) -> impl Iterator<Item = &UnusableRoute> {
        self.routes.values().flatten().filter_map(|route| match route {
            TableRoute::Usable(_) => None,
            TableRoute::Unusable(route) => Some(route),
        })
    }

    /// Returns all services.
    pub fn services(&self) -> &BTreeMap<ServiceName, ServiceSpec> {
        &self.services
    }

    /// Returns the limits for callers; the defaults if none are known.
    pub fn limits(&self) -> CallerLimits {
        self.limits.unwrap_or_default()
    }

    /// Adopts the limits of an earlier table if none are published with this one.
    pub(crate) fn inherit_limits(&mut self, earlier: &Self) {
        self.limits = self.limits.or(earlier.limits);
    }
}

fn by_host(routes: impl Iterator<Item = TableRoute>) -> BTreeMap<String, Vec<TableRoute>> {
    let mut by_host: BTreeMap<String, Vec<TableRoute>> = BTreeMap::new();
    for route in routes {
        by_host.entry(route.host().to_owned()).or_default().push(route);
    }
    for routes in by_host.values_mut() {
        // The order of routes with prefixes of one length does not depend on that of their publication,
        // so that equal tables compare as equal.
        routes.sort_by(|one, other| {
            let (one, other) = (one.prefix(), other.prefix());
            other.len().cmp(&one.len()).then_with(|| one.cmp(other))
        });
    }
    by_host
}
