//! A platform that publishes items under keys: how it is read, and what was read last.

mod archive;
mod check;
mod feed;
mod pack;
mod pull_scheduler;
mod uplink;

pub use archive::{Archive, PullResponse};
pub use check::PullError;
pub use feed::{Decoded, Feed, FeedChanges, FeedError, FeedPage, Freshness, RawItem};
pub use pack::{PACK_MIN_BYTES, Packer, pack, unpack};
pub use pull_scheduler::PullScheduler;
pub use uplink::Uplink;
