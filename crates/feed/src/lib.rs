//! A platform that publishes items under keys: how it is read, and what was read last.

mod archive;
mod catch_up;
mod check;
mod feed;
mod pack;
mod uplink;

pub use archive::{Archive, Told};
pub use catch_up::CatchUp;
pub use check::TellError;
pub use feed::{Decoded, Feed, FeedChanges, FeedError, FeedPage, Freshness, RawItem};
pub use pack::{PACK_FROM, Packer, pack, unpack};
pub use uplink::Uplink;
