//! Limit on how much an entry forwards to other entries over its own link.

use std::time::Duration;

use shallotfork_types::{Bytes, BytesPerSecond, Mono, Permille};

/// Share of the link for forwarding published items. Requests, heartbeats and readiness probes need the
/// rest, and queue behind everything that is forwarded at once.
const ITEMS_SHARE: Permille = Permille::new(500);
/// Maximum backlog, as transmission time at that share of the link; while it is longer, no further pull
/// is answered.
const BACKLOG_MAX: Duration = Duration::from_millis(200);

/// Limits the published items forwarded at a time to what the link can transmit soon.
///
/// All entries of a failure domain learn of a change at about the same time and pull it from the same few
/// entries. An entry behind a slow link that answered all of them would be unreachable until it had
/// transmitted everything.
#[derive(Debug)]
pub struct Uplink {
    rate: BytesPerSecond,
    /// Time at which everything forwarded so far will have been transmitted.
    backlog_ends_at: Mono,
}

impl Uplink {
    /// Creates the limit for a link of this rate, without a backlog.
    pub fn new(link: BytesPerSecond) -> Self {
        Self { rate: link.share(ITEMS_SHARE), backlog_ends_at: Mono::ZERO }
    }

    /// Returns whether the backlog is too long to answer another pull; the peer then has to wait or to
    /// pull from another entry.
    pub fn is_full(&self, now: Mono) -> bool {
        self.backlog_ends_at.since(now) > BACKLOG_MAX
    }

    /// Adds forwarded data to the backlog.
    pub fn record_sent(&mut self, size: Bytes, now: Mono) {
        self.backlog_ends_at = self.backlog_ends_at.max(now).plus(self.rate.time_for(size));
    }
}
