//! Parts of memory and link that large answers may use, and limits of waiting.

use std::time::Duration;

use shallotfork_types::{Bytes, BytesPerSecond, Permille};

/// Share of the body budget for large answers. Requests and ordinary answers share the rest, which
/// on the smallest VM (37 MB of budget) is 18 MB, or some thousand ordinary bodies.
const LARGE_MEMORY_SHARE: Permille = Permille::new(500);
/// Part of the nominal bandwidth that carries data. The rest is taken by the headers of Ethernet, IP
/// and TCP; a queue estimated without them would be too short.
const PAYLOAD_SHARE: Permille = Permille::new(930);
/// Share of the link for large answers while ordinary ones are sent. The rest keeps the link below
/// saturation, where every ordinary answer would find the longest queue; it also carries probes and
/// heartbeats, which are not counted.
const LARGE_LINK_SHARE: Permille = Permille::new(850);
/// Share of the link that large answers get even if ordinary ones saturate it, so that each
/// transfer ends.
const LARGE_LINK_SHARE_MIN: Permille = Permille::new(50);
/// Maximum of the answers that are expected from targets at a time, as transmission time at the
/// large share of the link. Long enough to keep the link busy while targets work on requests, short
/// enough that answers arriving together delay ordinary ones by a second at most.
const INBOUND_WINDOW: Duration = Duration::from_secs(1);
/// Maximum queue at the link, as transmission time, behind which a large answer's bytes are
/// written. It is the delay that large answers may add to an ordinary one; objectives are hundreds
/// of milliseconds. Shorter queues would leave the link idle, since timers are late by a
/// millisecond or two.
const LINK_QUEUE_MAX: Duration = Duration::from_millis(8);
/// Queue behind which bytes may be written that take longer than the maximum queue. Without it the
/// link would be idle between them for as long as timers are late.
const LINK_QUEUE_MIN: Duration = Duration::from_millis(2);
/// Divisor of the maximum queue that gives the size of a chunk. With half of the queue per chunk,
/// the link is busy with one chunk while the next is written.
const CHUNKS_PER_QUEUE: u64 = 2;
/// Smallest size of a chunk. Smaller ones cost more processor time than they save waiting.
const CHUNK_MIN: Bytes = Bytes::from_kib(4);
/// Largest size of a chunk, a bound on memory and on the time that one write takes.
const CHUNK_MAX: Bytes = Bytes::from_kib(64);
/// Time after an ordinary answer during which the link counts as shared. Longer than the time
/// between ordinary answers at ten in a second.
const SHARED_FOR: Duration = Duration::from_millis(100);
/// Time without progress after which a transfer no longer counts toward the queue at the link,
/// because its caller and not the link delays it.
const STALLED_AFTER: Duration = Duration::from_secs(1);
/// Shortest time after which a rejected caller is asked to retry.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(150);
/// Longest time after which a rejected caller is asked to retry.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);
/// Maximum number of waiting requests, a bound on memory only.
const WAITING_MAX: usize = 1024;

/// Configuration of an [`AnswerRoom`](crate::AnswerRoom).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoomConfig {
    /// Bandwidth of the link for data, in each direction.
    pub link: BytesPerSecond,
    /// Part of the bandwidth that large answers may use while ordinary ones are sent.
    pub large_rate: BytesPerSecond,
    /// Maximum size of all large answers that are expected from targets or held for callers.
    pub memory_max: Bytes,
    /// Maximum of the mean sizes of the large answers that are expected from targets.
    pub inbound_max: Bytes,
    /// Time without progress after which a transfer counts as delayed by its caller.
    pub stalled_after: Duration,
    /// Shortest time after which a rejected caller is asked to retry.
    pub retry_after_min: Duration,
    /// Longest time after which a rejected caller is asked to retry.
    pub retry_after_max: Duration,
    /// Maximum number of waiting requests.
    pub waiting_max: usize,
}

impl RoomConfig {
    /// Creates the configuration for an entry with this memory for bodies and this nominal bandwidth
    /// of its link.
    pub fn new(body_budget: Bytes, link: BytesPerSecond) -> Self {
        let link = link.share(PAYLOAD_SHARE);
        let large_rate = link.share(LARGE_LINK_SHARE);
        let inbound_max = u64::from(large_rate.value()) * INBOUND_WINDOW.as_secs();
        Self {
            link,
            large_rate,
            memory_max: Bytes::new(LARGE_MEMORY_SHARE.of(body_budget.value())),
            inbound_max: Bytes::new(inbound_max),
            stalled_after: STALLED_AFTER,
            retry_after_min: RETRY_AFTER_MIN,
            retry_after_max: RETRY_AFTER_MAX,
            waiting_max: WAITING_MAX,
        }
    }
}

/// Configuration of a [`LinkPacer`](crate::LinkPacer).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacerConfig {
    /// Bandwidth of the link for data.
    pub link: BytesPerSecond,
    /// Part of the bandwidth for large answers while ordinary ones are sent.
    pub large_rate: BytesPerSecond,
    /// Part of the bandwidth that large answers get in any case.
    pub large_rate_min: BytesPerSecond,
    /// Maximum queue at the link after a write of a large answer's bytes.
    pub queue_max: Duration,
    /// Queue behind which bytes may be written that take longer than the maximum queue.
    pub queue_min: Duration,
    /// Time after an ordinary answer during which the link counts as shared.
    pub shared_for: Duration,
}

impl PacerConfig {
    /// Creates the configuration for a link of this nominal bandwidth.
    pub fn new(link: BytesPerSecond) -> Self {
        let link = link.share(PAYLOAD_SHARE);
        Self {
            link,
            large_rate: link.share(LARGE_LINK_SHARE),
            large_rate_min: link.share(LARGE_LINK_SHARE_MIN),
            queue_max: LINK_QUEUE_MAX,
            queue_min: LINK_QUEUE_MIN,
            shared_for: SHARED_FOR,
        }
    }

    /// Returns the size of the chunks in which large answers are to be written.
    pub fn chunk_size(&self) -> Bytes {
        let queue_us = u64::try_from(self.queue_max.as_micros()).unwrap_or(u64::MAX);
        let queue_bytes = u64::from(self.link.value()).saturating_mul(queue_us) / 1_000_000;
        Bytes::new(queue_bytes / CHUNKS_PER_QUEUE).clamp(CHUNK_MIN, CHUNK_MAX)
    }
}
