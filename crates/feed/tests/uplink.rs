//! What an entry hands on over its own link.

use std::time::Duration;

use shallotfork_feed::Uplink;
use shallotfork_types::{Bytes, BytesPerSecond, Mono};

const LINK: BytesPerSecond = BytesPerSecond::new(1_000_000);
const READERS_PER_MS: u64 = 2;

/// Bytes handed on in two seconds to entries that ask for so much all the time.
fn handed_on(size: Bytes) -> u64 {
    let mut uplink = Uplink::new(LINK);
    let mut bytes = 0;
    for step in 0..2000 * READERS_PER_MS {
        let now = Mono::from_millis(step / READERS_PER_MS);
        if !uplink.is_full(now) {
            uplink.record_sent(size, now);
            bytes += size.value();
        }
    }
    bytes
}

/// Guards against handing on more than the link carries beside requests, whatever the size of the
/// items.
#[test]
fn half_of_the_link_is_left_whatever_others_ask_for() {
    for size in [300, 20_000, 70_000, 400_000] {
        let bytes = handed_on(Bytes::new(size));
        let half = u64::from(LINK.value());
        let one_more = half + size + half / 5;
        assert!(bytes <= one_more, "{bytes} bytes in items of {size}");
        assert!(bytes >= half - half / 10, "{bytes} bytes in items of {size}");
    }
}

/// Guards against an item that is larger than the whole allowance and would never be handed on.
#[test]
fn an_item_of_any_size_is_handed_on_over_a_free_link() {
    let mut uplink = Uplink::new(LINK);
    let start = Mono::from_millis(10);
    assert!(!uplink.is_full(start));
    uplink.record_sent(Bytes::from_mib(4), start);
    assert!(uplink.is_full(start));
    assert!(!uplink.is_full(start.plus(Duration::from_secs(9))));
}
