//! What targets state about themselves in their answers, or show by answers without end, and which
//! requests that keeps from them.

mod faulty;
mod leaving;
mod rests;
mod target_run;

pub use faulty::{ExclusionReport, FaultyTargets};
pub use leaving::{LeavingReport, LeavingTargets};
pub use rests::Rests;
pub use target_run::TargetRun;
