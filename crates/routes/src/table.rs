//! Route tables, which are validated when they are created.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use shallotfork_types::{Bytes, ParseError, ServiceName, Warmup};
use thiserror::Error;

use crate::route::{Route, RouteName};

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

/// Reason for rejecting a whole table.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TableError {
    /// Two routes have the same name.
    #[error("route {0} occurs twice")]
    DuplicateName(RouteName),
    /// Two routes have the same host and prefix, so that the choice between them would be
    /// ambiguous.
    #[error("routes {0} and {1} cover the same requests")]
    DuplicateMatch(RouteName, RouteName),
    /// The prefix of a route does not start and end with a slash.
    #[error("route {0}: the prefix does not start and end with a slash")]
    InvalidPrefix(RouteName),
    /// A route refers to a service that is not in the table.
    #[error("route {0}: unknown service {1}")]
    UnknownService(RouteName, ServiceName),
    /// No service of a route has a weight above zero.
    #[error("route {0}: no service with a weight")]
    NoService(RouteName),
    /// A route allows no attempts.
    #[error("route {0}: no attempt is allowed")]
    NoAttempts(RouteName),
    /// The timeout of a route is zero, so that no request could be answered.
    #[error("route {0}: the timeout is zero")]
    ZeroTimeout(RouteName),
}

/// Routes and services of one version. Every table is consistent, because it can only be created by
/// [`RouteTable::new`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTable {
    version: TableVersion,
    /// Routes by host. Those with longer prefixes come first, so that the first match is the most
    /// specific one.
    routes: BTreeMap<String, Vec<Arc<Route>>>,
    services: BTreeMap<ServiceName, ServiceSpec>,
    limits: CallerLimits,
}

impl RouteTable {
    /// Creates a table from routes, services and limits, and validates them.
    ///
    /// # Errors
    /// Returns all errors in the table.
    pub fn new(
        version: TableVersion,
        routes: Vec<Route>,
        services: BTreeMap<ServiceName, ServiceSpec>,
        limits: CallerLimits,
    ) -> Result<Self, Vec<TableError>> {
        let mut errors: Vec<TableError> =
            routes.iter().flat_map(|route| check_route(route, &services)).collect();
        errors.extend(check_unique(&routes));
        if !errors.is_empty() {
            return Err(errors);
        }
        Ok(Self { version, routes: by_host(routes), services, limits })
    }

    /// Returns the version of the table.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// Returns the route with the longest prefix that matches the request.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns all routes, grouped by host.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten().map(Arc::as_ref)
    }

    /// Returns all services.
    pub fn services(&self) -> &BTreeMap<ServiceName, ServiceSpec> {
        &self.services
    }

    /// Returns the limits for callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}

fn by_host(routes: Vec<Route>) -> BTreeMap<String, Vec<Arc<Route>>> {
    let mut by_host: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
    for route in routes {
        by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
    }
    for routes in by_host.values_mut() {
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }
    by_host
}

fn check_route(
    route: &Route,
    services: &BTreeMap<ServiceName, ServiceSpec>,
) -> impl Iterator<Item = TableError> {
    let name = || route.name.clone();
    let has_slashes = route.prefix.starts_with('/') && route.prefix.ends_with('/');
    let total_weight: u64 = route.services.iter().map(|weighted| u64::from(weighted.weight)).sum();
    let unknown =
        route.services.iter().filter(|weighted| !services.contains_key(&weighted.service));
    let mut errors: Vec<TableError> = unknown
        .map(|weighted| TableError::UnknownService(name(), weighted.service.clone()))
        .collect();
    errors.extend((!has_slashes).then(|| TableError::InvalidPrefix(name())));
    errors.extend((total_weight == 0).then(|| TableError::NoService(name())));
    errors.extend((route.attempts_max == 0).then(|| TableError::NoAttempts(name())));
    errors.extend(route.timeout.is_zero().then(|| TableError::ZeroTimeout(name())));
    errors.into_iter()
}

fn check_unique(routes: &[Route]) -> Vec<TableError> {
    let mut names = BTreeSet::new();
    let mut matches: BTreeMap<(&str, &str), &RouteName> = BTreeMap::new();
    let mut errors = Vec::new();
    for route in routes {
        if !names.insert(&route.name) {
            errors.push(TableError::DuplicateName(route.name.clone()));
        }
        if let Some(other) = matches.insert((&route.host, &route.prefix), &route.name) {
            errors.push(TableError::DuplicateMatch(other.clone(), route.name.clone()));
        }
    }
    errors
}
