//! Demand of callers in the model, and what its reports cost.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use shallotfork_measure::{DemandMeter, DemandReport, ServiceDemand};
use shallotfork_types::{Mono, RequestRate, ServiceKey, ServiceName};

/// Steps in which arrivals are drawn.
const STEP_MS: u64 = 5;

/// Returns the key of the service whose demand the model varies.
pub fn service() -> ServiceKey {
    ServiceKey::from(&ServiceName::new("reads").unwrap())
}

/// Share of an entry in the slots of a service.
#[derive(Debug, Clone, Copy)]
pub struct ModelShare {
    pub millionths: usize,
    /// Whether it follows from demand; otherwise it is an equal share.
    pub is_by_demand: bool,
}

/// Requests that arrive at the entries, and the reports of them.
#[derive(Debug, Default)]
pub struct Demand {
    /// Requests per second at each entry, by index.
    pub rates_per_s: BTreeMap<usize, f64>,
    /// Number of further services, each with a steady demand at all entries.
    pub other_services: u64,
    /// Entries of an older release, which send no reports.
    pub older: Vec<usize>,
    /// Number of reports sent.
    pub sent_reports: usize,
    /// Size of the reports sent.
    pub sent_bytes: usize,
    /// Largest size of the reports in one heartbeat.
    pub heartbeat_bytes_max: usize,
    /// Size of the reports sent by each entry.
    pub bytes_by_sender: BTreeMap<usize, usize>,
    meters: BTreeMap<usize, (DemandMeter, Mono)>,
    /// Largest number of core entries that each entry has seen.
    known_entries: BTreeMap<usize, usize>,
}

impl Demand {
    /// Draws the arrivals at an entry since the last call and returns its demand.
    pub fn measure(&mut self, index: usize, rng: &mut StdRng, now: Mono) -> Vec<ServiceDemand> {
        let rate_per_s = self.rates_per_s.get(&index).copied().unwrap_or(0.0);
        let (meter, until) = self.meters.entry(index).or_insert((DemandMeter::default(), now));
        while *until < now {
            *until = until.plus(Duration::from_millis(STEP_MS));
            if rng.random_bool((rate_per_s * STEP_MS as f64 / 1000.0).min(1.0)) {
                meter.record_request(*until);
            }
        }
        let others = (0..self.other_services).map(|number| ServiceDemand {
            service: ServiceKey::new(number),
            rate: RequestRate::from_milli_per_s(1000),
        });
        let own = ServiceDemand { service: service(), rate: meter.rate(now) };
        others.chain([own]).collect()
    }

    /// Forgets the arrivals at an entry whose process has restarted.
    pub fn reset(&mut self, index: usize) {
        self.meters.remove(&index);
        self.known_entries.remove(&index);
    }

    /// Returns whether an entry that sees so many core entries sees most of the fleet.
    pub fn sees_majority(&mut self, index: usize, live_entries: usize) -> bool {
        let known = self.known_entries.entry(index).or_default();
        *known = live_entries.max(*known);
        live_entries * 2 > *known
    }

    /// Counts the reports in a heartbeat.
    pub fn record_sent(&mut self, from: usize, reports: &[DemandReport]) {
        let bytes: usize = reports.iter().map(DemandReport::encoded_bytes).sum();
        self.sent_reports += reports.len();
        self.sent_bytes += bytes;
        self.heartbeat_bytes_max = self.heartbeat_bytes_max.max(bytes);
        *self.bytes_by_sender.entry(from).or_default() += bytes;
    }

    /// Starts to count anew.
    pub fn reset_counts(&mut self) {
        self.sent_reports = 0;
        self.sent_bytes = 0;
        self.heartbeat_bytes_max = 0;
        self.bytes_by_sender.clear();
    }
}
