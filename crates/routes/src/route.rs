//! One route and its parts.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use shallotfork_types::{ParseError, ServiceName};

/// Name of a route, unique within a table.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteName(String);

impl RouteName {
    /// Wraps a name.
    ///
    /// # Errors
    /// When the name is empty.
    pub fn new(text: &str) -> Result<Self, ParseError> {
        if text.is_empty() {
            return Err(ParseError::new("a name of a route", text));
        }
        Ok(Self(text.to_owned()))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RouteName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for RouteName {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        Self::new(text)
    }
}

/// Whether a request may run a second time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// Running it again does no harm.
    Idempotent,
    /// It runs at most once for each attempt of its caller.
    AtMostOnce,
}

/// How urgent the requests of a route are; 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority(u32);

impl Priority {
    /// Wraps a published rank.
    pub fn new(rank: u32) -> Self {
        Self(rank)
    }

    /// The rank.
    pub fn rank(self) -> u32 {
        self.0
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A service of a route, with its part of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its part, in relation to the sum of the route's weights.
    pub weight: u32,
}

/// Requests of one host and path prefix, and how they are served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name within the table.
    pub name: RouteName,
    /// Host that the request names, in lower case and without a port.
    pub host: String,
    /// Beginning of the path; starts and ends with a slash.
    pub prefix: String,
    /// Whether a request may run twice.
    pub repeat_policy: RepeatPolicy,
    /// Longest time from a request's arrival to its final answer.
    pub timeout: Duration,
    /// Time within which an answer is worth most to its caller.
    pub latency_objective: Duration,
    /// Rank among requests that compete for the same targets.
    pub priority: Priority,
    /// Targets that one request may be sent to at most.
    pub attempts_max: u32,
    /// Where its requests go; never empty.
    pub services: Vec<WeightedService>,
}
