//! Demand for a service at this entry, and the share of the service's slots that follows from it.

use metrics::gauge;
use shallotfork_events::{SLOT_SHARE_CHANGED, event};
use shallotfork_types::{PartsPerMillion, RequestRate};

use crate::traffic::service_slots::ServiceSlots;

/// A share by demand is logged when it differs by more than the logged one divided by this.
const LOGGED_CHANGE_DIVISOR: u32 = 4;
const MILLION: f64 = 1e6;

impl ServiceSlots {
    /// Returns the requests per second of callers, refused ones included.
    pub fn demand(&self) -> RequestRate {
        let now = self.clock.now();
        self.lock().demand.rate(now)
    }

    /// Sets the share of the slots for this entry; `None` if all entries have equal shares.
    pub fn set_demand_share(&self, share: Option<PartsPerMillion>) {
        let mut inner = self.lock();
        inner.pool.set_demand_share(share);
        let current = inner.pool.slot_share();
        let (was_by_demand, logged) = inner.logged_share;
        let change = current.value().abs_diff(logged.value());
        // Equal shares change with the number of entries, which has its own log line.
        let is_logged =
            (share.is_some() || was_by_demand) && change > logged.value() / LOGGED_CHANGE_DIVISOR;
        if is_logged || share.is_none() && !was_by_demand {
            inner.logged_share = (share.is_some(), current);
        }
        drop(inner);
        if is_logged {
            event!(self.log, SLOT_SHARE_CHANGED, "service" => self.name.as_str(),
                "share_ppm" => current.value(), "before_ppm" => logged.value(),
                "by_demand" => share.is_some(), "demand_per_s" => self.demand().whole_per_s());
        }
    }

    /// Records the demand and the share in metrics.
    pub fn report_share(&self) {
        let label = self.name.to_string();
        let share = f64::from(self.lock().pool.slot_share().value()) / MILLION;
        gauge!("shallotfork_demand_per_second", "service" => label.clone())
            .set(self.demand().per_s());
        gauge!("shallotfork_slot_share", "service" => label).set(share);
    }
}
