//! Scheduling of pulls from other entries that have newer published items.

use std::time::Duration;

use shallotfork_types::{Mono, Position};

/// Time without received data after which a pull no longer prevents another one from beginning.
const PULL_IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which an entry that has left its first read to others pulls from its own failure domain only.
/// The leading entries there need about a second to read all items.
const FIRST_LOCAL_WAIT: Duration = Duration::from_millis(2000);

/// Limits pulls to one at a time and prefers entries in the own failure domain.
///
/// All entries that have a change advertise it at about the same time, and pulling from one of them
/// suffices. An entry in another failure domain is used only if the change has not reached the own
/// domain within the time that propagation takes; otherwise each change would be transferred between
/// domains once per entry.
#[derive(Debug, Default)]
pub struct PullScheduler {
    /// Time of the start of the current pull, or of the last data received from it.
    last_progress_at: Option<Mono>,
    /// Newer position advertised by an entry in another failure domain, and when it was received.
    newer_elsewhere: Option<(Position, Mono)>,
}

impl PullScheduler {
    /// Creates a scheduler without a running pull.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a pull may begin now, and if so records it as begun.
    ///
    /// An entry that loses power during a pull stops responding without closing the connection.
    /// Waiting for the full timeout of a long transfer, 5 s, would leave outdated routes and targets in
    /// force for that time, although other entries advertise newer ones. Therefore another pull may
    /// begin once the current one receives no more data.
    pub fn try_begin(&mut self, now: Mono) -> bool {
        let in_progress = self.last_progress_at.is_some_and(|at| now.since(at) < PULL_IDLE_TIMEOUT);
        if !in_progress {
            self.last_progress_at = Some(now);
        }
        !in_progress
    }

    /// Returns whether an entry that has left its first read to others may pull from an entry in another
    /// failure domain, given how long it has waited. At a start of all, every item would otherwise cross
    /// domains once per entry.
    pub fn may_pull_first_from_other_domain(waited: Duration) -> bool {
        waited >= FIRST_LOCAL_WAIT
    }

    /// Records that the current pull received a part of the response.
    pub fn record_progress(&mut self, now: Mono) {
        if let Some(at) = &mut self.last_progress_at {
            *at = now;
        }
    }

    /// Records that the current pull has ended, with or without a response.
    pub fn end(&mut self) {
        self.last_progress_at = None;
    }

    /// Returns whether an entry in another failure domain has advertised a position after `own`.
    pub fn is_behind_other_domain(&self, own: Position) -> bool {
        self.newer_elsewhere.is_some_and(|(known, _)| known > own)
    }

    /// Records that an entry in another failure domain has position `known`, and returns whether to pull
    /// from it because the change has not reached the own domain within `propagation_time`.
    pub fn should_pull_from_other_domain(
        &mut self,
        known: Position,
        own: Position,
        propagation_time: Duration,
        now: Mono,
    ) -> bool {
        if known <= own {
            return false;
        }
        match self.newer_elsewhere {
            Some((missed, at)) if missed > own => now.since(at) >= propagation_time,
            _ => {
                self.newer_elsewhere = Some((known, now));
                false
            }
        }
    }
}
