//! Whether published items from another entry may be taken.

use shallotfork_types::{Bytes, Revision};
use thiserror::Error;

use crate::archive::{Archive, PullResponse};

/// Items that are taken at once: several times those of the largest platform.
const ITEMS_MAX: usize = 100_000;

/// Why what another entry told is not taken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PullError {
    /// It ends before what is known here: the teller has lost its place, or the answer came late.
    #[error("it ends at revision {received}, and {known} is known here")]
    Older {
        /// Where it ends.
        received: Revision,
        /// What is known.
        known: Revision,
    },
    /// It says that nothing is published, though something is.
    #[error("it says that nothing is published")]
    Empty,
    /// It has more items than any platform publishes.
    #[error("it has {0} items, more than are taken at once")]
    TooMany(usize),
    /// A packed item is not what it says, or too large.
    #[error("an item can't be unpacked to {0} bytes")]
    BadPacked(Bytes),
    /// An item has no key, or revision zero.
    #[error("an item has no key or no revision")]
    BadItem,
}

impl Archive {
    /// Whether to take what another entry has told.
    ///
    /// A list that is cut short or stale would end every target that it lacks, and the service would
    /// have none until the next reading.
    ///
    /// # Errors
    /// The reason, after which the items are to be asked for elsewhere.
    pub fn check(&self, told: &PullResponse) -> Result<(), PullError> {
        let PullResponse { changes, is_snapshot } = told;
        let known = self.position();
        if changes.revision < known {
            return Err(PullError::Older { received: changes.revision, known });
        }
        if *is_snapshot && changes.items.is_empty() {
            return Err(PullError::Empty);
        }
        if changes.items.len() > ITEMS_MAX {
            return Err(PullError::TooMany(changes.items.len()));
        }
        let bad = |revision: Revision, key: &str| key.is_empty() || revision == Revision::NONE;
        if changes.items.iter().any(|item| bad(item.revision, &item.key)) {
            return Err(PullError::BadItem);
        }
        Ok(())
    }
}
