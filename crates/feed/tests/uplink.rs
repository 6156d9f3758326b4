//! Limit on what an entry forwards over its own link.

use std::time::Duration;

use shallotfork_feed::Uplink;
use shallotfork_types::{Bytes, BytesPerSecond, Mono};

const LINK: BytesPerSecond = BytesPerSecond::new(1_000_000);
const PULLS_PER_MS: u64 = 2;

/// Returns the bytes forwarded in two seconds while peers continuously pull items of this size.
fn forwarded_bytes(size: Bytes) -> u64 {
    let mut uplink = Uplink::new(LINK);
    let mut bytes = 0;
    for step in 0..2000 * PULLS_PER_MS {
        let now = Mono::from_millis(step / PULLS_PER_MS);
        if !uplink.is_full(now) {
            uplink.record_sent(size, now);
            bytes += size.value();
        }
    }
    bytes
}

/// Guards against forwarding so much that requests lack bandwidth, for items of any size.
#[test]
fn half_of_the_link_stays_free_for_requests() {
    for size in [300, 20_000, 70_000, 400_000] {
        let bytes = forwarded_bytes(Bytes::new(size));
        let half = u64::from(LINK.value());
        let limit = half + size + half / 5;
        assert!(bytes <= limit, "{bytes} bytes in items of {size}");
        assert!(bytes >= half - half / 10, "{bytes} bytes in items of {size}");
    }
}

/// Guards against an item that exceeds the whole budget and would never be forwarded.
#[test]
fn idle_link_accepts_an_item_of_any_size() {
    let mut uplink = Uplink::new(LINK);
    let start = Mono::from_millis(10);
    assert!(!uplink.is_full(start));
    uplink.record_sent(Bytes::from_mib(4), start);
    assert!(uplink.is_full(start));
    assert!(!uplink.is_full(start.plus(Duration::from_secs(9))));
}
