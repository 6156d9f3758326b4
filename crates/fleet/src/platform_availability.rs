//! Availability of the platform as seen by one entry.

use std::time::Duration;

use shallotfork_types::Mono;

/// Time for which a reader's report that the platform answers stays valid: several heartbeats of
/// the largest fleets.
const ANSWER_VALID_FOR: Duration = Duration::from_millis(2000);
/// Silence of all readers after which an entry reads for itself, in addition to the time that their
/// reports take to reach it. Users require a change to be in force within 2 to 3 s.
const READER_SILENCE_MAX: Duration = Duration::from_millis(1500);

/// Forwarding time added to the ages received from another entry. Without it, two entries that
/// forward the same report to each other would keep it fresh forever.
const FORWARDING_DELAY: Duration = Duration::from_millis(50);

/// What an entry reports about the platform. The values are ages, so that they can be forwarded
/// without comparing clocks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformAges {
    /// Time since the platform answered any entry; `None` if no answer is known.
    pub last_answer: Option<Duration>,
    /// Time since the last message from a reader, whatever it reported; `None` if there was none.
    pub reader_last_seen: Option<Duration>,
    /// Time for which the platform has answered no entry; `None` while it answers.
    pub outage: Option<Duration>,
}

/// What an entry has observed and received about the availability of the platform.
///
/// The platform may reject some VMs while it serves others. If a rejected entry took the platform
/// to be down, it would excuse missing entries of targets as lapsed and keep sending requests to
/// targets that have left, although other entries forward every change to it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformAvailability {
    own_outage_at: Option<Mono>,
    reported_outage_at: Option<Mono>,
    reported_answer_at: Option<Mono>,
    /// Time of the last message from a reader, whatever it reported.
    reader_last_seen_at: Option<Mono>,
}

impl PlatformAvailability {
    /// Creates a state without any observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a failed call of this entry. Returns whether it is the first one since the last
    /// answer.
    pub fn record_failure(&mut self, now: Mono) -> bool {
        let is_first = self.own_outage_at.is_none();
        self.own_outage_at.get_or_insert(now);
        is_first
    }

    /// Records an answered call of this entry. Returns the time of the first failure since the
    /// previous answer, if there was one.
    pub fn record_answer(&mut self) -> Option<Mono> {
        self.reported_outage_at = None;
        self.own_outage_at.take()
    }

    /// Records a reader's report on whether the platform answers it.
    pub fn record_reader_report(&mut self, answers: bool, now: Mono) {
        self.reader_last_seen_at = Some(now);
        if answers {
            self.reported_answer_at = Some(now);
            self.reported_outage_at = None;
        } else {
            self.reported_outage_at.get_or_insert(now);
        }
    }

    /// Returns whether no reader has been seen for so long that this entry should read for itself.
    ///
    /// If all readers are lost right after a change, before they have forwarded it, the remaining
    /// entries detect the loss only by the readers' silence. In a large fleet, whose entries send
    /// heartbeats less often, that takes 2.7 s, during which they would use the old routes. A
    /// reader that is seen keeps the others from calling the platform, even if it only reports an
    /// outage.
    ///
    /// `delay` is the time that the readers' reports take to reach this entry. With the same limit
    /// everywhere, all entries would call the platform at the moment when the first ones start to
    /// read for them.
    pub fn is_missing_readers(&self, delay: Duration, now: Mono) -> bool {
        now.since(self.reader_last_seen_at.unwrap_or(Mono::ZERO)) >= READER_SILENCE_MAX + delay
    }

    /// Returns the ages to report to other entries. `is_reader` states whether this entry currently
    /// reads the platform.
    pub fn ages(&self, is_reader: bool, now: Mono) -> PlatformAges {
        let age = |at: Mono| now.since(at);
        let is_answered = is_reader && !self.is_disconnected();
        PlatformAges {
            last_answer: if is_answered {
                Some(Duration::ZERO)
            } else {
                self.reported_answer_at.map(age)
            },
            reader_last_seen: if is_reader {
                Some(Duration::ZERO)
            } else {
                self.reader_last_seen_at.map(age)
            },
            outage: self.outage_started_at(now).map(age),
        }
    }

    /// Merges the ages reported by an entry that is not a reader.
    ///
    /// Most entries receive the readers' reports only through the leading entries of their failure
    /// domain. Otherwise each would have to call the readers itself, which in a large fleet would
    /// keep them busy with nothing else.
    pub fn merge_ages(&mut self, ages: PlatformAges, now: Mono) {
        let at = |age: Duration| now.minus(age + FORWARDING_DELAY);
        self.reader_last_seen_at = self.reader_last_seen_at.max(ages.reader_last_seen.map(at));
        self.reported_answer_at = self.reported_answer_at.max(ages.last_answer.map(at));
        if let Some(outage_at) = ages.outage.map(at) {
            self.reported_outage_at.get_or_insert(outage_at);
        }
        if self.reported_answer_at > self.reported_outage_at {
            self.reported_outage_at = None;
        }
    }

    /// Returns whether this entry itself is disconnected from the platform.
    pub fn is_disconnected(&self) -> bool {
        self.own_outage_at.is_some()
    }

    /// Returns the time since which the platform has answered no entry, as far as this one knows;
    /// `None` while it answers.
    pub fn outage_started_at(&self, now: Mono) -> Option<Mono> {
        let is_recent = |at: Mono| now.since(at) < ANSWER_VALID_FOR;
        if self.reported_answer_at.is_some_and(is_recent) {
            return None;
        }
        self.own_outage_at.or(self.reported_outage_at)
    }
}
