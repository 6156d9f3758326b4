//! The interface to a platform that publishes items under keys.

use std::fmt::Debug;
use std::time::Duration;

use async_trait::async_trait;
use shallotfork_evacuation::EvacuationChange;
use shallotfork_roster::TargetChange;
use shallotfork_routes::RouteTable;
use shallotfork_types::Revision;
use thiserror::Error;

/// How old an answer may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// As of the call.
    Latest,
    /// Possibly seconds old; cheaper for the platform.
    MayBeStale,
}

/// One published item as it lies on the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawItem {
    /// Its key.
    pub key: String,
    /// Revision of its last change.
    pub revision: Revision,
    /// Its bytes; `None` once it was removed.
    pub content: Option<Vec<u8>>,
}

/// Some of the items, in order of their keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedPage {
    /// The items.
    pub items: Vec<RawItem>,
    /// Revision of the platform when it answered; items of later pages may be newer.
    pub revision: Revision,
    /// The key after which the next page begins; `None` on the last one.
    pub next_after: Option<String>,
}

/// What changed after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedChanges {
    /// Changed and removed items in the order of their revisions.
    pub items: Vec<RawItem>,
    /// The revision from which to go on.
    pub revision: Revision,
}

/// Why a call to the platform brought nothing.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FeedError {
    /// No answer, or a broken connection.
    #[error("the platform can't be reached: {0}")]
    Unreachable(String),
    /// It answered that it can't serve now.
    #[error("the platform turns this process away with status {0}")]
    Rejected(u16),
    /// The changes after that revision are no longer kept.
    #[error("the platform no longer keeps the changes after the revision")]
    HistoryLost,
    /// The answer is not in the platform's protocol.
    #[error("the platform's answer can't be read: {0}")]
    Unreadable(String),
}

/// What an item says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decoded {
    /// A table of routes.
    Routes {
        /// The table.
        table: RouteTable,
        /// What in it is not valid and was left out.
        ignored: Vec<String>,
    },
    /// A table of routes that can't be used; the one in force stays.
    BadRoutes(String),
    /// What became of a target's entry.
    Target {
        /// The change.
        change: TargetChange,
        /// What in the entry is not valid and was left out.
        ignored: Option<String>,
    },
    /// What became of the evacuation of a failure domain.
    Evacuation(EvacuationChange),
    /// A request to evacuate that can't be read.
    BadEvacuation {
        /// Why.
        reason: String,
        /// The change, if the failure domain is known.
        change: Option<EvacuationChange>,
    },
    /// Nothing that concerns this process.
    Ignored,
}

/// Reads what is published. No call retries, waits or caches: that is decided by the caller, who also
/// says after how much silence a call is given up. How long an answer takes as a whole depends on its
/// size and on the link of the VM.
#[async_trait]
pub trait Feed: Debug + Send + Sync {
    /// Reads the items whose keys come after `after`, or the first ones.
    async fn page(
        &self,
        after: Option<&str>,
        freshness: Freshness,
        silence_max: Duration,
    ) -> Result<FeedPage, FeedError>;

    /// Waits up to `wait` for items that changed after a revision; with none it answers empty. The
    /// wait does not count as silence.
    async fn changes(
        &self,
        after: Revision,
        wait: Duration,
        silence_max: Duration,
    ) -> Result<FeedChanges, FeedError>;

    /// Reads one item.
    fn decode(&self, item: &RawItem) -> Decoded;
}
