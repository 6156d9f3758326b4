//! Order of waiting requests of several populations while slots are short.
//!
//! Load: for some seconds the callers of a service want more slots than there are. By arrival alone,
//! callers that retry at once, or that may wait longer than others, take slots from those that do
//! not.
//!
//! A population is the requests of one route. Shares are max-min fair with the populations' demand
//! as weights: the next slot goes to the population of which the smallest fraction has been served,
//! so that no population waits behind one that has more than its share, and what one does not use is
//! left to the others.
//!
//! Condition: a request was recently refused for lack of a slot, and requests of several populations
//! have arrived since shortly before.

use std::collections::BTreeMap;
use std::time::Duration;

use shallotfork_types::Mono;

use super::{SlotPool, SlotRequest, WorkClass};
use crate::{AttemptId, Shed, ShedReason, Ticket};

/// Time after a refusal for which slots count as short, and after a request for which its population
/// takes part. Several times the wait of a request.
const SHORTAGE_MEMORY: Duration = Duration::from_secs(1);
/// Time constant of the counts from which the served fraction of a population follows. It exceeds
/// the waits of requests several times, and a population that was idle has no claim to the slots of
/// earlier minutes.
const COUNT_DECAY: Duration = Duration::from_secs(10);

/// Decaying counts of one population.
#[derive(Debug, Clone, Copy)]
struct Population {
    /// Requests that were sent for the first time.
    arrived: f64,
    /// Requests that were assigned a slot.
    served: f64,
    updated_at: Mono,
    /// Time of the last request, returning callers included.
    asked_at: Mono,
}

impl Population {
    fn update(&mut self, now: Mono) {
        let age_s = now.since(self.updated_at).as_secs_f64();
        let factor = (-age_s / COUNT_DECAY.as_secs_f64()).exp();
        self.arrived *= factor;
        self.served *= factor;
        self.updated_at = now;
    }

    /// Returns the fraction served if `more` further requests were served. Both counts decay alike,
    /// so they need not be updated for it.
    fn served_fraction(&self, more: u32) -> f64 {
        (self.served + f64::from(more)) / self.arrived.max(1.0)
    }
}

/// A slot that was counted as served, until its attempt ends.
#[derive(Debug, Clone, Copy)]
struct CountedSlot {
    /// Whether the request was also counted as arrived.
    has_arrived: bool,
}

/// Demand and served requests of each population of a service.
#[derive(Debug, Default)]
pub(super) struct Populations {
    by_class: BTreeMap<WorkClass, Population>,
    counted: BTreeMap<AttemptId, CountedSlot>,
    /// Time of the last refusal for lack of a slot.
    short_at: Option<Mono>,
}

impl Populations {
    fn population(&mut self, class: &WorkClass, now: Mono) -> &mut Population {
        let new = Population { arrived: 0.0, served: 0.0, updated_at: now, asked_at: now };
        let population = self.by_class.entry(class.clone()).or_insert(new);
        population.update(now);
        population
    }

    /// Records a request that asks for a slot. A returning caller is counted once only, so that
    /// callers don't raise the share of their population by retrying.
    pub(super) fn record_arrival(&mut self, request: &SlotRequest, now: Mono) {
        let population = self.population(&request.class, now);
        population.asked_at = now;
        if is_new(request) {
            population.arrived += 1.0;
        }
    }

    /// Records that a request was assigned a slot. Further attempts of it are not counted.
    pub(super) fn record_assignment(
        &mut self,
        request: &SlotRequest,
        attempt: AttemptId,
        now: Mono,
    ) {
        if request.exclude.is_empty() {
            self.population(&request.class, now).served += 1.0;
            self.counted.insert(attempt, CountedSlot { has_arrived: is_new(request) });
        }
    }

    /// Records the end of an attempt. If it was not sent, its request asks for another slot and is
    /// counted again then.
    pub(super) fn record_end(
        &mut self,
        class: &WorkClass,
        attempt: AttemptId,
        is_sent: bool,
        now: Mono,
    ) {
        let Some(CountedSlot { has_arrived }) = self.counted.remove(&attempt) else { return };
        if !is_sent {
            let population = self.population(class, now);
            population.served = (population.served - 1.0).max(0.0);
            if has_arrived {
                population.arrived = (population.arrived - 1.0).max(0.0);
            }
        }
    }

