//! Options of `shallotctl watch`.

use std::time::Duration;

use shallotfork_types::{ListName, Revision};

use crate::entries_config::EntriesConfig;

/// Options of `shallotctl watch`.
#[derive(Debug)]
pub struct WatchConfig {
    /// The revision to wait for.
    pub revision: Revision,
    /// The list whose revision is awaited; the rules by default.
    pub list: ListName,
    /// The entries to poll.
    pub entries: EntriesConfig,
    /// How long to wait for the revision; 30 s by default.
    pub timeout: Duration,
    /// Pause between two rounds of polling; 250 ms by default.
    pub poll_interval: Duration,
    /// Whether to print JSON, for scripts.
    pub json: bool,
}

impl WatchConfig {
    /// Creates options to wait for a revision of the rules at the given entries.
    pub fn new(revision: Revision, entries: EntriesConfig) -> Self {
        Self {
            revision,
            list: ListName::Rules,
            entries,
            timeout: Duration::from_secs(30),
            poll_interval: Duration::from_millis(250),
            json: false,
        }
    }
}
