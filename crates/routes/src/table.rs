//! A whole table of routes, checked when it is built.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use shallotfork_types::{Bytes, ParseError, ServiceName, Warmup};
use thiserror::Error;

use crate::route::{Route, RouteName};

/// Version of a table; later ones are greater, with gaps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableVersion(u64);

impl TableVersion {
    /// Wraps a version number.
    pub fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number.
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

/// What a table says of a service besides its targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Path at which a target tells its health.
    pub health_path: String,
    /// Connections that a target takes from all processes together.
    pub connections_max: u32,
    /// What its targets bear while they are cold; `None` if they have no such limit.
    pub warmup: Option<Warmup>,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request head.
    pub header_max: Bytes,
    /// The largest request body.
    pub body_max: Bytes,
    /// The longest time for a request's head to arrive.
    pub header_timeout: Duration,
    /// Time after which an unused connection may be closed.
    pub idle_timeout: Duration,
}

/// Why a table is refused as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TableError {
    /// Two routes have one name.
    #[error("route {0} occurs twice")]
    DuplicateName(RouteName),
    /// Two routes have one host and prefix, so that neither could be chosen over the other.
    #[error("routes {0} and {1} cover the same requests")]
    DuplicateMatch(RouteName, RouteName),
    /// A prefix does not start and end with a slash.
    #[error("route {0}: the prefix does not start and end with a slash")]
    InvalidPrefix(RouteName),
    /// A route names a service that the table does not have.
    #[error("route {0}: unknown service {1}")]
    UnknownService(RouteName, ServiceName),
    /// No part of the route's requests has a weight.
    #[error("route {0}: no service with a weight")]
    NoService(RouteName),
    /// The route allows no attempt at all.
    #[error("route {0}: no attempt is allowed")]
    NoAttempts(RouteName),
    /// The timeout is zero, so that no request could be answered.
    #[error("route {0}: the timeout is zero")]
    ZeroTimeout(RouteName),
}

/// Routes and services in force together. Built only by [`RouteTable::new`], so that each one is
/// consistent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTable {
    version: TableVersion,
    /// By host, longest prefix first, so that the first route that covers a request is the right
    /// one.
    routes: BTreeMap<String, Vec<Arc<Route>>>,
    services: BTreeMap<ServiceName, ServiceSpec>,
    limits: CallerLimits,
}

impl RouteTable {
    /// Checks and takes a table.
    ///
    /// # Errors
    /// Everything that is wrong with it.
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

    /// Its version.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// The route with the longest prefix among those that cover the request.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Every route, by host.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten().map(Arc::as_ref)
    }

    /// Every service.
    pub fn services(&self) -> &BTreeMap<ServiceName, ServiceSpec> {
        &self.services
    }

    /// What callers may send.
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
    let slashes = route.prefix.starts_with('/') && route.prefix.ends_with('/');
    let weight: u64 = route.services.iter().map(|part| u64::from(part.weight)).sum();
    let unknown = route.services.iter().filter(|part| !services.contains_key(&part.service));
    let mut errors: Vec<TableError> =
        unknown.map(|part| TableError::UnknownService(name(), part.service.clone())).collect();
    errors.extend((!slashes).then(|| TableError::InvalidPrefix(name())));
    errors.extend((weight == 0).then(|| TableError::NoService(name())));
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
