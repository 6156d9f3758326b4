//! The section `[platform]`.

use std::time::Duration;

use shallotfork_types::{Endpoint, PerSecond};

use crate::Presence::{Default, Required};
use crate::reader::Reader;

section! {
    /// Access to the platform, the configuration service.
    PlatformSettings = "platform" {
        /// Replicas of the platform, tried in turn.
        address: Vec<Endpoint> = "address", Required, "10.0.9.1:7000, 10.0.9.2:7000";
        /// Maximum number of calls that this VM makes per second.
        calls_per_s: PerSecond = "calls_per_s", Default("8"), "8";
        /// How long a watch waits for a change. The next watch goes to the next replica, since a
        /// replica that lags shows no change.
        wait: Duration = "wait_ms", Default("5000"), "5000";
        /// Interval between full reads, which find contents that changed under the same revision.
        full_read: Duration = "full_read_ms", Default("3600000"), "3600000";
        /// Timeout of a call that does not wait for a change.
        timeout: Duration = "timeout_ms", Default("2000"), "2000";
    }
}

impl PlatformSettings {
    pub(crate) fn validate(&self, reader: &mut Reader<'_>) {
        let mut require =
            |is_valid, key, reason| reader.require(is_valid, Self::SECTION, key, reason);
        require(self.calls_per_s.value() > 0, "calls_per_s", "at least 1");
        require(!self.full_read.is_zero(), "full_read_ms", "at least 1");
        require(!self.timeout.is_zero(), "timeout_ms", "at least 1");
    }
}