    fn served_fraction(&self, class: &WorkClass, more: u32) -> f64 {
        self.by_class.get(class).map_or(0.0, |population| population.served_fraction(more))
    }

    /// Returns whether several populations compete for too few slots.
    fn compete(&self, now: Mono) -> bool {
        let is_recent = |at: Mono| now.since(at) < SHORTAGE_MEMORY;
        let asking = self.by_class.values().filter(|population| is_recent(population.asked_at));
        self.short_at.is_some_and(is_recent) && asking.count() > 1
    }
}

fn is_new(request: &SlotRequest) -> bool {
    !request.is_resubmitted && request.exclude.is_empty()
}

/// A request in the order of its population: by objective, which within a route is the order in
/// which callers first sent their requests, before any refusal.
type Waiting = (Mono, Mono, Option<Ticket>);

impl SlotPool {
    /// Rejects a request for lack of a slot.
    pub(super) fn shed_for_lack_of_slot(&mut self, reason: ShedReason, now: Mono) -> Shed {
        self.populations.short_at = Some(now);
        self.shed(reason, now)
    }

    /// Returns the number of waiting requests that are served before `request`.
    pub(super) fn count_ahead(&self, request: &SlotRequest, now: Mono) -> usize {
        if self.populations.compete(now) {
            let order = self.fair_order(Some(request), now);
            return order.iter().take_while(|ticket| ticket.is_some()).count();
        }
        self.queue.iter().filter(|(_, other)| self.precedes(other, request, now)).count()
    }

    /// Returns the waiting requests in fair order; `None` if the usual order applies.
    pub(super) fn fair_tickets(&self, now: Mono) -> Option<Vec<Ticket>> {
        let is_fair = self.populations.compete(now);
        is_fair.then(|| self.fair_order(None, now).into_iter().flatten().collect())
    }

    /// Returns the tickets of waiting requests, up to the place of `request`, which is `None`.
    /// Requests that can no longer meet their objective come last, and higher ranks first.
    fn fair_order(&self, request: Option<&SlotRequest>, now: Mono) -> Vec<Option<Ticket>> {
        let mut groups: BTreeMap<(bool, u32), BTreeMap<&WorkClass, Vec<Waiting>>> = BTreeMap::new();
        let waiting = self.queue.iter().map(|(ticket, waiting)| (Some(ticket), waiting));
        for (ticket, waiting) in waiting.chain(request.map(|request| (None, request))) {
            let group = (!self.can_meet_objective(waiting, now), waiting.rank);
            let population = groups.entry(group).or_default().entry(&waiting.class).or_default();
            population.push((waiting.objective, waiting.arrived_at, ticket));
        }
        let mut order = Vec::with_capacity(self.queue.len() + 1);
        let mut taken: BTreeMap<&WorkClass, u32> = BTreeMap::new();
        for mut populations in groups.into_values() {
            // Sorted from last to first, so that the first one is popped.
            populations.values_mut().for_each(|waiting| {
                waiting.sort_by_key(|(objective, arrived_at, ticket)| {
                    std::cmp::Reverse((*objective, *arrived_at, ticket.is_none(), *ticket))
                });
            });
            while let Some(class) = self.least_served(&populations, &taken) {
                let next = populations.get_mut(class).and_then(Vec::pop);
                let Some((_, _, ticket)) = next else { break };
                order.push(ticket);
                if ticket.is_none() {
                    return order;
                }
                *taken.entry(class).or_default() += 1;
            }
        }
        order
    }

    /// Returns the population with waiting requests of which the smallest fraction has been served.
    fn least_served<'a>(
        &self,
        waiting: &BTreeMap<&'a WorkClass, Vec<Waiting>>,
        taken: &BTreeMap<&WorkClass, u32>,
    ) -> Option<&'a WorkClass> {
        let fraction = |class: &WorkClass| {
            self.populations.served_fraction(class, taken.get(class).copied().unwrap_or(0))
        };
        let candidates = waiting.iter().filter(|(_, waiting)| !waiting.is_empty());
        let fractions =
            candidates.map(|(class, waiting)| (fraction(class), waiting.last(), *class));
        let least = fractions.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        least.map(|(_, _, class)| class)
    }
}
