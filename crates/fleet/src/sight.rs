//! Whether the platform answers, as one entry can tell.

use std::time::Duration;

use shallotfork_types::Mono;

/// How long the word of an entry that reads the platform counts; some heartbeats of the largest
/// fleets.
const WORD_COUNTS_FOR: Duration = Duration::from_millis(2000);

/// What an entry has seen and heard of the platform.
///
/// A platform may turn some VMs away while it serves the others. An entry that is turned away and
/// takes the platform to be down would excuse missing entries of targets as lapsed, and go on
/// sending requests to targets that have left, although the other entries tell it of every change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformSight {
    own_lost_at: Option<Mono>,
    others_lost_at: Option<Mono>,
    others_answered_at: Option<Mono>,
}

impl PlatformSight {
    /// Nothing has been seen or heard yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// A call of this entry failed; whether it is the first one.
    pub fn failed(&mut self, now: Mono) -> bool {
        let first = self.own_lost_at.is_none();
        self.own_lost_at.get_or_insert(now);
        first
    }

    /// A call of this entry was answered; since when none had been.
    pub fn answered(&mut self) -> Option<Mono> {
        self.others_lost_at = None;
        self.own_lost_at.take()
    }

    /// Another entry that reads the platform says whether it answers.
    pub fn told(&mut self, answers: bool, now: Mono) {
        if answers {
            self.others_answered_at = Some(now);
            self.others_lost_at = None;
        } else {
            self.others_lost_at.get_or_insert(now);
        }
    }

    /// Whether this entry itself can't read the platform.
    pub fn is_blind(&self) -> bool {
        self.own_lost_at.is_some()
    }

    /// Since when the platform has answered nobody that this entry knows of; `None` while it
    /// answers.
    pub fn away_since(&self, now: Mono) -> Option<Mono> {
        let told_lately = |at: Mono| now.since(at) < WORD_COUNTS_FOR;
        if self.others_answered_at.is_some_and(told_lately) {
            return None;
        }
        self.own_lost_at.or(self.others_lost_at)
    }
}
