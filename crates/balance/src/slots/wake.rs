//! Gives slots to those who wait.

use std::collections::BTreeSet;

use shallotfork_types::{Mono, TargetId};

use super::pool::Choice;
use super::{SlotPool, SlotRequest, WorkClass};
use crate::{Admission, Resolution, ResolvedTicket, ShedReason, Ticket};

impl SlotPool {
    /// Gives the slots of one target, of which something new is known, to those who wait.
    ///
    /// Only this target's slots can have become usable. With hundreds of targets and requests in the
    /// queue, comparing all with all at each answer takes longer than serving a request.
    pub(super) fn wake_for(&mut self, id: &TargetId, now: Mono) -> Vec<ResolvedTicket> {
        let mut woken = Vec::new();
        if self.queue.is_empty() || !self.is_open(id, now) {
            return woken;
        }
        for ticket in self.in_order(now) {
            let Some(ask) = self.queue.remove(ticket) else { continue };
            let Some(assignment) = self.assign_among(&ask, Choice::Quick, Some(id), now) else {
                self.queue.push(ticket, ask);
                continue;
            };
            woken.push(ResolvedTicket { ticket, resolution: Resolution::Send(assignment) });
            if !self.is_open(id, now) {
                break;
            }
        }
        woken
    }

    /// Whether this process may send a request to the target now.
    fn is_open(&self, id: &TargetId, now: Mono) -> bool {
        let has_share = self.has_share();
        self.targets.get(id).is_some_and(|target| {
            target.published.serving
                && target.open_slots(now, &self.config, &self.learnt, has_share) > 0
        })
    }

    /// Those who wait, in the order in which they are served.
    fn in_order(&self, now: Mono) -> Vec<Ticket> {
        let mut order: Vec<(Ticket, _)> =
            self.queue.iter().map(|(ticket, ask)| (ticket, self.order(ask, now))).collect();
        order.sort_by_key(|(_, key)| *key);
        order.into_iter().map(|(ticket, _)| ticket).collect()
    }

    pub(super) fn wake(&mut self, now: Mono) -> Vec<ResolvedTicket> {
        let mut woken = Vec::new();
        // A long queue would be compared with every target at each answer. Where one request finds no
        // slot, those behind it that judge a slow slot alike are not tried this time: of the same
        // class, and like it still in time or not.
        let mut without_slot: BTreeSet<(WorkClass, bool)> = BTreeSet::new();
        for ticket in self.in_order(now) {
            let Some(ask) = self.queue.remove(ticket) else { continue };
            let alike = (ask.class.clone(), self.is_in_time(&ask, now));
            let hopeless = ask.exclude.is_empty() && without_slot.contains(&alike);
            if let Some(resolution) = self.resolve(&ask, hopeless, now) {
                woken.push(ResolvedTicket { ticket, resolution });
                continue;
            }
            if ask.exclude.is_empty() {
                without_slot.insert(alike);
            }
            self.queue.push(ticket, ask);
        }
        woken
    }

    fn resolve(&mut self, ask: &SlotRequest, hopeless: bool, now: Mono) -> Option<Resolution> {
        if ask.deadline <= now {
            return Some(Resolution::Shed(self.shed(ShedReason::DeadlinePassed, now)));
        }
        if !self.has_target_for(ask, now) {
            return Some(Resolution::Shed(self.shed(ShedReason::NoTarget, now)));
        }
        if !hopeless && let Some(assignment) = self.assign(ask, Choice::Quick, now) {
            return Some(Resolution::Send(assignment));
        }
        if self.wait_end(ask, now) > now {
            return None;
        }
        Some(match self.assign_any_or_shed(ask, now) {
            Admission::Send(assignment) => Resolution::Send(assignment),
            Admission::Shed(shed) => Resolution::Shed(shed),
            Admission::Queued(_) => return None,
        })
    }
}
