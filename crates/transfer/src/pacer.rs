//! Decides when bytes of large answers may be written.

use shallotfork_types::{Bytes, Mono};

use crate::PacerConfig;

/// Decision about the next bytes of a large answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// The bytes may be written now; they are counted as written.
    Write,
    /// The bytes may not be written before this time, when the pacer is to be asked again.
    WaitUntil(Mono),
}

/// Paces the bytes of large answers so that ordinary answers find a short queue at the link.
///
/// The queue is estimated from what was written, since the kernel does not report the queue of the
/// link. Ordinary answers are counted and never delayed. Large answers:
///
/// - are written only while the queue stays short;
/// - use only their share of the link while ordinary answers are sent;
/// - get a small minimum rate in any case, so that each transfer ends.
#[derive(Debug)]
pub struct LinkPacer {
    config: PacerConfig,
    /// Time at which the link will have sent everything written so far.
    link_free_at: Mono,
    /// Time at which large answers will have used up their share of the link.
    share_free_at: Mono,
    /// Time at which the minimum rate allows the next write, whatever the queue is.
    minimum_at: Mono,
    /// Time of the last ordinary answer.
    ordinary_at: Option<Mono>,
}

impl LinkPacer {
    /// Creates the pacer of an idle link.
    pub fn new(config: PacerConfig) -> Self {
        Self {
            config,
            link_free_at: Mono::ZERO,
            share_free_at: Mono::ZERO,
            minimum_at: Mono::ZERO,
            ordinary_at: None,
        }
    }

    /// Returns the size of the chunks in which large answers are to be written.
    pub fn chunk_size(&self) -> Bytes {
        self.config.chunk_size()
    }

    /// Counts bytes of ordinary answers, which are written without asking.
    pub fn record_ordinary(&mut self, size: Bytes, now: Mono) {
        self.ordinary_at = Some(now);
        self.add_to_queue(size, now);
    }

    /// Counts the head of a large answer, which is written without asking.
    pub fn record_large_head(&mut self, size: Bytes, now: Mono) {
        self.add_to_queue(size, now);
    }

    /// Decides whether `size` bytes of a large answer may be written now.
    ///
    /// Bytes that take longer than the maximum queue may be written when the link is nearly idle.
    pub fn request(&mut self, size: Bytes, now: Mono) -> Pace {
        let at = self.allowed_at(size, now);
        if at > now {
            return Pace::WaitUntil(at);
        }
        self.add_to_queue(size, now);
        let PacerConfig { large_rate, large_rate_min, .. } = self.config;
        // A write that a timer let wait may catch up. What was written while the link was not
        // shared does not count against the share.
        let share_from = self.share_free_at.max(now.minus(self.config.queue_max));
        let share_from = if self.is_shared(now) { share_from } else { now };
        self.share_free_at = share_from.plus(large_rate.time_for(size));
        self.minimum_at = now.plus(large_rate_min.time_for(size));
        Pace::Write
    }

    fn allowed_at(&self, size: Bytes, now: Mono) -> Mono {
        let config = &self.config;
        let own_time = config.link.time_for(size);
        let queue_before = config.queue_max.saturating_sub(own_time).max(config.queue_min);
        let queue_at = self.link_free_at.minus(queue_before);
        let allowed_at = match self.ordinary_at {
            Some(ordinary_at) if self.is_shared(now) => {
                // Without further ordinary answers the share no longer applies after a while.
                queue_at.max(self.share_free_at.min(ordinary_at.plus(config.shared_for)))
            }
            _ => queue_at,
        };
        allowed_at.min(self.minimum_at)
    }

    /// Whether ordinary answers are being sent.
    fn is_shared(&self, now: Mono) -> bool {
        self.ordinary_at.is_some_and(|at| now.since(at) < self.config.shared_for)
    }

    fn add_to_queue(&mut self, size: Bytes, now: Mono) {
        self.link_free_at = self.link_free_at.max(now).plus(self.config.link.time_for(size));
    }
}
