//! `[platform]`

use std::time::Duration;

use shallotfork_types::{Endpoint, PerSecond};

use crate::Presence::{Default, Required};
use crate::reader::Reader;

section! {
    /// How the configuration service is read.
    PlatformSettings = "platform" {
        /// Replicas of the configuration service, tried in turn.
        address: Vec<Endpoint> = "address", Required, "10.0.9.1:7000, 10.0.9.2:7000";
        /// Calls that this VM makes at most in a second.
        calls_per_s: PerSecond = "calls_per_s", Default("8"), "8";
        /// How long a watch waits for a change; then the next replica is watched, since one that
        /// lags shows no change.
        wait: Duration = "wait_ms", Default("5000"), "5000";
        /// Time between two full reads, which show contents that changed under the same revision.
        full_read: Duration = "full_read_ms", Default("3600000"), "3600000";
        /// Time within which a call that does not wait must answer.
        timeout: Duration = "timeout_ms", Default("2000"), "2000";
    }
}

impl PlatformSettings {
    pub(crate) fn check(&self, reader: &mut Reader<'_>) {
        let mut require = |holds, key, reason| reader.require(holds, Self::SECTION, key, reason);
        require(self.calls_per_s.value() > 0, "calls_per_s", "at least 1");
        require(!self.full_read.is_zero(), "full_read_ms", "at least 1");
        require(!self.timeout.is_zero(), "timeout_ms", "at least 1");
    }
}
