//! Queue of requests that wait for a target with room.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use shallotfork_types::Mono;

use crate::{PoolRequest, Priority, Ticket};

/// Order of service: the highest priority first, then the earliest deadline, then the earliest
/// arrival.
type QueueKey = (Reverse<Priority>, Mono, Ticket);

#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    waiting: BTreeMap<QueueKey, PoolRequest>,
    keys: BTreeMap<Ticket, QueueKey>,
    deadlines: BTreeSet<(Mono, Ticket)>,
}

impl WaitQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(crate) fn push(&mut self, ticket: Ticket, request: PoolRequest) {
        let key = queue_key(ticket, &request);
        self.deadlines.insert((request.deadline, ticket));
        self.keys.insert(ticket, key);
        self.waiting.insert(key, request);
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<PoolRequest> {
        let key = self.keys.remove(&ticket)?;
        let request = self.waiting.remove(&key)?;
        self.deadlines.remove(&(request.deadline, ticket));
        Some(request)
    }

    /// Returns the number of requests that are served before this one.
    pub(crate) fn count_ahead(&self, request: &PoolRequest) -> usize {
        self.waiting.range(..queue_key(Ticket(u64::MAX), request)).count()
    }

    /// Returns the last request in order of service, if it is served after this one.
    pub(crate) fn last_after(&self, request: &PoolRequest) -> Option<Ticket> {
        let (last, _) = self.waiting.last_key_value()?;
        (*last > queue_key(Ticket(u64::MAX), request)).then_some(last.2)
    }

    /// Iterates over the queue in order of service.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Ticket, &PoolRequest)> {
        self.waiting.iter().map(|(key, request)| (key.2, request))
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

fn queue_key(ticket: Ticket, request: &PoolRequest) -> QueueKey {
    (Reverse(request.priority), request.deadline, ticket)
}
