//! Requests that wait for a slot.

use std::collections::BTreeMap;

use super::SlotRequest;
use crate::Ticket;

/// Waiting requests by ticket; the order of service is worked out when a slot is free, because it
/// depends on who can still be answered in good time then.
#[derive(Debug, Default)]
pub(super) struct SlotQueue {
    waiting: BTreeMap<Ticket, SlotRequest>,
}

impl SlotQueue {
    pub(super) fn push(&mut self, ticket: Ticket, ask: SlotRequest) {
        self.waiting.insert(ticket, ask);
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<SlotRequest> {
        self.waiting.remove(&ticket)
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (Ticket, &SlotRequest)> {
        self.waiting.iter().map(|(ticket, ask)| (*ticket, ask))
    }
}
