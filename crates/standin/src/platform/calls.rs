//! Counts of calls to the platform; a waiting watch counts as one call.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use shallotfork_types::Endpoint;

const WINDOW: Duration = Duration::from_secs(1);

/// Number of calls over one connection, identified by its source address and port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceCalls {
    /// Source address and port of the connection.
    pub source: Endpoint,
    /// Number of calls.
    pub calls: u64,
}

/// Counts of the calls that readers made to all replicas.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Number of all calls.
    pub total: u64,
    /// Number of long polls among the calls.
    pub watches: u64,
    /// Maximum number of calls in any window of one second.
    pub max_in_second: u64,
    /// Number of calls in the last second.
    pub last_second: u64,
    /// Size of all values sent, in bytes.
    pub sent_bytes: u64,
    /// Number of calls by source, sorted by address.
    pub by_source: Vec<SourceCalls>,
}

/// Counts calls as they arrive.
#[derive(Debug, Default)]
pub(super) struct CallCounter {
    total: u64,
    watches: u64,
    max_in_second: u64,
    sent_bytes: u64,
    recent_calls_at: VecDeque<Instant>,
    by_source: BTreeMap<SocketAddr, u64>,
}

impl CallCounter {
    /// Counts a call that arrives at `now`.
    pub(super) fn record_call(&mut self, source: Option<SocketAddr>, is_watch: bool, now: Instant) {
        self.total += 1;
        self.watches += u64::from(is_watch);
        self.drop_expired(now);
        self.recent_calls_at.push_back(now);
        self.max_in_second = self.max_in_second.max(self.recent_calls_at.len() as u64);
        if let Some(source) = source {
            *self.by_source.entry(source).or_default() += 1;
        }
    }

    /// Counts the bytes of the values in an answer.
    pub(super) fn record_sent(&mut self, size_bytes: u64) {
        self.sent_bytes += size_bytes;
    }

    /// Returns the counts so far.
    pub(super) fn counts(&mut self, now: Instant) -> CallCounts {
        self.drop_expired(now);
        let by_source = self.by_source.iter();
        CallCounts {
            total: self.total,
            watches: self.watches,
            max_in_second: self.max_in_second,
            last_second: self.recent_calls_at.len() as u64,
            sent_bytes: self.sent_bytes,
            by_source: by_source
                .map(|(source, calls)| SourceCalls {
                    source: Endpoint::new(*source),
                    calls: *calls,
                })
                .collect(),
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        while self
            .recent_calls_at
            .front()
            .is_some_and(|called_at| now.duration_since(*called_at) >= WINDOW)
        {
            self.recent_calls_at.pop_front();
        }
    }
}
