//! How much an entry hands on to others over its own link.

use std::time::Duration;

use shallotfork_types::{Bytes, BytesPerSecond, Mono, Permille};

/// Part of the link for published items. Requests, heartbeats and questions about readiness need the
/// rest, and wait behind everything that is handed on at once.
const ITEMS_PART: Permille = Permille::new(500);
/// Longest time that what is handed on may take that part of the link, for another entry to be told
/// something more.
const BACKLOG_MAX: Duration = Duration::from_millis(200);

/// Bounds what is handed on at a time to what the link carries soon.
///
/// All entries of a failure domain learn of a change at about the same time, and ask the same few
/// ones for it. An entry behind a slow link that answers them all is out of reach until it has.
#[derive(Debug)]
pub struct Uplink {
    rate: BytesPerSecond,
    /// When what was handed on so far will have left.
    free_at: Mono,
}

impl Uplink {
    /// A link on which nothing is handed on.
    pub fn new(link: BytesPerSecond) -> Self {
        Self { rate: link.share(ITEMS_PART), free_at: Mono::ZERO }
    }

    /// Whether others have to wait, or to ask elsewhere.
    pub fn is_full(&self, now: Mono) -> bool {
        self.free_at.since(now) > BACKLOG_MAX
    }

    /// Counts what is handed on.
    pub fn record_sent(&mut self, size: Bytes, now: Mono) {
        self.free_at = self.free_at.max(now).plus(self.rate.time_for(size));
    }
}
