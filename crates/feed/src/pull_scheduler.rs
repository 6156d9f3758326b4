//! When to read from another entry what it knows beyond this one.

use std::time::Duration;

use shallotfork_types::{Mono, Revision};

/// How long one reading keeps others from beginning while nothing of its answer comes.
const PATIENCE: Duration = Duration::from_millis(300);

/// Lets one reading begin at a time, near ones first.
///
/// All entries that know a change say so at about the same time, and one of them suffices. One in
/// another failure domain is read from only if nobody near knows the change by the time that it takes
/// to spread there: each change would cross once for every entry otherwise.
#[derive(Debug, Default)]
pub struct PullScheduler {
    /// When the reading in progress began, or a part of its answer came.
    heard_at: Option<Mono>,
    /// What a far entry was heard to know beyond this one, and when.
    far: Option<(Revision, Mono)>,
}

impl PullScheduler {
    /// Nothing is being read.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a reading may begin now; it counts as begun if so.
    ///
    /// An entry that loses power while it is being read from does not answer any more, and its
    /// connection does not break. Whoever went on waiting for it for the whole time of a long
    /// transfer, 5 s, would go by the old routes and targets for as long, although all others tell
    /// it that they know more. So another reading may begin when nothing more comes of one.
    pub fn try_begin(&mut self, now: Mono) -> bool {
        let busy = self.heard_at.is_some_and(|at| now.since(at) < PATIENCE);
        if !busy {
            self.heard_at = Some(now);
        }
        !busy
    }

    /// The reading goes on: a part of the answer has come.
    pub fn record_progress(&mut self, now: Mono) {
        if let Some(at) = &mut self.heard_at {
            *at = now;
        }
    }

    /// A reading has ended, with or without an answer.
    pub fn end(&mut self) {
        self.heard_at = None;
    }

    /// Whether a far entry was heard to know more than this one does now.
    pub fn is_behind_other_domain(&self, own: Revision) -> bool {
        self.far.is_some_and(|(known, _)| known > own)
    }

    /// A far entry knows everything up to `known`, and this one up to `own`; whether it should be
    /// read from, since `spread` was not enough for the change to reach anybody near.
    pub fn should_pull_from_other_domain(
        &mut self,
        known: Revision,
        own: Revision,
        spread: Duration,
        now: Mono,
    ) -> bool {
        if known <= own {
            return false;
        }
        match self.far {
            Some((missed, at)) if missed > own => now.since(at) >= spread,
            _ => {
                self.far = Some((known, now));
                false
            }
        }
    }
}
