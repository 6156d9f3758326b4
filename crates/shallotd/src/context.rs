//! What every part of the process is handed.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use shallotfork_events::slog::Logger;
use shallotfork_exchange::{BodyBudget, Exchange};
use shallotfork_settings::Settings;
use shallotfork_timer::Clock;

use crate::control::ControlHandle;
use crate::identity::Identity;
use crate::snapshot::Snapshot;
use crate::traffic::{InFlight, TargetGate};

/// Shared state of the process; control writes the snapshot, everybody else reads.
pub struct Context {
    /// The checked settings.
    pub settings: Settings,
    /// Who this process is.
    pub identity: Identity,
    /// The process's monotonic clock.
    pub clock: Clock,
    /// The process's log.
    pub log: Logger,
    /// What control has published last.
    pub snapshot: ArcSwap<Snapshot>,
    /// Sends questions to the control thread.
    pub control: ControlHandle,
    /// Connections to targets.
    pub exchange: Exchange,
    /// New connections to targets.
    pub connection_gate: TargetGate,
    /// Memory for bodies.
    pub body_budget: BodyBudget,
    /// Requests in flight.
    pub in_flight: InFlight,
    /// Rotates the entries named in answers.
    pub entry_rotation: AtomicU64,
    /// Numbers of claims made by this process.
    pub claim_counter: AtomicU64,
}

impl Context {
    /// The next number of a counter.
    pub fn next_value(counter: &AtomicU64) -> u64 {
        counter.fetch_add(1, Ordering::Relaxed)
    }

    /// The snapshot in force.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }
}
