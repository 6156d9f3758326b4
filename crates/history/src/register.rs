//! The version of one item that holds.

use std::time::Duration;

use shallotfork_types::{Position, Revision};

use crate::version::{Precedence, Version};

/// Time after the adoption of an epoch for which versions of the earlier one are retained. Writers
/// publish again within about 2 s of the platform's return; the rest is the time in which entries notice
/// the return and tell each other what is published then.
pub const SETTLE_TIME: Duration = Duration::from_secs(5);

/// What is known of the copy that the platform was restored from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdoptionContext {
    /// Revision up to which the earlier epoch is known.
    pub known_until: Revision,
    /// Lowest revision seen in the new epoch, which that of the copy does not exceed.
    pub seen_from: Revision,
}

/// One item: the version that the platform publishes, and one of an earlier epoch that holds in its
/// place while there is one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Register<C> {
    published: Version<C>,
    /// Whether the published version is known to have been written in the epoch of its position, so that
    /// it is not that of a copy.
    is_written: bool,
    retained: Option<Retained<C>>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Retained<C> {
    version: Version<C>,
    /// Whether the writer states that this version is later, so that it outlasts the settle time.
    is_later: bool,
}

impl<C: Clone + PartialEq> Register<C> {
    /// Creates a register of a published version.
    pub fn new(published: Version<C>) -> Self {
        Self { published, is_written: false, retained: None }
    }

    /// Returns the version that the platform publishes.
    pub fn published(&self) -> &Version<C> {
        &self.published
    }

    /// Returns the version of an earlier epoch that holds in place of the published one.
    pub fn retained(&self) -> Option<&Version<C>> {
        self.retained.as_ref().map(|retained| &retained.version)
    }

    /// Returns whether the retained version, if there is one, gives way at the end of the settle time.
    pub fn is_unsettled(&self) -> bool {
        self.retained.as_ref().is_some_and(|retained| !retained.is_later)
    }

    /// Returns the content that holds.
    pub fn content(&self) -> Option<&C> {
        self.known().content.as_ref()
    }

    /// Returns the version that holds, at its own position.
    pub fn known(&self) -> &Version<C> {
        self.retained().unwrap_or(&self.published)
    }

    /// Applies a version that follows the published one in the platform's history.
    ///
    /// A writer that publishes again replaces what is retained, unless it repeats an earlier state.
    pub fn write(
        &mut self,
        next: Version<C>,
        judge: impl FnOnce(&Version<C>, &Version<C>) -> Precedence,
    ) {
        if next.position <= self.published.position {
            return;
        }
        let is_later = |retained: &Retained<C>| {
            retained.version.content != next.content
                && judge(&retained.version, &next) == Precedence::Known
        };
        self.retained = self.retained.take().filter(is_later);
        self.published = next;
        self.is_written = true;
    }

    /// Applies the version that a restored platform publishes.
    ///
    /// The revisions up to that of the copy are the same in both epochs. A higher revision than that of
    /// the version before is therefore a later write, and a lower one either the copy's version or a
    /// write that has been given a lower revision.
    pub fn adopt(
        &mut self,
        next: Version<C>,
        context: AdoptionContext,
        judge: impl FnOnce(&Version<C>, &Version<C>) -> Precedence,
    ) {
        if next.position < self.published.position || self.is_unchanged(&next) {
            return;
        }
        let known = self.known().clone();
        let revision = next.position.revision();
        let is_above_known = match self.published.content {
            Some(_) => next.content.is_some() && revision >= self.published.position.revision(),
            None => revision > context.known_until,
        };
        let is_later_write = is_above_known || revision > context.seen_from;
        self.retained = None;
        if known.content != next.content {
            let is_later = match judge(&known, &next) {
                Precedence::Known => Some(true),
                Precedence::Undecided if !is_later_write => Some(false),
                Precedence::Undecided | Precedence::Published => None,
            };
            self.retained = is_later.map(|is_later| Retained { version: known, is_later });
        }
        self.published = next;
        self.is_written = is_later_write;
    }

    /// Retains a version of an earlier epoch that another entry retains, and returns whether the content
    /// that holds has changed.
    pub fn retain(
        &mut self,
        version: Version<C>,
        judge: impl Fn(&Version<C>, &Version<C>) -> Precedence,
    ) -> bool {
        let is_retained = self.retained().is_some_and(|known| {
            known.position >= version.position || judge(known, &version) == Precedence::Known
        });
        if is_retained || self.published.content == version.content {
            return false;
        }
        let published = &self.published;
        let is_same_epoch = published.position.epoch() == version.position.epoch();
        let is_superseded =
            published.position >= version.position && (is_same_epoch || self.is_written);
        let is_later = match judge(&version, published) {
            Precedence::Known => true,
            Precedence::Undecided if !is_superseded => false,
            Precedence::Undecided | Precedence::Published => return false,
        };
        self.retained = Some(Retained { version, is_later });
        true
    }

    /// Ends the settle time: the published version holds, unless the content of the retained one states
    /// that it is later. All changes up to `position` are known. Returns whether the content that holds
    /// has changed.
    pub fn settle(&mut self, position: Position) -> bool {
        let is_unsettled = self.is_unsettled();
        if is_unsettled {
            self.retained = None;
        }
        // The absence of an item that the copy lacks is confirmed up to this position.
        let is_of_copy = self.published.position.revision() == Revision::NONE
            || self.published.position.epoch() < position.epoch();
        if self.published.content.is_none() && is_of_copy {
            self.published.position = position;
            self.is_written = true;
        }
        is_unsettled
    }

    /// Returns whether a restored platform publishes the same version as before, which then keeps its
    /// position of the earlier epoch.
    pub fn is_unchanged(&self, next: &Version<C>) -> bool {
        let is_missing = next.content.is_none() && next.position.revision() == Revision::NONE;
        let is_same_revision = next.position.revision() == self.published.position.revision();
        self.published.content == next.content && (is_same_revision || is_missing)
    }
}
