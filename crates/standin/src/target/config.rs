//! Settings of the target stand-in.

use std::time::Duration;

use shallotfork_types::TargetId;

/// How long a request holds a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceTime {
    /// Always the same.
    Constant(Duration),
    /// Drawn from an exponential distribution with this mean.
    Exponential(Duration),
}

/// One target's size and costs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetConfig {
    /// The target's name, echoed in its answers.
    pub id: TargetId,
    /// Requests served at once; 2 by default.
    pub slots: usize,
    /// Requests waiting beyond which new ones are shed; 64 by default.
    pub queue_max: usize,
    /// How long a request holds a slot; 5 ms by default.
    pub service_time: ServiceTime,
    /// What a new connection costs, holding a slot; 1 ms by default.
    pub connection_setup: Duration,
    /// What a probe costs, holding a slot; 6 ms by default.
    pub probe: Duration,
    /// Time from SIGTERM, when draining begins, until nothing new is taken; 4 s by default.
    pub grace: Duration,
    /// Status of answers to requests shed before they started; 503 by default.
    pub shed_status: u16,
    /// Seed of the service times.
    pub seed: u64,
}

impl TargetConfig {
    /// A target with the default size and costs.
    pub fn new(id: TargetId) -> Self {
        Self {
            id,
            slots: 2,
            queue_max: 64,
            service_time: ServiceTime::Constant(Duration::from_millis(5)),
            connection_setup: Duration::from_millis(1),
            probe: Duration::from_millis(6),
            grace: Duration::from_secs(4),
            shed_status: 503,
            seed: 1,
        }
    }

    /// Replaces the service time.
    #[must_use]
    pub fn with_service_time(mut self, service_time: ServiceTime) -> Self {
        self.service_time = service_time;
        self
    }
}
