//! The section `[measure]`.

use std::time::Duration;

use shallotfork_types::{PerSecond, Permille};

use crate::Presence::Default;
use crate::reader::Reader;
use crate::url_path::UrlPath;

section! {
    /// Budgets for probes and new connections; each applies per target to all entries together.
    MeasureSettings = "measure" {
        /// Share of a target's time that the probes of all entries together may use.
        probe_budget: Permille = "probe_budget_permille", Default("10"), "10";
        /// Processing time that one probe costs a target.
        probe_cost: Duration = "probe_cost_us", Default("6000"), "6000";
        /// Connections per second that all entries together may open to one target.
        new_connections: PerSecond = "new_connections_per_s", Default("144"), "144";
        /// Path of the load endpoint of targets, which probes request.
        probe_path: UrlPath = "probe_path", Default("/load"), "/load";
    }
}

impl MeasureSettings {
    pub(crate) fn validate(&self, reader: &mut Reader<'_>) {
        let mut require =
            |is_valid, key, reason| reader.require(is_valid, Self::SECTION, key, reason);
        require(self.probe_budget.value() <= 1000, "probe_budget_permille", "at most 1000");
        require(!self.probe_cost.is_zero(), "probe_cost_us", "at least 1");
        require(self.new_connections.value() > 0, "new_connections_per_s", "at least 1");
    }
}
