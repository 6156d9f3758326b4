//! Interface to a platform that publishes items under keys.

use std::fmt::Debug;
use std::time::Duration;

use async_trait::async_trait;
use shallotfork_evacuation::EvacuationChange;
use shallotfork_roster::TargetChange;
use shallotfork_routes::{RouteTable, TableVersion};
use shallotfork_types::{Epoch, Position};
use thiserror::Error;

use crate::ignored_element::IgnoredElement;

/// How old a response of the platform may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Up to date as of the call.
    Latest,
    /// Possibly some seconds old; cheaper for the platform.
    MayBeStale,
}

/// One published item as stored on the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawItem {
    /// Key of the item.
    pub key: String,
    /// Position of the item's last change.
    pub position: Position,
    /// Content of the item; `None` if it was removed.
    pub content: Option<Vec<u8>>,
}

/// One page of published items, ordered by key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedPage {
    /// Items of this page.
    pub items: Vec<RawItem>,
    /// Position of the platform at the time of the response; items on later pages may be newer.
    pub position: Position,
    /// Key after which the next page begins; `None` on the last page.
    pub next_after: Option<String>,
}

/// Changes after a position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedChanges {
    /// Changed and removed items, ordered by position.
    pub items: Vec<RawItem>,
    /// Position after which the next incremental read continues. If its epoch is later than the
    /// requested one, changes are missing.
    pub position: Position,
}

/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FeedError {
    /// The platform did not respond, or the connection broke.
    #[error("platform is unreachable: {0}")]
    Unreachable(String),
    /// The platform rejected the call with this HTTP status.
    #[error("platform rejected the call with status {0}")]
    Rejected(u16),
    /// The platform no longer has the changes after the requested revision: it has discarded them, or
    /// was restored from a copy.
    #[error("platform no longer has the changes after the requested revision")]
    HistoryLost {
        /// Epoch of the platform that answered.
        epoch: Epoch,
    },
    /// The answer belongs to an earlier epoch than the known one.
    #[error("answer belongs to epoch {epoch}, but epoch {known} is known")]
    OutdatedEpoch {
        /// Epoch of the answer.
        epoch: Epoch,
        /// Epoch that is known here.
        known: Epoch,
    },
    /// The response does not follow the platform's protocol.
    #[error("platform response is not readable: {0}")]
    Unreadable(String),
}

/// Decoded content of a published item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decoded {
    /// A route table.
    Routes {
        /// The decoded table.
        table: RouteTable,
        /// Elements of the item that are not used as published.
        ignored: Vec<IgnoredElement>,
    },
    /// A route table that is unusable as a whole; the one in force stays.
    BadRoutes {
        /// Version of the table, if it can be read.
        version: Option<TableVersion>,
        /// Reason for the failure.
        reason: String,
    },
    /// A change of a target's published item.
    Target {
        /// The change to apply.
        change: TargetChange,
        /// The item, or the part of it, that is not used as published.
        ignored: Option<IgnoredElement>,
    },
    /// A change of the evacuation of a failure domain.
    Evacuation(EvacuationChange),
    /// An evacuation request that cannot be decoded.
    BadEvacuation {
        /// The request, with the reason for the failure.
        ignored: IgnoredElement,
        /// Change to apply, if the failure domain is known.
        change: Option<EvacuationChange>,
    },
    /// An item that does not concern this process.
    Ignored,
}

/// Reads published items from a platform.
///
/// No call retries, waits or caches; that is up to the calling code. It also sets `silence_max`, the
/// longest time without received data after which a call fails. The total duration of a response depends
/// on its size and on the link of the VM.
#[async_trait]
pub trait Feed: Debug + Send + Sync {
    /// Reads the page of items whose keys sort after `after`, or the first page if it is `None`.
    async fn page(
        &self,
        after: Option<&str>,
        freshness: Freshness,
        silence_max: Duration,
    ) -> Result<FeedPage, FeedError>;

    /// Waits up to `wait` for items that changed after a position, and returns an empty response if
    /// there are none. The wait does not count as silence.
    async fn changes(
        &self,
        after: Position,
        wait: Duration,
        silence_max: Duration,
    ) -> Result<FeedChanges, FeedError>;

    /// Decodes the content of one item.
    fn decode(&self, item: &RawItem) -> Decoded;
}
