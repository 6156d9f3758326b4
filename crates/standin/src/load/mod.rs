//! Open-loop load generator for benchmarks: requests arrive at a fixed rate regardless of the
//! outcome of earlier requests, and one seed gives every measured system the same arrivals.

mod arrivals;
mod central_queue;
mod open_loop;
mod outcome;
mod plot;
mod scenario;
mod table;

pub use arrivals::{Arrival, arrivals};
pub use central_queue::central_queue;
pub use open_loop::open_loop;
pub use outcome::{Measured, SystemCost};
pub use plot::plot;
pub use scenario::{Fault, FaultKind, Scenario, ServiceLoad};
pub use table::{Row, table};
