//! What targets state about themselves in their answers, and which requests that keeps from them.

mod leaving;
mod rests;
mod target_run;

pub use leaving::{LeavingReport, LeavingTargets};
pub use rests::Rests;
pub use target_run::TargetRun;
