//! Validation of published items pulled from another entry.

use shallotfork_types::{Bytes, Position, Revision};
use thiserror::Error;

use crate::archive::{Archive, PullResponse};
use crate::feed::RawItem;

/// Maximum number of items accepted in one response; several times that of the largest platform.
const ITEMS_MAX: usize = 100_000;

/// Reason for rejecting a response to a pull.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PullError {
    /// The response ends before the position known here: the sender is behind, or the response was
    /// delayed.
    #[error("response ends at position {received}, but position {known} is already known")]
    Older {
        /// Position at which the response ends.
        received: Position,
        /// Position known here.
        known: Position,
    },
    /// The responding entry does not tell the epochs of the platform apart.
    #[error("response states no epoch")]
    NoEpoch,
    /// The response is a snapshot without items, although items are published.
    #[error("snapshot contains no items")]
    Empty,
    /// The response has more items than any platform publishes.
    #[error("response has {0} items, which exceeds the limit")]
    TooMany(usize),
    /// Packed content is invalid, differs from its stated size, or is too large.
    #[error("packed content cannot be unpacked to its stated size of {0}")]
    BadPacked(Bytes),
    /// A retained version is not of an earlier epoch than the response.
    #[error("retained version at position {0} is not of an earlier epoch")]
    NotRetained(Position),
    /// An item has no key, or it exists at revision zero.
    #[error("item has an empty key, or exists at revision 0")]
    BadItem,
}

impl Archive {
    /// Validates a response from another entry before it is applied.
    ///
    /// A truncated or stale list would remove every target missing from it, and the service would have
    /// no targets until the next pull.
    ///
    /// # Errors
    /// Returns the reason for the rejection; the items then have to be pulled from another entry.
    pub fn check(&self, response: &PullResponse) -> Result<(), PullError> {
        let PullResponse { changes, is_snapshot, retained, .. } = response;
        let known = self.position();
        if changes.position < known {
            return Err(PullError::Older { received: changes.position, known });
        }
        if *is_snapshot && changes.items.is_empty() {
            return Err(PullError::Empty);
        }
        let count = changes.items.len() + retained.items.len();
        if count > ITEMS_MAX {
            return Err(PullError::TooMany(count));
        }
        let is_bad = |item: &RawItem| {
            let has_revision = item.position.revision() != Revision::NONE;
            item.key.is_empty() || item.content.is_some() && !has_revision
        };
        if changes.items.iter().chain(&retained.items).any(is_bad) {
            return Err(PullError::BadItem);
        }
        let is_earlier = |item: &&RawItem| item.position.epoch() < changes.position.epoch();
        if let Some(item) = retained.items.iter().find(|item| !is_earlier(item)) {
            return Err(PullError::NotRetained(item.position));
        }
        Ok(())
    }
}
