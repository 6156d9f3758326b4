//! Routes and the types of their fields.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use shallotfork_types::{ParseError, ServiceName};

/// Name of a route, unique within a table.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteName(String);

impl RouteName {
    /// Creates a name.
    ///
    /// # Errors
    /// Returns an error if the name is empty.
    pub fn new(text: &str) -> Result<Self, ParseError> {
        if text.is_empty() {
            return Err(ParseError::new("a route name", text));
        }
        Ok(Self(text.to_owned()))
    }

    /// Returns the name as text.
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
    /// Running the request repeatedly is harmless.
    Idempotent,
    /// The request runs at most once each time its caller sends it.
    AtMostOnce,
}

/// Expected size of the answers of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerSize {
    /// Answers that use little of a VM's memory and link.
    Ordinary,
    /// Answers of which a few at a time fill a VM's link.
    Large,
}

/// Priority of the requests of a route; 0 is the highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority(u32);

impl Priority {
    /// Creates a priority from its published rank.
    pub fn new(rank: u32) -> Self {
        Self(rank)
    }

    /// Returns the rank.
    pub fn rank(self) -> u32 {
        self.0
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A service of a route, with its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Share of the requests, relative to the sum of the route's weights.
    pub weight: u32,
}

/// Handling of the requests with one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route, unique within the table.
    pub name: RouteName,
    /// Requested host, in lower case and without a port.
    pub host: String,
    /// Path prefix, which starts and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub repeat_policy: RepeatPolicy,
    /// Expected size of the answers.
    pub answer_size: AnswerSize,
    /// Maximum time from the arrival of a request to its final answer.
    pub timeout: Duration,
    /// Time within which callers expect an answer.
    pub latency_objective: Duration,
    /// Priority among requests that compete for the same targets.
    pub priority: Priority,
    /// Maximum number of targets that one request may be sent to.
    pub attempts_max: u32,
    /// Services that handle the requests; never empty.
    pub services: Vec<WeightedService>,
}
