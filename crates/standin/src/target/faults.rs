//! Faults that a test injects into a target.

use serde::{Deserialize, Serialize};

use crate::net::ConnectionFaults;

/// A noisy neighbour on the same host, which periodically takes processor time from the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Noise {
    /// Length of each quiet and of each noisy turn, in milliseconds.
    pub turn_ms: u64,
    /// Service time during a noisy turn, in thousandths of the usual service time.
    pub slowdown_permille: u64,
}

/// Faults of load reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ReportFault {
    /// Utilization to report regardless of the load, in thousandths.
    pub utilization_permille: Option<u64>,
    /// Age of the load that reports describe, in milliseconds.
    pub lag_ms: u64,
    /// Whether answers carry no load report.
    pub missing: bool,
}

/// Faults of one target; there are none by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TargetFaults {
    /// The target reports that it is draining and counts requests that still arrive.
    pub draining: bool,
    /// Every request is shed before it starts.
    pub shed: bool,
    /// Every request fails immediately with this status, as with a broken dependency.
    pub fail_status: Option<u16>,
    /// Requests are accepted but not processed until the fault is cleared.
    pub frozen: bool,
    /// Service time in thousandths of the usual service time; more than 1000 for a straggler.
    pub slowdown_permille: u64,
    /// Time after the fault is set during which service times are ten times as long, in
    /// milliseconds.
    pub cold_ms: u64,
    /// Noisy neighbour on the same host, if any.
    pub noise: Option<Noise>,
    /// Delay of the answer after the work is done and the slot is released, in milliseconds.
    pub late_ms: u64,
    /// Faults of load reports.
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
