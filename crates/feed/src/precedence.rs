//! Which of two versions of a published item is later, by what their contents state.

use std::cmp::Ordering;

use shallotfork_history::Precedence;
use shallotfork_roster::{Availability, PublishedState, TargetRecord};

use crate::feed::Decoded;

/// Returns which of two versions of one item is later: `known` of an earlier epoch of the platform, or
/// `published` now.
///
/// Route tables have versions of their own, which never go back. Within one run of its process, a target
/// numbers its records, and does not serve again after it has begun to drain.
pub fn precedence(known: &Decoded, published: &Decoded) -> Precedence {
    match (known, published) {
        (Decoded::Routes { table: known, .. }, Decoded::Routes { table: published, .. }) => {
            if known.version() > published.version() {
                Precedence::Known
            } else {
                Precedence::Published
            }
        }
        (Decoded::Routes { .. }, _) => Precedence::Known,
        (_, Decoded::Routes { .. }) => Precedence::Published,
        (Decoded::Target { change: known, .. }, Decoded::Target { change: published, .. }) => {
            target_precedence(&known.published, &published.published)
        }
        (Decoded::Ignored, _) => Precedence::Published,
        _ => Precedence::Undecided,
    }
}

fn target_precedence(known: &PublishedState, published: &PublishedState) -> Precedence {
    let (PublishedState::Target(known), PublishedState::Target(published)) = (known, published)
    else {
        return Precedence::Undecided;
    };
    if known.started_at_ms.is_none() || known.started_at_ms != published.started_at_ms {
        return Precedence::Undecided;
    }
    let is_draining = |record: &TargetRecord| record.availability == Availability::Draining;
    let order = is_draining(known).cmp(&is_draining(published));
    match order.then(known.sequence.cmp(&published.sequence)) {
        Ordering::Greater => Precedence::Known,
        Ordering::Less => Precedence::Published,
        Ordering::Equal => Precedence::Undecided,
    }
}
