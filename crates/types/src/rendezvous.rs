//! Rendezvous hashing: processes that know the same names make the same choice.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Separates the two names, so that ("ab", "c") and ("a", "bc") differ; names cannot contain it.
const SEPARATOR: u8 = 0;

/// Returns the weight of `candidate` for `key`; the candidate with the highest weight is chosen.
///
/// All processes of a fleet must compute the same weights, so the function must never change with the
/// architecture or the build. It applies FNV-1a and then the finaliser of `MurmurHash3`, so that
/// similar names get unrelated weights.
pub fn rendezvous_weight(key: &str, candidate: &str) -> u64 {
    let bytes = key.bytes().chain([SEPARATOR]).chain(candidate.bytes());
    let hash =
        bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    finalise(hash)
}

fn finalise(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
