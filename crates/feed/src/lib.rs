//! Reading of published items from the platform, and distribution of them between entries.

mod archive;
mod check;
mod feed;
mod ignored_element;
mod pack;
mod precedence;
mod pull_scheduler;
mod restore;
mod uplink;

pub use archive::{Archive, Judge, PullResponse};
pub use check::PullError;
pub use feed::{Decoded, Feed, FeedChanges, FeedError, FeedPage, Freshness, RawItem};
pub use ignored_element::{ElementKind, IgnoredElement};
pub use pack::{PACK_MIN_BYTES, Packer, pack, unpack};
pub use precedence::precedence;
pub use pull_scheduler::PullScheduler;
pub use restore::Retained;
pub use uplink::Uplink;
