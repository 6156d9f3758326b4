//! Whether the platform answers, as one entry can tell.

use std::time::Duration;

use shallotfork_types::Mono;

/// How long the word of an entry that reads the platform counts; some heartbeats of the largest
/// fleets.
const WORD_COUNTS_FOR: Duration = Duration::from_millis(2000);
/// Silence of all readers after which an entry reads for itself, beside the time in which their word
/// comes to it. A change has to be in force within the users' 2 to 3 s.
const WORD_MISSED_AFTER: Duration = Duration::from_millis(1500);

/// Added to what another entry has heard, for the way. Two entries that hand a word back and forth
/// would otherwise keep it fresh for ever.
const WAY: Duration = Duration::from_millis(50);

/// What an entry tells others of the platform: times since then, so that it can be passed on without
/// comparing clocks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformAges {
    /// Since it answered somebody; `None` if it is not known to have.
    pub last_answer: Option<Duration>,
    /// Since a reader was heard, whatever it said; `None` for never.
    pub reader_last_seen: Option<Duration>,
    /// For how long it has answered nobody; `None` while it answers.
    pub outage: Option<Duration>,
}

/// What an entry has seen and heard of the platform.
///
/// A platform may turn some VMs away while it serves the others. An entry that is turned away and
/// takes the platform to be down would excuse missing entries of targets as lapsed, and go on
/// sending requests to targets that have left, although the other entries tell it of every change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformAvailability {
    own_lost_at: Option<Mono>,
    others_lost_at: Option<Mono>,
    others_answered_at: Option<Mono>,
    /// When a reader was heard last, whatever it said.
    heard_at: Option<Mono>,
}

impl PlatformAvailability {
    /// Nothing has been seen or heard yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// A call of this entry failed; whether it is the first one.
    pub fn record_failure(&mut self, now: Mono) -> bool {
        let first = self.own_lost_at.is_none();
        self.own_lost_at.get_or_insert(now);
        first
    }

    /// A call of this entry was answered; since when none had been.
    pub fn record_answer(&mut self) -> Option<Mono> {
        self.others_lost_at = None;
        self.own_lost_at.take()
    }

    /// Another entry that reads the platform says whether it answers.
    pub fn told(&mut self, answers: bool, now: Mono) {
        self.heard_at = Some(now);
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
    ///
    /// `way` is how long the readers' word takes to come here. With the same patience everywhere, all
    /// entries would call the platform at the moment at which the first ones begin to do so for them.
    pub fn misses_readers(&self, way: Duration, now: Mono) -> bool {
        now.since(self.heard_at.unwrap_or(Mono::ZERO)) >= WORD_MISSED_AFTER + way
    }

    /// What to tell others; `reads` says that this entry reads the platform now.
    pub fn ages(&self, reads: bool, now: Mono) -> PlatformAges {
        let since = |at: Mono| now.since(at);
        let answers = reads && !self.is_disconnected();
        PlatformAges {
            last_answer: if answers {
                Some(Duration::ZERO)
            } else {
                self.others_answered_at.map(since)
            },
            reader_last_seen: if reads { Some(Duration::ZERO) } else { self.heard_at.map(since) },
            outage: self.outage_started_at(now).map(since),
        }
    }

    /// Takes what another entry has seen and heard.
    ///
    /// Most entries hear the readers only through the first ones of their failure domain; without
    /// this, each would have to call the readers itself, and in a large fleet these would be busy with
    /// nothing else.
    pub fn relayed(&mut self, ages: PlatformAges, now: Mono) {
        let at = |age: Duration| now.minus(age + WAY);
        self.heard_at = self.heard_at.max(ages.reader_last_seen.map(at));
        self.others_answered_at = self.others_answered_at.max(ages.last_answer.map(at));
        if let Some(lost_at) = ages.outage.map(at) {
            self.others_lost_at.get_or_insert(lost_at);
        }
        if self.others_answered_at > self.others_lost_at {
            self.others_lost_at = None;
        }
    }

    /// Whether this entry itself can't read the platform.
    pub fn is_disconnected(&self) -> bool {
        self.own_lost_at.is_some()
    }

    /// Since when the platform has answered nobody that this entry knows of; `None` while it
    /// answers.
    pub fn outage_started_at(&self, now: Mono) -> Option<Mono> {
        let told_lately = |at: Mono| now.since(at) < WORD_COUNTS_FOR;
        if self.others_answered_at.is_some_and(told_lately) {
            return None;
        }
        self.own_lost_at.or(self.others_lost_at)
    }
}
