//! Rendezvous hashing: every process ranks the same nodes alike without talking to the others.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The weight of `node` for `key`; the nodes with the greatest weights are chosen.
///
/// When a node joins or leaves, only the keys that it wins or had won change hands. The hash is
/// FNV-1a over both texts with a 64-bit finaliser; it is the same on every machine and version.
pub fn rendezvous(key: &str, node: &str) -> u64 {
    let separator: &[u8] = &[0];
    let hash = [key.as_bytes(), separator, node.as_bytes()].into_iter().fold(FNV_OFFSET, absorb);
    finalise(hash)
}

fn absorb(hash: u64, part: &[u8]) -> u64 {
    part.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Spreads FNV's weak high bits over the whole word (the finaliser of SplitMix64).
fn finalise(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
