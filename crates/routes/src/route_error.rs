//! Validation of routes.

use std::collections::BTreeMap;

use shallotfork_types::ServiceName;
use thiserror::Error;

use crate::route::{Route, RouteName};
use crate::table::ServiceSpec;
use crate::unusable::UnusableRoute;

/// Reason why a route can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RouteError {
    /// Another route has the same name.
    #[error("another route has the same name")]
    DuplicateName,
    /// Another route has the same host and prefix, so that the choice between them would be
    /// ambiguous.
    #[error("another route has the same host and prefix")]
    DuplicateMatch,
    /// The prefix does not start and end with a slash.
    #[error("the prefix does not start and end with a slash")]
    InvalidPrefix,
    /// The route refers to a service that is not in the table.
    #[error("service {0} is unknown or not valid")]
    UnknownService(ServiceName),
    /// No service of the route has a weight above zero.
    #[error("no service has a weight")]
    NoService,
    /// The route allows no attempts.
    #[error("no attempt is allowed")]
    NoAttempts,
    /// The timeout is zero, so that no request could be answered.
    #[error("the timeout is zero")]
    ZeroTimeout,
}

/// How often names, and pairs of host and prefix, occur in a table.
///
/// Names have to be unique among the usable routes only, because they identify the state that is kept
/// for a route, and none is kept for an unusable one.
pub(crate) struct DeclaredRoutes<'a> {
    names: BTreeMap<&'a RouteName, usize>,
    matches: BTreeMap<(&'a str, &'a str), usize>,
}

impl<'a> DeclaredRoutes<'a> {
    pub(crate) fn new(routes: &'a [Route], unusable: &'a [UnusableRoute]) -> Self {
        let mut names = BTreeMap::new();
        for route in routes {
            *names.entry(&route.name).or_default() += 1;
        }
        let mut matches = BTreeMap::new();
        let usable = routes.iter().map(|route| (route.host.as_str(), route.prefix.as_str()));
        let unusable = unusable.iter().map(|route| (route.host.as_str(), route.prefix.as_str()));
        for host_and_prefix in usable.chain(unusable) {
            *matches.entry(host_and_prefix).or_default() += 1;
        }
        Self { names, matches }
    }

    /// Returns all errors of one of the routes.
    pub(crate) fn check(
        &self,
        route: &Route,
        services: &BTreeMap<ServiceName, ServiceSpec>,
    ) -> Vec<RouteError> {
        let has_slashes = route.prefix.starts_with('/') && route.prefix.ends_with('/');
        let total_weight: u64 =
            route.services.iter().map(|weighted| u64::from(weighted.weight)).sum();
        let is_repeated = |count: Option<&usize>| count.is_some_and(|count| *count > 1);
        let host_and_prefix = (route.host.as_str(), route.prefix.as_str());
        let unknown =
            route.services.iter().filter(|weighted| !services.contains_key(&weighted.service));
        let mut errors: Vec<RouteError> =
            unknown.map(|weighted| RouteError::UnknownService(weighted.service.clone())).collect();
        let further = [
            (!has_slashes, RouteError::InvalidPrefix),
            (total_weight == 0, RouteError::NoService),
            (route.attempts_max == 0, RouteError::NoAttempts),
            (route.timeout.is_zero(), RouteError::ZeroTimeout),
            (is_repeated(self.names.get(&route.name)), RouteError::DuplicateName),
            (is_repeated(self.matches.get(&host_and_prefix)), RouteError::DuplicateMatch),
        ];
        errors.extend(further.into_iter().filter_map(|(applies, error)| applies.then_some(error)));
        errors
    }
}
