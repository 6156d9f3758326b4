//! Which targets a process reaches, by the evidence of its own attempts and probes.

mod evidence;

pub use evidence::{ReachEvidence, ReachSummary};
