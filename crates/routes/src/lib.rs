//! Published routes: which service may serve a request, and under which limits.
//!
//! Pure decisions: nothing here does I/O or reads a clock. A [`RouteTable`] is checked once, when
//! it is built; [`TableInForce`] never goes back to an older one; [`Splitter`] divides the requests of
//! a route among its services.

mod in_force;
mod route;
mod splitter;
mod table;

pub use in_force::{OfferOutcome, TableInForce};
pub use route::{Priority, RepeatPolicy, Route, RouteName, WeightedService};
pub use splitter::Splitter;
pub use table::{CallerLimits, RouteTable, ServiceSpec, TableError, TableVersion};
