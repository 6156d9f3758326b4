//! Elements of published items that are not used as published.

use std::fmt;

/// Maximum length of a name or reason, in characters. Both may contain published text of any length.
const TEXT_CHARS_MAX: usize = 200;

/// Kind of a published element.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ElementKind {
    /// A list of routes, services and limits as a whole.
    Configuration,
    /// A part of a configuration whose type can't be read.
    Resource,
    /// A route.
    Route,
    /// Kind of the requests of a route; the route itself is used.
    RouteKind,
    /// A service.
    Service,
    /// Warm-up settings of a service; the service itself is used.
    Warmup,
    /// Limits for callers.
    Limits,
    /// A target.
    Target,
    /// Remaining cold time of a target; the target itself is used.
    ColdTime,
    /// A request to evacuate a failure domain.
    Evacuation,
}

impl ElementKind {
    /// Returns the name of the kind in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Resource => "resource",
            Self::Route => "route",
            Self::RouteKind => "route_kind",
            Self::Service => "service",
            Self::Warmup => "warmup",
            Self::Limits => "limits",
            Self::Target => "target",
            Self::ColdTime => "cold_time",
            Self::Evacuation => "evacuation",
        }
    }
}

impl fmt::Display for ElementKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An element of a published item that is not used as published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IgnoredElement {
    kind: ElementKind,
    name: String,
    reason: String,
}

impl IgnoredElement {
    /// Creates the description of an element. Long texts are truncated.
    pub fn new(kind: ElementKind, name: &str, reason: &str) -> Self {
        Self { kind, name: truncate(name), reason: truncate(reason) }
    }

    /// Returns the kind of the element.
    pub fn kind(&self) -> ElementKind {
        self.kind
    }

    /// Returns why the element is not used as published.
    pub fn reason(&self) -> &str {
        &self.reason
    }
}

impl fmt::Display for IgnoredElement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.kind, self.name, self.reason)
    }
}

fn truncate(text: &str) -> String {
    match text.char_indices().nth(TEXT_CHARS_MAX) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}
