//! What a test makes a target do wrong.

use serde::{Deserialize, Serialize};

use crate::net::ConnectionFaults;

/// A neighbour on the same host that takes the processor away in turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Noise {
    /// Length of each quiet and of each noisy turn.
    pub turn_ms: u64,
    /// Service time during a noisy turn, in thousandths of the usual.
    pub slowdown_permille: u64,
}

/// How load reports mislead.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ReportFault {
    /// Utilisation reported whatever the load is.
    pub utilization_permille: Option<u64>,
    /// Reports describe the load this long ago.
    pub lag_ms: u64,
    /// No report rides on answers.
    pub missing: bool,
}

/// Faults of one target; the default is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TargetFaults {
    /// The target says that it is leaving and counts what still arrives.
    pub draining: bool,
    /// Every request is refused before it starts.
    pub shed: bool,
    /// Every request fails at once with this status, as with a broken dependency.
    pub fail_status: Option<u16>,
    /// Requests are taken and nothing happens until the fault is lifted.
    pub frozen: bool,
    /// Service time in thousandths of the usual; a straggler has more than 1000.
    pub slowdown_permille: u64,
    /// Service times are ten times as long for this long after the fault is set.
    pub cold_ms: u64,
    /// A noisy neighbour.
    pub noise: Option<Noise>,
    /// Answers leave this long after the work is done and the slot is free.
    pub late_ms: u64,
    /// Misleading reports.
    pub report: ReportFault,
    /// Faults of connections.
    pub connections: ConnectionFaults,
}

impl Default for TargetFaults {
    fn default() -> Self {
        Self {
            draining: false,
            shed: false,
            fail_status: None,
            frozen: false,
            slowdown_permille: 1000,
            cold_ms: 0,
            noise: None,
            late_ms: 0,
            report: ReportFault::default(),
            connections: ConnectionFaults::default(),
        }
    }
}
