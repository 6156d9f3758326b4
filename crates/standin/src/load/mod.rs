//! Open-loop load for measurements: arrivals at a set rate whatever becomes of earlier requests,
//! the same for every system measured with one seed.

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
