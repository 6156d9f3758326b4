//! Configuration of the target stand-in.

use std::time::Duration;

use shallotfork_types::TargetId;

/// Distribution of the time that a request holds a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceTime {
    /// The same time for every request.
    Constant(Duration),
    /// Drawn from an exponential distribution with this mean.
    Exponential(Duration),
}

/// Settings of the target stand-in: its size and costs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetConfig {
    /// Id of the target, sent in its answers.
    pub id: TargetId,
    /// Number of requests served concurrently; 2 by default.
    pub slots: usize,
    /// Number of waiting requests beyond which new ones are shed; 64 by default.
    pub queue_max: usize,
    /// Time that a request holds a slot; 5 ms by default.
    pub service_time: ServiceTime,
    /// Time that the setup of a connection holds a slot; 1 ms by default.
    pub connection_setup: Duration,
    /// Time that a probe holds a slot; 6 ms by default.
    pub probe_duration: Duration,
    /// Time from SIGTERM, when draining begins, until new requests are no longer accepted; 4 s by
    /// default.
    pub grace: Duration,
    /// Status of the answer to a request that is shed before it starts; 503 by default.
    pub shed_status: u16,
    /// Seed of the service times.
    pub seed: u64,
}

impl TargetConfig {
    /// Creates the settings of a target with the default size and costs.
    pub fn new(id: TargetId) -> Self {
        Self {
            id,
            slots: 2,
            queue_max: 64,
            service_time: ServiceTime::Constant(Duration::from_millis(5)),
            connection_setup: Duration::from_millis(1),
            probe_duration: Duration::from_millis(6),
            grace: Duration::from_secs(4),
            shed_status: 503,
            seed: 1,
        }
    }

    /// Sets the service time.
    #[must_use]
    pub fn with_service_time(mut self, service_time: ServiceTime) -> Self {
        self.service_time = service_time;
        self
    }
}
