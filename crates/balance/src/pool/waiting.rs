//! Admits requests and assigns queued ones to targets.

use std::time::Duration;

use shallotfork_types::Mono;

use super::Pool;
use crate::{Admission, PoolRequest, Resolution, ResolvedTicket, Shed, ShedReason, Ticket};

/// Bounds of the time after which a caller is asked to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(20);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);
/// Latency quantile by which an attempt must be expected to end before its deadline to be worth
/// sending.
const LIKELY_QUANTILE: f64 = 0.9;
/// Number of waiting requests that are tried when a target gets room; further ones could only
/// differ in excluded targets.
const ASSIGN_SCAN_MAX: usize = 32;

impl Pool {
    pub(super) fn admit_or_queue(&mut self, request: PoolRequest, now: Mono) -> Admission {
        if request.deadline <= now {
            return Admission::Shed(self.shed(ShedReason::DeadlinePassed, 0));
        }
        if !self.has_target_for(&request, now) {
            return Admission::Shed(self.shed(ShedReason::NoTarget, 0));
        }
        let ahead = self.queue.count_ahead(&request);
        if ahead == 0
            && let Some(assignment) = self.assign(&request, now)
        {
            return Admission::Send(assignment);
        }
        self.enqueue(request, ahead, now)
    }

    pub(super) fn enqueue(&mut self, request: PoolRequest, ahead: usize, now: Mono) -> Admission {
        let wait = self.expected_wait(ahead + 1);
        let expected_end = now.plus(wait + self.likely_latency());
        if expected_end > request.deadline
            || self.has_standing_queue(now) && wait > self.standing_wait_max(&request, now)
        {
            return Admission::Shed(self.shed(ShedReason::DeadlineTooNear, ahead));
        }
        if self.queue.len() >= self.config.queue_max {
            let Some(last) = self.queue.last_after(&request) else {
                return Admission::Shed(self.shed(ShedReason::QueueFull, ahead));
            };
            self.queue.remove(last);
            self.shed_ticket(last, ShedReason::QueueFull);
        }
        let ticket = Ticket(self.next_id());
        self.queue.push(ticket, request);
        self.backlog_started_at.get_or_insert(now);
        Admission::Queued(ticket)
    }

    /// Estimates the wait at a position in the queue by Little's law: while the concurrency limits
    /// are reached, an attempt ends every (mean latency / in flight).
    pub(super) fn expected_wait(&self, position: usize) -> Duration {
        let in_flight = self.attempts.len().max(1) as f64;
        Duration::from_micros((self.mean_latency_us * position as f64 / in_flight) as u64)
    }

    /// Returns whether requests have waited for so long that the cause is not a burst. A standing
    /// queue serves no more requests than a short one, but makes each of them late.
    pub(super) fn has_standing_queue(&self, now: Mono) -> bool {
        let started_at = self.backlog_started_at.unwrap_or(now);
        now.since(started_at) > self.config.standing_after
    }

    pub(super) fn standing_wait_max(&self, request: &PoolRequest, now: Mono) -> Duration {
        request.deadline.since(now).mul_f64(self.config.standing_wait_share)
    }

    /// Returns the time within which most attempts end.
    pub(super) fn likely_latency(&self) -> Duration {
        self.latencies.quantile(LIKELY_QUANTILE).unwrap_or_else(|| self.usual_latency())
    }

    pub(super) fn usual_latency(&self) -> Duration {
        Duration::from_micros(self.stats.median_us as u64)
    }

    pub(super) fn shed(&self, reason: ShedReason, ahead: usize) -> Shed {
        let wait = self.expected_wait(ahead + 1);
        Shed { retry_after: wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX), reason }
    }

    pub(super) fn shed_ticket(&mut self, ticket: Ticket, reason: ShedReason) {
        let shed = self.shed(reason, self.queue.len());
        self.resolved.push(ResolvedTicket { ticket, resolution: Resolution::Shed(shed) });
    }

    pub(super) fn take_resolved(&mut self) -> Vec<ResolvedTicket> {
        std::mem::take(&mut self.resolved)
    }

    /// Assigns waiting requests in order of service while targets have room; returns the resolved
    /// tickets.
    pub(super) fn resolve_waiting(&mut self, now: Mono) -> Vec<ResolvedTicket> {
        let mut resolved = self.take_resolved();
        let candidates: Vec<Ticket> =
            self.queue.iter().take(ASSIGN_SCAN_MAX).map(|(ticket, _)| ticket).collect();
        for ticket in candidates {
            let Some(request) = self.queue.remove(ticket) else { continue };
            if let Some(reason) = self.deadline_shed_reason(&request, now) {
                let shed = self.shed(reason, 0);
                resolved.push(ResolvedTicket { ticket, resolution: Resolution::Shed(shed) });
                continue;
            }
            match self.assign(&request, now) {
                Some(assignment) => {
                    resolved
                        .push(ResolvedTicket { ticket, resolution: Resolution::Send(assignment) });
                }
                None => {
                    let has_no_exclusions = request.exclude.is_empty();
                    self.queue.push(ticket, request);
                    if has_no_exclusions {
                        break;
                    }
                }
            }
        }
        if self.queue.is_empty() {
            self.backlog_started_at = None;
        }
        resolved
    }

    /// Returns the reason for shedding a request whose deadline is too near when its turn comes. If
    /// sent with less time left than most attempts need, it takes a slot, times out, and costs its
    /// connection too.
    pub(super) fn deadline_shed_reason(
        &self,
        request: &PoolRequest,
        now: Mono,
    ) -> Option<ShedReason> {
        if request.deadline <= now {
            return Some(ShedReason::DeadlinePassed);
        }
        let too_near = now.plus(self.likely_latency()) > request.deadline;
        too_near.then_some(ShedReason::DeadlineTooNear)
    }

    pub(super) fn shed_without_target(&mut self, now: Mono) {
        let unservable =
            self.queue.iter().filter(|(_, request)| !self.has_target_for(request, now));
        let unservable: Vec<Ticket> = unservable.map(|(ticket, _)| ticket).collect();
        for ticket in unservable {
            self.queue.remove(ticket);
            self.shed_ticket(ticket, ShedReason::NoTarget);
        }
    }

    pub(super) fn has_target_for(&self, request: &PoolRequest, now: Mono) -> bool {
        self.eligible_targets(request, now).next().is_some()
    }
}
