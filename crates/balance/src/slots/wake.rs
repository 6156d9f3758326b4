//! Assignment of slots to waiting requests.

use std::collections::BTreeSet;

use shallotfork_types::{Mono, TargetId};

use super::assign::TargetFilter;
use super::{SlotPool, SlotRequest, WorkClass};
use crate::{Admission, Resolution, ResolvedTicket, ShedReason, Ticket};

impl SlotPool {
    /// Assigns the open slots of a target whose state has changed to waiting requests.
    ///
    /// Only this target's slots can have become usable. With hundreds of targets and queued
    /// requests, comparing all of them at each answer takes longer than serving a request.
    pub(super) fn wake_for_target(&mut self, id: &TargetId, now: Mono) -> Vec<ResolvedTicket> {
        let mut resolved = Vec::new();
        if self.queue.is_empty() || !self.has_open_slot(id, now) {
            return resolved;
        }
        for ticket in self.ranked_tickets(now) {
            let Some(request) = self.queue.remove(ticket) else { continue };
            let Some(assignment) =
                self.assign_among(&request, TargetFilter::NotSlow, Some(id), now)
            else {
                self.queue.push(ticket, request);
                continue;
            };
            resolved.push(ResolvedTicket { ticket, resolution: Resolution::Send(assignment) });
            if !self.has_open_slot(id, now) {
                break;
            }
        }
        resolved
    }

    /// Returns whether this process may send a request to the target now.
    fn has_open_slot(&self, id: &TargetId, now: Mono) -> bool {
        let has_reached_share = self.has_reached_share();
        self.targets.get(id).is_some_and(|target| {
            target.published.serving
                && target.open_slots(now, &self.config, &self.estimates, has_reached_share) > 0
        })
    }

    /// Returns the tickets of waiting requests in the order in which they are served.
    fn ranked_tickets(&self, now: Mono) -> Vec<Ticket> {
        if let Some(tickets) = self.fair_tickets(now) {
            return tickets;
        }
        let mut ranked: Vec<(Ticket, _)> = self
            .queue
            .iter()
            .map(|(ticket, request)| (ticket, self.rank_key(request, now)))
            .collect();
        ranked.sort_by_key(|(_, key)| *key);
        ranked.into_iter().map(|(ticket, _)| ticket).collect()
    }

    pub(super) fn wake(&mut self, now: Mono) -> Vec<ResolvedTicket> {
        let mut resolved = Vec::new();
        // Comparing a long queue with every target at each answer would take too long. Once a
        // request finds no slot, later ones for which a slow slot is judged alike are skipped this
        // time: those of the same class that also can, or can't, meet their objective.
        let mut unservable: BTreeSet<(WorkClass, bool)> = BTreeSet::new();
        for ticket in self.ranked_tickets(now) {
            let Some(request) = self.queue.remove(ticket) else { continue };
            let key = (request.class.clone(), self.can_meet_objective(&request, now));
            let skip_assignment = request.exclude.is_empty() && unservable.contains(&key);
            if let Some(resolution) = self.resolve(&request, skip_assignment, now) {
                resolved.push(ResolvedTicket { ticket, resolution });
                continue;
            }
            if request.exclude.is_empty() {
                unservable.insert(key);
            }
            self.queue.push(ticket, request);
        }
        resolved
    }

    fn resolve(
        &mut self,
        request: &SlotRequest,
        skip_assignment: bool,
        now: Mono,
    ) -> Option<Resolution> {
        if request.deadline <= now {
            return Some(Resolution::Shed(self.shed(ShedReason::DeadlinePassed, now)));
        }
        if !self.has_target_for(request, now) {
            return Some(Resolution::Shed(self.shed(ShedReason::NoTarget, now)));
        }
        if !skip_assignment
            && let Some(assignment) = self.assign(request, TargetFilter::NotSlow, now)
        {
            return Some(Resolution::Send(assignment));
        }
        if self.wait_until(request, now) > now {
            return None;
        }
        Some(match self.assign_any_or_shed(request, now) {
            Admission::Send(assignment) => Resolution::Send(assignment),
            Admission::Shed(shed) => Resolution::Shed(shed),
            Admission::Queued(_) => return None,
        })
    }
}
