//! From which revision the platform is watched.

use shallotfork_types::Revision;

/// Follows one replica of the platform at a time.
#[derive(Debug, Default)]
pub struct Cursor {
    after: Revision,
    highest: Revision,
}

/// How the platform's revision relates to what was seen before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The platform is at the highest revision seen, or beyond.
    Current,
    /// The platform is below a revision that it has shown before: stale, or rolled back.
    Behind {
        /// Highest revision seen.
        highest: Revision,
    },
}

impl Cursor {
    /// A cursor that begins with a full read.
    pub fn new() -> Self {
        Self::default()
    }

    /// The revision after which changes are asked for; `Revision::NONE` asks for every list.
    pub fn after(&self) -> Revision {
        self.after
    }

    /// The highest revision that the platform, or a peer, was seen at.
    pub fn highest(&self) -> Revision {
        self.highest
    }

    /// Takes note of an answer to a question for changes after `asked_after`.
    ///
    /// A platform restored from a backup answers with a lower revision and then counts up again
    /// with other contents. Going on from the old revision would skip what is published until the
    /// count passes it; so the next question asks for every list, and the tracker sorts them out.
    pub fn answered(&mut self, asked_after: Revision, platform: Revision) -> Answer {
        self.after = if platform < asked_after { Revision::NONE } else { platform };
        if platform < self.highest {
            return Answer::Behind { highest: self.highest };
        }
        self.highest = platform;
        Answer::Current
    }

    /// Takes note that another replica is asked from now on.
    ///
    /// Its contents may differ from the last replica's at the same revision; a full read shows it.
    pub fn switched(&mut self) {
        self.after = Revision::NONE;
    }

    /// Takes note of a revision that a peer has seen; it does not move the watch.
    pub fn heard(&mut self, revision: Revision) {
        self.highest = self.highest.max(revision);
    }
}
