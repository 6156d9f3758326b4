//! Archive of sealed ledgers of issuers that have left, held by their peers.

use std::collections::BTreeSet;

use shallotfork_types::{Incarnation, Mono, VmId};

use crate::{ClaimAnswer, LedgerPart, OnceConfig, OperationId, SealedLedger};

/// Maximum number of parts of one ledger; a ledger within its own limits has fewer.
const PARTS_MAX: u32 = 4096;

#[derive(Debug)]
struct Archived {
    ledger: SealedLedger,
    /// Indexes of parts not received yet; an operation that is not listed may be in one of them.
    missing_parts: BTreeSet<u32>,
    size_bytes: u64,
    /// Time on this process's clock after which the ledger is dropped.
    drop_at: Mono,
}

/// Sealed ledgers for which this process answers lookups. Their number and size are limited, and each is
/// dropped once all its sessions have ended.
#[derive(Debug)]
pub struct Archive {
    config: OnceConfig,
    ledgers: Vec<Archived>,
}

impl Archive {
    /// Creates an empty archive.
    pub fn new(config: OnceConfig) -> Self {
        Self { config, ledgers: Vec::new() }
    }

    /// Adds a complete ledger. Returns `false` if it exceeds the limits, so that the departing VM tries
    /// another peer.
    pub fn add(&mut self, ledger: SealedLedger, now: Mono) -> bool {
        self.add_part(LedgerPart { index: 0, count: 1, ledger }, now)
    }

    /// Adds one part of a ledger; parts may arrive in any order. Returns `false` if the part is invalid or
    /// exceeds the limits.
    pub fn add_part(&mut self, part: LedgerPart, now: Mono) -> bool {
        self.expire(now);
        let part_bytes = part.ledger.size_bytes();
        let total_bytes = self.size_bytes().saturating_add(part_bytes);
        let fits = total_bytes <= self.config.archived_total_max.value();
        if !fits || part.index >= part.count || part.count > PARTS_MAX {
            return false;
        }
        let (vm, incarnation) = (&part.ledger.vm, part.ledger.incarnation);
        let Some(archived) = self.find_mut(vm, incarnation) else {
            return self.add_first_part(part, now);
        };
        if archived.missing_parts.remove(&part.index) {
            archived.size_bytes += part_bytes;
            archived.ledger.merge(part.ledger.sessions);
        }
        true
    }

    fn add_first_part(&mut self, part: LedgerPart, now: Mono) -> bool {
        if self.ledgers.len() >= self.config.archived_ledgers_max {
            return false;
        }
        let size_bytes = part.ledger.size_bytes();
        let mut ledger = part.ledger;
        let sessions = std::mem::take(&mut ledger.sessions);
        let drop_at = now.plus(ledger.session_lifetime);
        ledger.merge(sessions);
        let missing_parts = (0..part.count).filter(|index| *index != part.index).collect();
        self.ledgers.push(Archived { ledger, missing_parts, size_bytes, drop_at });
        true
    }

    /// Returns the answer that the departed issuer would give; `None` if it is not known here.
    pub fn lookup(&self, operation: &OperationId) -> Option<ClaimAnswer> {
        let session = operation.session();
        let archived = self.find(session.issuer(), session.incarnation())?;
        let is_complete = archived.missing_parts.is_empty();
        (is_complete || archived.ledger.contains(operation))
            .then(|| archived.ledger.lookup(operation))
    }

    /// Returns the complete ledgers with their remaining lifetimes, so that a holder that leaves too can
    /// forward them.
    pub fn ledgers_to_forward(&self, now: Mono) -> Vec<SealedLedger> {
        let complete = self.ledgers.iter().filter(|archived| archived.missing_parts.is_empty());
        complete.map(|archived| archived.with_remaining_lifetime(now)).collect()
    }

    /// Drops the ledgers whose sessions have all ended.
    pub fn expire(&mut self, now: Mono) {
        self.ledgers.retain(|archived| now < archived.drop_at);
    }

    /// Returns the number of ledgers held.
    pub fn len(&self) -> usize {
        self.ledgers.len()
    }

    /// Returns whether no ledger is held.
    pub fn is_empty(&self) -> bool {
        self.ledgers.is_empty()
    }

    fn size_bytes(&self) -> u64 {
        self.ledgers.iter().map(|archived| archived.size_bytes).sum()
    }

    fn find(&self, vm: &VmId, incarnation: Incarnation) -> Option<&Archived> {
        self.ledgers.iter().find(|archived| archived.is_from(vm, incarnation))
    }

    fn find_mut(&mut self, vm: &VmId, incarnation: Incarnation) -> Option<&mut Archived> {
        self.ledgers.iter_mut().find(|archived| archived.is_from(vm, incarnation))
    }
}

impl Archived {
    fn with_remaining_lifetime(&self, now: Mono) -> SealedLedger {
        let session_lifetime = self.drop_at.since(now);
        SealedLedger { session_lifetime, ..self.ledger.clone() }
    }

    fn is_from(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        &self.ledger.vm == vm && self.ledger.incarnation == incarnation
    }
}
