//! Published routes: which services handle a request, and within which limits.
//!
//! This crate performs no I/O and reads no clock. A [`RouteTable`] is validated when it is created,
//! [`TableInForce`] never reverts to an older one, and [`Splitter`] distributes the requests of a
//! route among its services.

mod in_force;
mod route;
mod splitter;
mod table;

pub use in_force::{OfferOutcome, TableInForce};
pub use route::{AnswerSize, Priority, RepeatPolicy, Route, RouteName, WeightedService};
pub use splitter::Splitter;
pub use table::{CallerLimits, RouteTable, ServiceSpec, TableError, TableVersion};
