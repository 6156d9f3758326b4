//! The section `[leaving]`.

use std::time::Duration;

use crate::Presence::Default;

section! {
    /// Graceful shutdown.
    LeavingSettings = "leaving" {
        /// Maximum wait for requests in flight after a stop was requested.
        grace_max: Duration = "grace_max_ms", Default("30000"), "30000";
    }
}
