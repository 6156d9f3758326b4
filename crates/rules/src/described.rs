//! What rules are matched against.

use jiff::Timestamp;
use shallotfork_types::{CallerName, Permille, ServiceName};

/// A request as the rules see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestContext {
    /// Who sends it, if the request says so.
    pub caller: Option<CallerName>,
    /// The service that it asks for.
    pub service: ServiceName,
    /// Wall-clock time of the decision.
    pub at: Timestamp,
    /// Share of the service's slots in use; `None` when no target's load is known.
    pub load: Option<Permille>,
}
