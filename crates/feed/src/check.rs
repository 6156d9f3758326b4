//! Whether published items from another entry may be taken.

use shallotfork_types::{Bytes, Revision};
use thiserror::Error;

use crate::archive::{Archive, Told};

/// Items that are taken at once: several times those of the largest platform.
const ITEMS_MAX: usize = 100_000;

/// Why what another entry told is not taken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TellError {
    /// It ends before what is known here: the teller has lost its place, or the answer came late.
    #[error("it ends at revision {told}, and {known} is known here")]
    Older {
        /// Where it ends.
        told: Revision,
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
    pub fn check(&self, told: &Told) -> Result<(), TellError> {
        let Told { changes, whole } = told;
        let known = self.position();
        if changes.revision < known {
            return Err(TellError::Older { told: changes.revision, known });
        }
        if *whole && changes.items.is_empty() {
            return Err(TellError::Empty);
        }
        if changes.items.len() > ITEMS_MAX {
            return Err(TellError::TooMany(changes.items.len()));
        }
        let bad = |revision: Revision, key: &str| key.is_empty() || revision == Revision::NONE;
        if changes.items.iter().any(|item| bad(item.revision, &item.key)) {
            return Err(TellError::BadItem);
        }
        Ok(())
    }
}
