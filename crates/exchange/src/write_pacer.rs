//! Admission of writes of large answers.

use std::fmt::Debug;

use futures::future::BoxFuture;

/// Decides when bytes of large answers may be written, so that they leave room on the link for
/// small answers.
pub trait WritePacer: Debug + Send + Sync {
    /// Waits until `size_bytes` more bytes of a large answer may be written.
    ///
    /// Dropping the future withdraws the request. It is called only when the caller's connection
    /// has taken all bytes acquired before.
    fn acquire(&self, size_bytes: usize) -> BoxFuture<'_, ()>;

    /// Records that bytes which are not paced were handed to the connection.
    fn record_unpaced(&self, size_bytes: usize);
}
