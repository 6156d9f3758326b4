//! Stand-in for a target: a server with a few slots, a queue, configurable costs and injectable
//! faults.

mod answer;
mod config;
mod faults;
mod load;
mod records;
mod serve;
mod state;
mod work;

pub use config::{ServiceTime, TargetConfig};
pub use faults::{Noise, ReportFault, TargetFaults};
pub use load::{LOAD_HEADER, Load};
pub use records::{KeyRuns, MarkRuns, TargetRecords};
pub use serve::{RunningTarget, serve_target};
pub use work::{
    MARK_HEADER, SERVICE_US_HEADER, SIZE_HEADER, STATUS_HEADER, TARGET_HEADER, WorkAnswer,
};
