//! Division of a service's slots among the advertised entries by demand.
//!
//! This is for callers that are spread unevenly over the entries, or that move between failure
//! domains: with an equal division a busy entry refuses requests while others leave part of their
//! share unused. The division differs from the equal one only if the demand of every entry is known
//! and that of some entry differs by more than a quarter from the mean.
//!
//! The division depends on nothing but the demands, so entries that know the same demands compute
//! shares that add up to at most one. It is also continuous: a small change of demand changes the
//! shares little, so noise can't make them jump between two divisions. Hysteresis is applied where
//! demand is reported, before all entries use the same report.

use shallotfork_measure::{SharerDemand, demand_noise_per_s};
use shallotfork_types::PartsPerMillion;

/// Divisor of the equal share that gives the least share of an entry. It lets an entry that callers
/// move to serve some requests before its demand is known to the others.
const FLOOR_DIVISOR: f64 = 4.0;
/// Deviation from the mean, as a share of it, up to which demand counts as even.
const EVEN_DEVIATION: f64 = 0.25;
/// Deviation that is expected from chance, in standard deviations of the smoothed demand. With 216
/// entries, fewer than one evaluation in fifty exceeds it somewhere by chance.
const NOISE_DEVIATIONS: f64 = 4.0;
/// Range of deviations beyond the even ones over which the shares change from equal to proportional.
const TRANSITION_DEVIATION: f64 = 0.25;
const MILLION: f64 = 1e6;

/// Division of a service's slots.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlotShares {
    /// All entries have equal shares.
    Equal,
    /// Share of each entry, in the order of the demands.
    ByDemand(Vec<PartsPerMillion>),
}

impl SlotShares {
    /// Returns the share of an entry; `None` if the shares are equal.
    pub fn share(&self, index: usize) -> Option<PartsPerMillion> {
        match self {
            Self::Equal => None,
            Self::ByDemand(shares) => shares.get(index).copied(),
        }
    }
}

/// Divides the slots of a service among entries with the given demands.
///
/// An entry that joins has the least share. The shares are proportional to demand, with that
/// minimum, if some entry deviates far from the mean, and pass gradually to equal ones if the
/// largest deviation is smaller.
pub fn divide_slots(demands: &[SharerDemand]) -> SlotShares {
    let rates: Option<Vec<f64>> = demands.iter().map(known_rate).collect();
    let Some(rates) = rates else { return SlotShares::Equal };
    let mean = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
    if mean <= 0.0 {
        return SlotShares::Equal;
    }
    let deviation = rates.iter().map(|rate| (rate - mean).abs() / mean).fold(0.0, f64::max);
    let even_deviation = EVEN_DEVIATION.max(NOISE_DEVIATIONS * demand_noise_per_s(mean) / mean);
    if deviation <= even_deviation {
        return SlotShares::Equal;
    }
    let weight = ((deviation - even_deviation) / TRANSITION_DEVIATION).min(1.0);
    let equal = 1.0 / rates.len() as f64;
    let proportional = proportional_shares(&rates, equal / FLOOR_DIVISOR);
    let blended = proportional.iter().map(|share| equal + (share - equal) * weight);
    SlotShares::ByDemand(blended.map(parts_per_million).collect())
}

fn known_rate(demand: &SharerDemand) -> Option<f64> {
    match demand {
        SharerDemand::Known(rate) => Some(rate.per_s()),
        SharerDemand::Joining => Some(0.0),
        SharerDemand::Unknown => None,
    }
}

/// Returns shares that are proportional to the rates, but at least `floor`. They add up to one.
fn proportional_shares(rates: &[f64], floor: f64) -> Vec<f64> {
    let mut by_rate: Vec<usize> = (0..rates.len()).collect();
    by_rate.sort_by(|a, b| rates[*a].total_cmp(&rates[*b]));
    let mut shares = vec![floor; rates.len()];
    let mut rest_share = 1.0;
    let mut rest_rate: f64 = rates.iter().sum();
    for index in by_rate {
        // Once an entry is above the minimum, so are all with more demand.
        let share = rest_share * rates[index] / rest_rate;
        if share > floor {
            shares[index] = share;
        } else {
            rest_share -= floor;
            rest_rate -= rates[index];
        }
    }
    shares
}

/// Rounds down, so that the shares add up to at most one.
fn parts_per_million(share: f64) -> PartsPerMillion {
    PartsPerMillion::new((share * MILLION) as u32)
}
