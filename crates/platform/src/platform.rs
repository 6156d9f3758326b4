//! Interface of the platform.

use std::fmt::Debug;
use std::time::Duration;

use async_trait::async_trait;
use shallotfork_types::{Endpoint, ListName, Position, Revision};

use crate::PlatformError;

/// Published list with its content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedList {
    /// Name of the list.
    pub name: ListName,
    /// Revision of its last change.
    pub revision: Revision,
    /// INI text for rules, JSON text for the other lists.
    pub content: String,
}

/// Lists that changed after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Replica that answered.
    pub replica: Endpoint,
    /// Current position of the replica.
    pub position: Position,
    /// Changed lists, without lists of kinds unknown to this version.
    pub lists: Vec<PublishedList>,
}

/// Reads and watches published lists.
#[async_trait]
pub trait Platform: Debug + Send + Sync {
    /// Returns the replica that the next call goes to.
    fn replica(&self) -> Endpoint;

    /// Returns the number of replicas.
    fn replica_count(&self) -> usize;

    /// Switches to the next replica. A replica that lags answers as if nothing had changed; only
    /// another replica shows the difference.
    fn switch_replica(&self);

    /// Returns the number of calls made so far.
    fn call_count(&self) -> u64;

    /// Returns the lists that changed after a revision; waits up to `wait` for a first change.
    ///
    /// # Errors
    /// Returns an error if the replica does not answer in time or its answer is invalid. The next
    /// call goes to the next replica.
    async fn changes(&self, after: Revision, wait: Duration) -> Result<Changes, PlatformError>;

    /// Returns one list; `None` if it is not published.
    ///
    /// # Errors
    /// Fails in the same cases as `changes`.
    async fn read(&self, name: &ListName) -> Result<Option<PublishedList>, PlatformError>;
}
