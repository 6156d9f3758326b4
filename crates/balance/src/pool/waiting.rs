//! Admission, the queue and its order.

use std::time::Duration;

use shallotfork_types::Mono;

use super::Pool;
use crate::{Admission, PoolRequest, Resolution, ResolvedTicket, Shed, ShedReason, Ticket};

/// Bounds of the advice when to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(20);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);
/// Share of attempts that must be expected to end in time for one to be worth sending.
const LIKELY_QUANTILE: f64 = 0.9;
/// Waiting requests that are tried when a target gets room; more could only differ in exclusions.
const WAKE_SCAN_MAX: usize = 32;

impl Pool {
    pub(super) fn place(&mut self, ask: PoolRequest, now: Mono) -> Admission {
        if ask.deadline <= now {
            return Admission::Shed(self.shed(ShedReason::DeadlinePassed, 0));
        }
        if !self.has_target_for(&ask, now) {
            return Admission::Shed(self.shed(ShedReason::NoTarget, 0));
        }
        let ahead = self.queue.ahead_of(&ask);
        if ahead == 0
            && let Some(assignment) = self.assign(&ask, now)
        {
            return Admission::Send(assignment);
        }
        self.enqueue(ask, ahead, now)
    }

    pub(super) fn enqueue(&mut self, ask: PoolRequest, ahead: usize, now: Mono) -> Admission {
        let wait = self.expected_wait(ahead + 1);
        let end = now.plus(wait + self.likely_latency());
        if end > ask.deadline || self.is_standing(now) && wait > self.standing_wait(&ask, now) {
            return Admission::Shed(self.shed(ShedReason::DeadlineTooNear, ahead));
        }
        if self.queue.len() >= self.config.queue_max {
            let Some(last) = self.queue.last_after(&ask) else {
                return Admission::Shed(self.shed(ShedReason::QueueFull, ahead));
            };
            self.queue.remove(last);
            self.end(last, ShedReason::QueueFull);
        }
        let ticket = Ticket(self.next_id());
        self.queue.push(ticket, ask);
        self.waiting_since.get_or_insert(now);
        Admission::Queued(ticket)
    }

    /// Little's law: with the gates full, an attempt ends every (mean latency / in flight).
    pub(super) fn expected_wait(&self, place: usize) -> Duration {
        let in_flight = self.attempts.len().max(1) as f64;
        Duration::from_micros((self.mean_us * place as f64 / in_flight) as u64)
    }

    /// Whether requests have waited for so long that the cause is no burst. A queue that stands
    /// serves no more requests than a short one, but makes each of them late.
    pub(super) fn is_standing(&self, now: Mono) -> bool {
        let since = self.waiting_since.unwrap_or(now);
        now.since(since) > self.config.standing_after
    }

    pub(super) fn standing_wait(&self, ask: &PoolRequest, now: Mono) -> Duration {
        ask.deadline.since(now).mul_f64(self.config.standing_wait_share)
    }

    /// Time within which most attempts end.
    pub(super) fn likely_latency(&self) -> Duration {
        self.latencies.quantile(LIKELY_QUANTILE).unwrap_or_else(|| self.usual_latency())
    }

    pub(super) fn usual_latency(&self) -> Duration {
        Duration::from_micros(self.view.median_us as u64)
    }

    pub(super) fn shed(&self, reason: ShedReason, ahead: usize) -> Shed {
        let drained = self.expected_wait(ahead + 1);
        Shed { retry_after: drained.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX), reason }
    }

    pub(super) fn end(&mut self, ticket: Ticket, reason: ShedReason) {
        let shed = self.shed(reason, self.queue.len());
        self.ended.push(ResolvedTicket { ticket, resolution: Resolution::Shed(shed) });
    }

    pub(super) fn take_ended(&mut self) -> Vec<ResolvedTicket> {
        std::mem::take(&mut self.ended)
    }

    /// Assigns waiting requests in order while targets have room.
    pub(super) fn wake(&mut self, now: Mono) -> Vec<ResolvedTicket> {
        let mut woken = self.take_ended();
        let first: Vec<Ticket> =
            self.queue.iter().take(WAKE_SCAN_MAX).map(|(ticket, _)| ticket).collect();
        for ticket in first {
            let Some(ask) = self.queue.remove(ticket) else { continue };
            if let Some(reason) = self.too_late(&ask, now) {
                let shed = self.shed(reason, 0);
                woken.push(ResolvedTicket { ticket, resolution: Resolution::Shed(shed) });
                continue;
            }
            match self.assign(&ask, now) {
                Some(assignment) => {
                    woken.push(ResolvedTicket { ticket, resolution: Resolution::Send(assignment) });
                }
                None => {
                    let any_target_would_do = ask.exclude.is_empty();
                    self.queue.push(ticket, ask);
                    if any_target_would_do {
                        break;
                    }
                }
            }
        }
        if self.queue.is_empty() {
            self.waiting_since = None;
        }
        woken
    }

    /// Why a request that gets its turn is not worth sending. One sent with less time left than
    /// most attempts need takes a slot, times out, and costs its connection too.
    pub(super) fn too_late(&self, ask: &PoolRequest, now: Mono) -> Option<ShedReason> {
        if ask.deadline <= now {
            return Some(ShedReason::DeadlinePassed);
        }
        let too_near = now.plus(self.likely_latency()) > ask.deadline;
        too_near.then_some(ShedReason::DeadlineTooNear)
    }

    pub(super) fn end_those_without_target(&mut self, now: Mono) {
        let lost = self.queue.iter().filter(|(_, ask)| !self.has_target_for(ask, now));
        let lost: Vec<Ticket> = lost.map(|(ticket, _)| ticket).collect();
        for ticket in lost {
            self.queue.remove(ticket);
            self.end(ticket, ShedReason::NoTarget);
        }
    }

    pub(super) fn has_target_for(&self, ask: &PoolRequest, now: Mono) -> bool {
        self.serving_for(ask, now).next().is_some()
    }
}
