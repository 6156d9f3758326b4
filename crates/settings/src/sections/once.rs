//! The section `[once]`.

use std::time::Duration;

use shallotfork_types::Bytes;

use crate::Presence::Default;
use crate::reader::Reader;

section! {
    /// Sessions and the idempotency ledger.
    OnceSettings = "once" {
        /// Time during which operations may be started in a session.
        session_lifetime: Duration = "session_lifetime_ms", Default("600000"), "600000";
        /// Maximum number of operations in the ledger; further ones are rejected.
        operations_max: usize = "operations_max", Default("100000"), "100000";
        /// Maximum memory for answers kept for repeated requests.
        kept_bytes_max: Bytes = "kept_bytes_max", Default("32MiB"), "32MiB";
        /// Maximum size of an answer kept for repeated requests; for a larger answer only the fact
        /// that the operation ran is kept.
        kept_answer_max: Bytes = "kept_answer_max", Default("256KiB"), "256KiB";
        /// Number of peers that receive a copy of the sealed ledger on a planned stop.
        handoff_peers: usize = "handoff_peers", Default("2"), "2";
    }
}

impl OnceSettings {
    pub(crate) fn validate(&self, reader: &mut Reader<'_>) {
        let mut require =
            |is_valid, key, reason| reader.require(is_valid, Self::SECTION, key, reason);
        require(!self.session_lifetime.is_zero(), "session_lifetime_ms", "at least 1");
        require(self.operations_max > 0, "operations_max", "at least 1");
        let is_within_total = self.kept_answer_max <= self.kept_bytes_max;
        require(is_within_total, "kept_answer_max", "at most kept_bytes_max");
    }
}
