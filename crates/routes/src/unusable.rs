//! Published routes that can't be used.

use crate::route::Route;
use crate::route_error::RouteError;

/// A published route of which only the host and the prefix can be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnusableRoute {
    /// Name of the route, or its place in the configuration if it has no name.
    pub name: String,
    /// Requested host, in lower case and without a port.
    pub host: String,
    /// Path prefix as published.
    pub prefix: String,
    /// Why the route can't be used, for the log.
    pub reason: String,
}

impl UnusableRoute {
    pub(crate) fn from_errors(route: &Route, errors: &[RouteError]) -> Self {
        let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
        Self {
            name: route.name.to_string(),
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            reason: texts.join("; "),
        }
    }

    /// Whether requests with this path belong to the route. A prefix without the final slash covers
    /// what it would cover with it: `/open` covers `/open` and `/open/7`, but not `/opening`.
    pub fn covers(&self, path: &str) -> bool {
        let is_complete =
            |rest: &str| self.prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/');
        !self.prefix.is_empty() && path.strip_prefix(&self.prefix).is_some_and(is_complete)
    }
}
