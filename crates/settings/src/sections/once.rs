//! `[once]`

use std::time::Duration;

use shallotfork_types::Bytes;

use crate::Presence::Default;
use crate::reader::Reader;

section! {
    /// Sessions and the idempotency ledger.
    OnceSettings = "once" {
        /// How long a session may start operations.
        session_lifetime: Duration = "session_lifetime_ms", Default("600000"), "600000";
        /// Operations remembered at once; further ones are refused.
        operations_max: usize = "operations_max", Default("100000"), "100000";
        /// Memory for the answers kept for repeats.
        kept_bytes_max: Bytes = "kept_bytes_max", Default("32MiB"), "32MiB";
        /// Largest answer kept for repeats; of a larger one only the fact that it ran is kept.
        kept_answer_max: Bytes = "kept_answer_max", Default("256KiB"), "256KiB";
        /// Peers that get a copy of the sealed ledger on a planned stop.
        handoff_peers: usize = "handoff_peers", Default("2"), "2";
    }
}

impl OnceSettings {
    pub(crate) fn check(&self, reader: &mut Reader<'_>) {
        let mut require = |holds, key, reason| reader.require(holds, Self::SECTION, key, reason);
        require(!self.session_lifetime.is_zero(), "session_lifetime_ms", "at least 1");
        require(self.operations_max > 0, "operations_max", "at least 1");
        let fits = self.kept_answer_max <= self.kept_bytes_max;
        require(fits, "kept_answer_max", "at most kept_bytes_max");
    }
}
