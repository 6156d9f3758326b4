//! Sealed ledgers of issuers that left, held by their peers.

use std::collections::BTreeSet;

use shallotfork_types::{Incarnation, Mono, VmId};

use crate::{ClaimAnswer, LedgerPart, OnceConfig, OperationId, SealedLedger};

/// More parts than any ledger within its own limits is cut into.
const PARTS_MAX: u32 = 4096;

#[derive(Debug)]
struct Archived {
    ledger: SealedLedger,
    /// Parts still to come; until then an operation that is not listed may be in one of them.
    missing: BTreeSet<u32>,
    size_bytes: u64,
    /// On this process's own clock.
    drop_at: Mono,
}

/// Ledgers that this process answers for; bounded, and dropped once all their sessions ended.
#[derive(Debug)]
pub struct Archive {
    config: OnceConfig,
    ledgers: Vec<Archived>,
}

impl Archive {
    /// Starts empty.
    pub fn new(config: OnceConfig) -> Self {
        Self { config, ledgers: Vec::new() }
    }

    /// Takes a whole ledger; `false` when there is no room, so that the departing VM asks another
    /// peer.
    pub fn add(&mut self, ledger: SealedLedger, now: Mono) -> bool {
        self.add_part(LedgerPart { index: 0, count: 1, ledger }, now)
    }

    /// Takes one part of a ledger, in any order; `false` when there is no room or it is not valid.
    pub fn add_part(&mut self, part: LedgerPart, now: Mono) -> bool {
        self.expire(now);
        let part_bytes = part.ledger.size_bytes();
        let total_bytes = self.size_bytes().saturating_add(part_bytes);
        let fits = total_bytes <= self.config.archived_total_max.value();
        if !fits || part.index >= part.count || part.count > PARTS_MAX {
            return false;
        }
        let (vm, incarnation) = (&part.ledger.vm, part.ledger.incarnation);
        let Some(held) = self.find_mut(vm, incarnation) else {
            return self.begin(part, now);
        };
        if held.missing.remove(&part.index) {
            held.size_bytes += part_bytes;
            held.ledger.merge(part.ledger.sessions);
        }
        true
    }

    fn begin(&mut self, part: LedgerPart, now: Mono) -> bool {
        if self.ledgers.len() >= self.config.archived_ledgers_max {
            return false;
        }
        let size_bytes = part.ledger.size_bytes();
        let mut ledger = part.ledger;
        let sessions = std::mem::take(&mut ledger.sessions);
        let drop_at = now.plus(ledger.session_lifetime);
        ledger.merge(sessions);
        let missing = (0..part.count).filter(|index| *index != part.index).collect();
        self.ledgers.push(Archived { ledger, missing, size_bytes, drop_at });
        true
    }

    /// What the issuer that left would answer; `None` when that is not known here.
    pub fn lookup(&self, operation: &OperationId) -> Option<ClaimAnswer> {
        let session = operation.session();
        let held = self.find(session.issuer(), session.incarnation())?;
        let whole = held.missing.is_empty();
        (whole || held.ledger.lists(operation)).then(|| held.ledger.lookup(operation))
    }

    /// Whole ledgers with the time they are still needed for, to be passed on by a holder that
    /// leaves as well.
    pub fn ledgers_to_forward(&self, now: Mono) -> Vec<SealedLedger> {
        let whole = self.ledgers.iter().filter(|held| held.missing.is_empty());
        whole.map(|held| held.with_time_left(now)).collect()
    }

    /// Drops ledgers whose sessions have all ended.
    pub fn expire(&mut self, now: Mono) {
        self.ledgers.retain(|held| now < held.drop_at);
    }

    /// Number of ledgers held.
    pub fn len(&self) -> usize {
        self.ledgers.len()
    }

    /// Whether no ledger is held.
    pub fn is_empty(&self) -> bool {
        self.ledgers.is_empty()
    }

    fn size_bytes(&self) -> u64 {
        self.ledgers.iter().map(|held| held.size_bytes).sum()
    }

    fn find(&self, vm: &VmId, incarnation: Incarnation) -> Option<&Archived> {
        self.ledgers.iter().find(|held| held.is_of(vm, incarnation))
    }

    fn find_mut(&mut self, vm: &VmId, incarnation: Incarnation) -> Option<&mut Archived> {
        self.ledgers.iter_mut().find(|held| held.is_of(vm, incarnation))
    }
}

impl Archived {
    fn with_time_left(&self, now: Mono) -> SealedLedger {
        let session_lifetime = self.drop_at.since(now);
        SealedLedger { session_lifetime, ..self.ledger.clone() }
    }

    fn is_of(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        &self.ledger.vm == vm && self.ledger.incarnation == incarnation
    }
}
