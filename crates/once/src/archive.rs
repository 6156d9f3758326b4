//! Sealed ledgers of issuers that left, held by their peers.

use shallotfork_types::{Incarnation, Mono, VmId};

use crate::{ClaimAnswer, OnceConfig, OperationId, SealedLedger};

#[derive(Debug)]
struct Archived {
    ledger: SealedLedger,
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

    /// Takes a ledger; `false` when there is no room, so that the departing VM asks another peer.
    pub fn add(&mut self, mut ledger: SealedLedger, now: Mono) -> bool {
        self.expire(now);
        if self.find(&ledger.vm, ledger.incarnation).is_some() {
            return true;
        }
        let total_bytes = self.size_bytes().saturating_add(ledger.size_bytes());
        let too_large = total_bytes > self.config.archived_total_max.value();
        if too_large || self.ledgers.len() >= self.config.archived_ledgers_max {
            return false;
        }
        sort(&mut ledger);
        let drop_at = now.plus(ledger.session_lifetime);
        self.ledgers.push(Archived { ledger, drop_at });
        true
    }

    /// What the issuer that left would answer; `None` when its ledger is not held here.
    pub fn lookup(&self, operation: &OperationId) -> Option<ClaimAnswer> {
        let session = operation.session();
        let held = self.find(session.issuer(), session.incarnation())?;
        Some(held.ledger.lookup(operation))
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
        self.ledgers.iter().map(|held| held.ledger.size_bytes()).sum()
    }

    fn find(&self, vm: &VmId, incarnation: Incarnation) -> Option<&Archived> {
        let matches =
            |held: &&Archived| &held.ledger.vm == vm && held.ledger.incarnation == incarnation;
        self.ledgers.iter().find(matches)
    }
}

/// Restores the order that lookups rely on, whatever order a peer sent.
fn sort(ledger: &mut SealedLedger) {
    ledger.sessions.sort_by_key(|session| session.serial);
    for session in &mut ledger.sessions {
        session.operations.sort_by(|a, b| a.key.cmp(&b.key));
    }
}
