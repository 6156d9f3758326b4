//! Input of a rule decision.

use jiff::Timestamp;
use shallotfork_types::{CallerName, Permille, ServiceName};

/// The properties of a request, and of its service, that rules are matched against.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestContext {
    /// Caller name, if the request states one.
    pub caller: Option<CallerName>,
    /// The requested service.
    pub service: ServiceName,
    /// Wall-clock time of the decision.
    pub at: Timestamp,
    /// Share of the service's slots in use; `None` if no target's load is known.
    pub load: Option<Permille>,
}
