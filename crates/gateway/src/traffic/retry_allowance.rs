//! This process's part of the fleet's limit on retries and hedges.

use shallotfork_balance::RetryAllowance;
use shallotfork_types::Permille;

use crate::context::Context;

/// Share of the fleet's fixed retry allowance for the advertised entries. After a change of the
/// advertised entry, some callers use the previous one until their cached answer expires, so twice
/// this share must be less than the whole.
const ADVERTISED_SHARE: Permille = Permille::new(450);

/// Returns how many retries and hedges this process may send so that all entries together stay
/// within the limit.
///
/// The proportional part counts requests at the entry that receives them, so each process applies
/// it to its own requests. The fixed part is for the whole fleet: an advertised entry takes a bit
/// less than half of it if it sees most of the fleet, so that two entries that both consider
/// themselves advertised stay within the limit together. Every other entry takes an equal part of
/// the rest.
pub fn retry_allowance(context: &Context) -> RetryAllowance {
    let settings = &context.settings;
    let fleet = context.fleet.load();
    let fleet_extra = u64::from(settings.retry_extra);
    let advertised_total = ADVERTISED_SHARE.of(fleet_extra);
    let advertised_extra = advertised_total / (fleet.advertised.len().max(1) as u64);
    let other_extra = (fleet_extra - 2 * advertised_total) / (fleet.known_entries.max(1) as u64);
    let extra =
        if fleet.is_advertised && fleet.sees_majority() { advertised_extra } else { other_extra };
    RetryAllowance { share: settings.retry_share, extra: u32::try_from(extra).unwrap_or(0) }
}
