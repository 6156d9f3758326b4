//! The demand report that this entry issues, and its limits.

use std::time::Duration;

use shallotfork_measure::{DemandReport, ServiceDemand, demand_noise_per_s};
use shallotfork_types::{Mono, RequestRate, ServiceKey};

/// Maximum number of services in a report: the busiest ones.
pub const REPORT_SERVICES_MAX: usize = 16;
/// Maximum size of the reports in one heartbeat. Reports beyond it are sent with the next ones.
pub const REPORTS_BYTES_MAX: usize = 2048;
/// Least time between two reports of an entry.
const ISSUE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an unchanged report is issued again, so that it does not expire.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which a report is valid. A report that three refreshes have failed to replace says
/// nothing of the present demand.
pub(crate) const REPORT_VALID_FOR: Duration = Duration::from_secs(15);
/// Change of demand, as a share of the reported demand, that is reported.
const CHANGE_DEVIATION: f64 = 0.125;
/// Change of demand that is reported, in standard deviations of the smoothed demand.
const CHANGE_NOISE_DEVIATIONS: f64 = 3.0;
/// Demand below this is not reported. It is one request in 100 s.
const RATE_MIN: RequestRate = RequestRate::from_milli_per_s(10);

/// The report that an entry issues about itself.
#[derive(Debug)]
pub(crate) struct OwnReport {
    report: DemandReport,
    issued_at: Option<Mono>,
}

impl OwnReport {
    /// Creates an empty report, which is not issued yet.
    pub(crate) fn new(report: DemandReport) -> Self {
        Self { report, issued_at: None }
    }

    /// Returns the report that was issued last, with its age, if it is still valid.
    pub(crate) fn issued(&self, now: Mono) -> Option<(&DemandReport, Duration)> {
        let issued_ago = now.since(self.issued_at?);
        (issued_ago < REPORT_VALID_FOR).then_some((&self.report, issued_ago))
    }

    /// Issues a report if the demand has changed, or the last report has to be refreshed.
    ///
    /// A demand that has changed by no more than chance explains is reported as before. This
    /// hysteresis applies here and not to the shares, so that all entries divide the slots by the
    /// same numbers.
    pub(crate) fn update(&mut self, mut demands: Vec<ServiceDemand>, now: Mono) {
        demands.retain(|demand| demand.rate >= RATE_MIN);
        demands.sort_by_key(|demand| (std::cmp::Reverse(demand.rate), demand.service));
        let is_complete = demands.len() <= REPORT_SERVICES_MAX;
        demands.truncate(REPORT_SERVICES_MAX);
        for demand in &mut demands {
            let reported = self.reported(demand.service);
            if reported.is_some_and(|reported| !is_change(reported, demand.rate)) {
                demand.rate = reported.unwrap_or(demand.rate);
            }
        }
        let elapsed = self.issued_at.map_or(Duration::MAX, |at| now.since(at));
        let has_changed = is_complete != self.report.is_complete || self.differs(&demands);
        if elapsed >= REFRESH_INTERVAL || (has_changed && elapsed >= ISSUE_INTERVAL) {
            self.report.services = demands;
            self.report.is_complete = is_complete;
            self.report.sequence = self.report.sequence.wrapping_add(1);
            self.issued_at = Some(now);
        }
    }

    fn reported(&self, service: ServiceKey) -> Option<RequestRate> {
        let listed = self.report.services.iter().find(|demand| demand.service == service);
        listed.map(|demand| demand.rate)
    }

    fn differs(&self, demands: &[ServiceDemand]) -> bool {
        demands.len() != self.report.services.len()
            || demands.iter().any(|demand| self.reported(demand.service) != Some(demand.rate))
    }
}

fn is_change(reported: RequestRate, current: RequestRate) -> bool {
    let (reported, current) = (reported.per_s(), current.per_s());
    let noise = CHANGE_NOISE_DEVIATIONS * demand_noise_per_s(reported.max(current));
    (current - reported).abs() > noise.max(reported * CHANGE_DEVIATION)
}
