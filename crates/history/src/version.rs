//! Versions of an item.

use shallotfork_types::Position;

/// Version of an item as of a position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Version<C> {
    /// Position of the change that made this version.
    pub position: Position,
    /// Content of the item; `None` if it was removed.
    pub content: Option<C>,
}

/// Which of two versions of an item is later, by what their writer states in them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precedence {
    /// The version known from an earlier epoch.
    Known,
    /// The version that the platform publishes now.
    Published,
    /// The contents do not tell.
    Undecided,
}
