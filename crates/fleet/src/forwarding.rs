//! Selection of the entries to which an entry forwards requests.

use shallotfork_types::FailureDomain;

use crate::advertised::AdvertisedEntry;

/// Returns the entries in the order in which the `number`-th forwarded request tries them: those of
/// the failure domain `own_domain` first, and each in turn within these groups, so that none of them
/// takes over all callers of the forwarding entry.
pub fn forwarding_order<'a>(
    entries: &'a [AdvertisedEntry],
    own_domain: &FailureDomain,
    number: usize,
) -> Vec<&'a AdvertisedEntry> {
    let (local, remote): (Vec<&AdvertisedEntry>, Vec<&AdvertisedEntry>) =
        entries.iter().partition(|entry| entry.failure_domain == *own_domain);
    let rotated = |mut entries: Vec<&'a AdvertisedEntry>| {
        let count = entries.len().max(1);
        entries.rotate_left(number % count);
        entries
    };
    [rotated(local), rotated(remote)].concat()
}
