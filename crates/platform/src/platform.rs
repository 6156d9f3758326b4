//! The interface to the platform.

use std::fmt::Debug;
use std::time::Duration;

use async_trait::async_trait;
use shallotfork_types::{Endpoint, ListName, Revision};

use crate::PlatformError;

/// One published list with its content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedList {
    /// The list.
    pub name: ListName,
    /// Revision of its last change.
    pub revision: Revision,
    /// INI for rules, JSON for the others.
    pub content: String,
}

/// What changed after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The replica that answered.
    pub replica: Endpoint,
    /// Revision that the replica is at.
    pub revision: Revision,
    /// Lists that changed; lists of a kind that this version does not know are left out.
    pub lists: Vec<PublishedList>,
}

/// Reads and watches published lists.
#[async_trait]
pub trait Platform: Debug + Send + Sync {
    /// The replica that the next call asks.
    fn replica(&self) -> Endpoint;

    /// Number of replicas.
    fn replica_count(&self) -> usize;

    /// Has the next call ask the next replica. One that lags answers as if nothing had changed, so
    /// that only another one can tell.
    fn switch_replica(&self);

    /// Calls made so far.
    fn call_count(&self) -> u64;

    /// Lists that changed after a revision; waits up to `wait` for a first change.
    ///
    /// # Errors
    /// When the replica asked does not answer in time or answers nonsense. The next call asks the
    /// next replica.
    async fn changes(&self, after: Revision, wait: Duration) -> Result<Changes, PlatformError>;

    /// One list; `None` when it is not published.
    ///
    /// # Errors
    /// As for `changes`.
    async fn read(&self, name: &ListName) -> Result<Option<PublishedList>, PlatformError>;
}
