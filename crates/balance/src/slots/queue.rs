//! Queue of requests that wait for a slot.

use std::collections::BTreeMap;

use super::SlotRequest;
use crate::Ticket;

/// Waiting requests by ticket. They are ranked when a slot is free, because the ranking depends on
/// which of them can still be answered within their objective at that time.
#[derive(Debug, Default)]
pub(super) struct SlotQueue {
    waiting: BTreeMap<Ticket, SlotRequest>,
}

impl SlotQueue {
    pub(super) fn push(&mut self, ticket: Ticket, request: SlotRequest) {
        self.waiting.insert(ticket, request);
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
        self.waiting.iter().map(|(ticket, request)| (*ticket, request))
    }
}
