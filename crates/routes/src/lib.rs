//! Published routes: which services handle a request, and within which limits.
//!
//! This crate performs no I/O and reads no clock. A [`RouteTable`] is validated when it is created,
//! [`Configuration`] tells which table is in force and whether a newer one is not, [`TableInForce`]
//! never reverts to an older one, and [`Splitter`] distributes the requests of a route among its
//! services.

mod configuration;
mod in_force;
mod route;
mod route_error;
mod splitter;
mod table;
mod unusable;

pub use configuration::{Configuration, ConfigurationStatus, NotInForce, NotInForceCause};
pub use in_force::{OfferOutcome, TableInForce};
pub use route::{AnswerSize, Priority, RepeatPolicy, Route, RouteName, WeightedService};
pub use route_error::RouteError;
pub use splitter::Splitter;
pub use table::{CallerLimits, RouteLookup, RouteTable, ServiceSpec, TableVersion};
pub use unusable::UnusableRoute;
