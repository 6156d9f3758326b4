//! Counts of calls to the platform; a waiting watch counts as one.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use shallotfork_types::Endpoint;

const WINDOW: Duration = Duration::from_secs(1);

/// Calls of one connection, told apart by the source port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerCalls {
    /// Where the calls came from.
    pub source: Endpoint,
    /// How many there were.
    pub calls: u64,
}

/// Calls of readers to every replica.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// All calls.
    pub total: u64,
    /// Long polls among them.
    pub watches: u64,
    /// The most calls in any window of one second.
    pub max_in_second: u64,
    /// Calls in the last second.
    pub last_second: u64,
    /// Bytes of values sent.
    pub sent_bytes: u64,
    /// Calls by source, in order of address.
    pub by_source: Vec<CallerCalls>,
}

/// Counts calls as they arrive.
#[derive(Debug, Default)]
pub(super) struct CallCounter {
    total: u64,
    watches: u64,
    max_in_second: u64,
    sent_bytes: u64,
    recent: VecDeque<Instant>,
    by_source: BTreeMap<SocketAddr, u64>,
}

impl CallCounter {
    /// Counts one call that arrives `now`.
    pub(super) fn count(&mut self, source: Option<SocketAddr>, is_watch: bool, now: Instant) {
        self.total += 1;
        self.watches += u64::from(is_watch);
        self.forget_old(now);
        self.recent.push_back(now);
        self.max_in_second = self.max_in_second.max(self.recent.len() as u64);
        if let Some(source) = source {
            *self.by_source.entry(source).or_default() += 1;
        }
    }

    /// Counts the bytes of values in an answer.
    pub(super) fn sent(&mut self, size_bytes: u64) {
        self.sent_bytes += size_bytes;
    }

    /// The counts so far.
    pub(super) fn counts(&mut self, now: Instant) -> CallCounts {
        self.forget_old(now);
        let by_source = self.by_source.iter();
        CallCounts {
            total: self.total,
            watches: self.watches,
            max_in_second: self.max_in_second,
            last_second: self.recent.len() as u64,
            sent_bytes: self.sent_bytes,
            by_source: by_source
                .map(|(source, calls)| CallerCalls {
                    source: Endpoint::new(*source),
                    calls: *calls,
                })
                .collect(),
        }
    }

    fn forget_old(&mut self, now: Instant) {
        while self.recent.front().is_some_and(|then| now.duration_since(*then) >= WINDOW) {
            self.recent.pop_front();
        }
    }
}
