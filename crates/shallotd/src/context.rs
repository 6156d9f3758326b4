//! Shared state of the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use shallotfork_events::slog::Logger;
use shallotfork_exchange::{BodyBudget, Exchange, ServedConnections};
use shallotfork_settings::Settings;
use shallotfork_timer::Clock;

use crate::control::ControlHandle;
use crate::identity::Identity;
use crate::snapshot::Snapshot;
use crate::traffic::{InFlight, TargetGate};

/// State that all parts of the process share. The control thread writes the snapshot; all other
/// threads read it.
pub struct Context {
    /// Validated settings.
    pub settings: Settings,
    /// Identity of this process.
    pub identity: Identity,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Logger of the process.
    pub log: Logger,
    /// Snapshot that the control thread published last.
    pub snapshot: ArcSwap<Snapshot>,
    /// Sends commands to the control thread.
    pub control: ControlHandle,
    /// Sends requests to targets.
    pub exchange: Exchange,
    /// Limits new connections to targets.
    pub connection_gate: TargetGate,
    /// Memory budget for bodies.
    pub body_budget: BodyBudget,
    /// Open connections of callers.
    pub connections: ServedConnections,
    /// Requests in flight.
    pub in_flight: InFlight,
    /// Counter that rotates the entries advertised in answers.
    pub entry_rotation: AtomicU64,
    /// Counter that numbers the claims made by this process.
    pub claim_counter: AtomicU64,
}

impl Context {
    /// Returns the next value of a counter.
    pub fn next_value(counter: &AtomicU64) -> u64 {
        counter.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the snapshot in force.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }
}
