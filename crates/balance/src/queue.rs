//! Requests that wait for a target with room.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use shallotfork_types::Mono;

use crate::{PoolRequest, Priority, Ticket};

/// Order of service: the most urgent first, then the earliest deadline, then the first to come.
type Order = (Reverse<Priority>, Mono, Ticket);

#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    waiting: BTreeMap<Order, PoolRequest>,
    orders: BTreeMap<Ticket, Order>,
    deadlines: BTreeSet<(Mono, Ticket)>,
}

impl WaitQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(crate) fn push(&mut self, ticket: Ticket, ask: PoolRequest) {
        let order = order(ticket, &ask);
        self.deadlines.insert((ask.deadline, ticket));
        self.orders.insert(ticket, order);
        self.waiting.insert(order, ask);
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<PoolRequest> {
        let order = self.orders.remove(&ticket)?;
        let ask = self.waiting.remove(&order)?;
        self.deadlines.remove(&(ask.deadline, ticket));
        Some(ask)
    }

    /// How many would be served before this ask.
    pub(crate) fn ahead_of(&self, ask: &PoolRequest) -> usize {
        self.waiting.range(..order(Ticket(u64::MAX), ask)).count()
    }

    /// The last in order of service, if it comes after this ask.
    pub(crate) fn last_after(&self, ask: &PoolRequest) -> Option<Ticket> {
        let (last, _) = self.waiting.last_key_value()?;
        (*last > order(Ticket(u64::MAX), ask)).then_some(last.2)
    }

    /// In order of service.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Ticket, &PoolRequest)> {
        self.waiting.iter().map(|(order, ask)| (order.2, ask))
    }

    pub(crate) fn earliest_deadline(&self) -> Option<Mono> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Removes and returns one ticket whose deadline is not after `now`.
    pub(crate) fn pop_expired(&mut self, now: Mono) -> Option<Ticket> {
        let (deadline, ticket) = *self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.remove(ticket);
        Some(ticket)
    }
}

fn order(ticket: Ticket, ask: &PoolRequest) -> Order {
    (Reverse(ask.priority), ask.deadline, ticket)
}
