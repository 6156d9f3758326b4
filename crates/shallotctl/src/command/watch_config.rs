//! Options of `shallotctl watch`.

use std::time::Duration;

use shallotfork_types::{ListName, Revision};

use crate::entries_config::EntriesConfig;

/// Options of `shallotctl watch`.
#[derive(Debug)]
pub struct WatchConfig {
    /// The revision to wait for.
    pub revision: Revision,
    /// The list; the rules by default.
    pub list: ListName,
    /// The entries to ask.
    pub entries: EntriesConfig,
    /// How long to wait; 30 s by default.
    pub wait: Duration,
    /// Time between two rounds of questions; 250 ms by default.
    pub interval: Duration,
    /// Output for scripts.
    pub json: bool,
}

impl WatchConfig {
    /// Waits for this revision of the rules at these entries.
    pub fn new(revision: Revision, entries: EntriesConfig) -> Self {
        Self {
            revision,
            list: ListName::Rules,
            entries,
            wait: Duration::from_secs(30),
            interval: Duration::from_millis(250),
            json: false,
        }
    }
}
