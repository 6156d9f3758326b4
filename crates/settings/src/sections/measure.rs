//! `[measure]`

use std::time::Duration;

use shallotfork_types::{PerSecond, Permille};

use crate::Presence::Default;
use crate::reader::Reader;
use crate::url_path::UrlPath;

section! {
    /// Budgets for probes and new connections, each per target and for the whole fleet.
    MeasureSettings = "measure" {
        /// Share of a target's time that probes of all entries may take.
        probe_budget: Permille = "probe_budget_permille", Default("10"), "10";
        /// Time that one probe takes of a target.
        probe_cost: Duration = "probe_cost_us", Default("6000"), "6000";
        /// Connections that all entries may open to one target in a second.
        new_connections: PerSecond = "new_connections_per_s", Default("144"), "144";
        /// Path of the targets' load endpoint, which probes ask.
        probe_path: UrlPath = "probe_path", Default("/load"), "/load";
    }
}

impl MeasureSettings {
    pub(crate) fn check(&self, reader: &mut Reader<'_>) {
        let mut require = |holds, key, reason| reader.require(holds, Self::SECTION, key, reason);
        require(self.probe_budget.value() <= 1000, "probe_budget_permille", "at most 1000");
        require(!self.probe_cost.is_zero(), "probe_cost_us", "at least 1");
        require(self.new_connections.value() > 0, "new_connections_per_s", "at least 1");
    }
}
