//! Demand for a service at one entry, and how entries report it to each other.

use std::time::Duration;

use shallotfork_types::{Incarnation, Mono, RequestRate, ServiceKey, VmId};

/// Time constant of the smoothing. A shift of demand is visible within seconds, while the rate at an
/// entry with 30 requests a second varies by less than a tenth.
pub const DEMAND_SMOOTHING: Duration = Duration::from_secs(3);

/// Returns the standard deviation of the smoothed rate of requests that arrive independently, in
/// requests per second.
pub fn demand_noise_per_s(rate_per_s: f64) -> f64 {
    (rate_per_s / (2.0 * DEMAND_SMOOTHING.as_secs_f64())).sqrt()
}

/// Rate of arriving requests, smoothed over [`DEMAND_SMOOTHING`]. Starts at zero.
#[derive(Debug, Clone, Copy, Default)]
pub struct DemandMeter {
    rate_per_s: f64,
    updated_at: Mono,
}

impl DemandMeter {
    /// Records the arrival of a request, whether or not it is refused later.
    pub fn record_request(&mut self, now: Mono) {
        self.rate_per_s = self.rate_per_s(now) + 1.0 / DEMAND_SMOOTHING.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the current rate.
    pub fn rate(&self, now: Mono) -> RequestRate {
        RequestRate::from_milli_per_s((self.rate_per_s(now) * 1000.0) as u64)
    }

    fn rate_per_s(&self, now: Mono) -> f64 {
        let age = now.since(self.updated_at);
        self.rate_per_s * (-age.as_secs_f64() / DEMAND_SMOOTHING.as_secs_f64()).exp()
    }
}

/// Demand for one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceKey,
    /// Requests per second on arrival, refused ones included.
    pub rate: RequestRate,
}

/// Size of a [`DemandReport`] in a message without the VM's name and the services.
const REPORT_BASE_BYTES: usize = 48;
/// Size of one service in a message.
const SERVICE_BYTES: usize = 16;
/// Size to which the VM's name is padded in a message.
const WORD_BYTES: usize = 8;

/// An entry's report of its demand by service. Other entries forward it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemandReport {
    /// The entry that reports its demand.
    pub vm: VmId,
    /// Run of that entry's process.
    pub incarnation: Incarnation,
    /// Number of the report in that run; a report replaces those with lower numbers.
    pub sequence: u32,
    /// Time since the report was issued.
    pub issued_ago: Duration,
    /// Demand of the busiest services.
    pub services: Vec<ServiceDemand>,
    /// Whether all services with demand are listed, so that the others have none.
    pub is_complete: bool,
}

impl DemandReport {
    /// Returns the size of the report in a message.
    pub fn encoded_bytes(&self) -> usize {
        let name_bytes = (self.vm.as_str().len() + 1).next_multiple_of(WORD_BYTES);
        REPORT_BASE_BYTES + name_bytes + self.services.len() * SERVICE_BYTES
    }

    /// Returns the reported demand for a service; `None` if the report leaves it open.
    pub fn rate(&self, service: ServiceKey) -> Option<RequestRate> {
        let listed = self.services.iter().find(|demand| demand.service == service);
        match listed {
            Some(demand) => Some(demand.rate),
            None => self.is_complete.then_some(RequestRate::ZERO),
        }
    }
}

/// What is known of the demand of an entry for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SharerDemand {
    /// The entry has reported its demand.
    Known(RequestRate),
    /// The entry has only just been advertised, so that no report is expected yet.
    Joining,
    /// The entry reports no demand, as entries of an older release do, or it can't be known yet
    /// whether it does.
    Unknown,
}
