//! Whether the platform answers, as one entry can tell.

use std::time::Duration;

use shallotfork_types::Mono;

/// How long the word of an entry that reads the platform counts; some heartbeats of the largest
/// fleets.
const WORD_COUNTS_FOR: Duration = Duration::from_millis(2000);
/// Silence of all readers after which an entry reads for itself. The far ones among them are heard
/// every 0.9 s, and a change has to be in force within the users' 2 to 3 s.
const WORD_MISSED_AFTER: Duration = Duration::from_millis(1500);

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
    /// When a reader was heard last, whatever it said.
    heard_at: Mono,
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
        self.heard_at = now;
        if answers {
            self.others_answered_at = Some(now);
            self.others_lost_at = None;
        } else {
            self.others_lost_at.get_or_insert(now);
        }
    }

    /// Whether no reader has been heard for so long that this entry should read for itself.
    ///
    /// When all readers are lost right after a change, before they have told it, those that are left
    /// learn of the loss only by the readers' silence: in a large fleet, whose entries send
    /// heartbeats less often, after 2.7 s. Until then they would go by the old routes. A reader that
    /// is heard, even if only to say that the platform is away, keeps the others from calling it.
    pub fn misses_readers(&self, now: Mono) -> bool {
        now.since(self.heard_at) >= WORD_MISSED_AFTER
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
