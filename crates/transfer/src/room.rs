//! Memory and link as capacity for large answers.

use std::collections::BTreeMap;
use std::time::Duration;

use shallotfork_types::{Bytes, Mono};

use crate::reservation::Reservation;
use crate::{
    ReservationId, ResolvedWait, RoomConfig, RoomDecision, RoomRequest, RoomResolution,
    RoomSummary, RoomTicket, SizeEstimate,
};

/// Position of a waiting request: by objective, then by arrival.
type WaitKey = (Mono, Mono, RoomTicket);

/// Capacity of an entry for large answers.
///
/// A reservation occupies memory until it is released: the size that few answers exceed, until the
/// actual one is known. Until the answer has been received it also occupies the inbound window,
/// which bounds the answers that arrive at the same time: these are read as fast as targets send
/// them, and ordinary answers queue behind them. The window counts mean sizes, since several
/// answers share it; with the size that few exceed, most of the link would stay unused. Bytes that
/// callers are slow to read occupy memory only, so that they do not delay other callers.
///
/// An entry without reservations grants any size, because waiting would not make more room.
#[derive(Debug)]
pub struct AnswerRoom {
    config: RoomConfig,
    reservations: BTreeMap<ReservationId, Reservation>,
    waiting: BTreeMap<WaitKey, RoomRequest>,
    keys: BTreeMap<RoomTicket, WaitKey>,
    next_id: u64,
    /// When all transfers have to have ended; `None` while the process is not asked to stop.
    end: Option<Mono>,
}

impl AnswerRoom {
    /// Creates the room without reservations.
    pub fn new(config: RoomConfig) -> Self {
        Self {
            config,
            reservations: BTreeMap::new(),
            waiting: BTreeMap::new(),
            keys: BTreeMap::new(),
            next_id: 0,
            end: None,
        }
    }

    /// Decides whether a request may be sent, and reserves room for its answer if it may.
    pub fn request(&mut self, request: RoomRequest, now: Mono) -> RoomDecision {
        let ticket = RoomTicket(self.take_id());
        let key = (request.objective, request.arrived_at, ticket);
        let expected_at = now.plus(self.wait_estimate(&request, key));
        if self.is_late(&request, key, expected_at, now) {
            return RoomDecision::Rejected { retry_after: self.retry_after(&request, key, now) };
        }
        if self.waiting.range(..key).next().is_none() && self.fits(&request) {
            return RoomDecision::Granted(self.reserve(request.size));
        }
        if self.waiting.len() >= self.config.waiting_max {
            return RoomDecision::Rejected { retry_after: self.retry_after(&request, key, now) };
        }
        self.waiting.insert(key, request);
        self.keys.insert(ticket, key);
        let give_up_at = request.deadline.minus(self.time_alone(&request));
        RoomDecision::Wait { ticket, expected_at, give_up_at }
    }

    /// Reserves room for an answer if that needs no waiting.
    pub fn try_reserve(&mut self, request: &RoomRequest, now: Mono) -> Option<ReservationId> {
        let is_free = self.waiting.is_empty() && self.fits(request);
        let key = (request.objective, request.arrived_at, RoomTicket(self.take_id()));
        (is_free && !self.is_late(request, key, now, now)).then(|| self.reserve(request.size))
    }

    /// Removes a request that no longer waits, for example because its caller has disconnected.
    pub fn cancel(&mut self, ticket: RoomTicket, now: Mono) -> Vec<ResolvedWait> {
        if let Some(key) = self.keys.remove(&ticket) {
            self.waiting.remove(&key);
        }
        self.resolve(now)
    }

    /// Sets the reserved size to the actual one once the target has stated it.
    pub fn correct(&mut self, id: ReservationId, actual: Bytes, now: Mono) -> Vec<ResolvedWait> {
        if let Some(reservation) = self.reservations.get_mut(&id) {
            reservation.correct(actual);
        }
        self.resolve(now)
    }

    /// Sets the reserved size to the expected one again, for another attempt after one that brought
    /// no answer.
    pub fn restart(&mut self, id: ReservationId, size: SizeEstimate) {
        if let Some(reservation) = self.reservations.get_mut(&id) {
            reservation.restart(size);
        }
    }

    /// Records that the complete answer is held and is being sent from now on.
    pub fn start_sending(
        &mut self,
        id: ReservationId,
        actual: Bytes,
        now: Mono,
    ) -> Vec<ResolvedWait> {
        if let Some(reservation) = self.reservations.get_mut(&id) {
            reservation.start_sending(actual, now);
        }
        self.resolve(now)
    }

    /// Records that bytes of a held answer were written. They stay in memory until the release.
    pub fn record_sent(&mut self, id: ReservationId, sent: Bytes, now: Mono) {
        if let Some(reservation) = self.reservations.get_mut(&id) {
            reservation.record_sent(sent, now);
        }
    }

    /// Releases a reservation when the last byte was written or the transfer has ended.
    pub fn release(&mut self, id: ReservationId, now: Mono) -> Vec<ResolvedWait> {
        self.reservations.remove(&id);
        self.resolve(now)
    }

    /// Rejects the waiting requests whose transfer can't end before their deadline any more.
    pub fn expire(&mut self, now: Mono) -> Vec<ResolvedWait> {
        let hopeless = self.waiting.iter().filter(|(key, one)| self.is_late(one, **key, now, now));
        let hopeless: Vec<WaitKey> = hopeless.map(|(key, _)| *key).collect();
        let mut resolved = Vec::new();
        for key in hopeless {
            resolved.extend(self.reject_waiting(key, now));
        }
        resolved.append(&mut self.resolve(now));
        resolved
    }

    /// Sets when all transfers have to have ended, because the process stops. Rejects the waiting
    /// requests whose transfer can't end until then.
    pub fn end_by(&mut self, end: Mono, now: Mono) -> Vec<ResolvedWait> {
        self.end = Some(end);
        self.resolve(now)
    }

    /// Returns a summary for logs and metrics.
    pub fn summary(&self) -> RoomSummary {
        RoomSummary {
            reserved: self.memory_used(),
            held: sum(self.reservations.values().map(Reservation::held)),
            reservations: self.reservations.len(),
            waiting: self.waiting.len(),
        }
    }

    /// Grants room to the waiting requests in their order, up to the first one that does not fit.
    /// Later ones may be smaller, but large ones would never be granted if these went first.
    fn resolve(&mut self, now: Mono) -> Vec<ResolvedWait> {
        let mut resolved = self.reject_unfinished_at_end(now);
        while let Some((key, request)) = self.waiting.first_key_value() {
            let (key, size) = (*key, request.size);
            if self.is_late(request, key, now, now) {
                resolved.extend(self.reject_waiting(key, now));
                continue;
            }
            if !self.fits(request) {
                break;
            }
            self.remove_waiting(key);
            let resolution = RoomResolution::Granted(self.reserve(size));
            resolved.push(ResolvedWait { ticket: key.2, resolution });
        }
        resolved
    }

    /// Rejects the waiting requests whose transfer would not have ended when the process stops.
    /// Another entry can serve them if they learn of it early.
    fn reject_unfinished_at_end(&mut self, now: Mono) -> Vec<ResolvedWait> {
        if self.end.is_none() {
            return Vec::new();
        }
        let keys: Vec<WaitKey> = self.waiting.keys().copied().collect();
        let mut resolved = Vec::new();
        for key in keys {
            let Some(request) = self.waiting.get(&key) else { continue };
            let expected_at = now.plus(self.wait_estimate(request, key));
            if self.is_unfinished_at_end(request, key, expected_at, now) {
                resolved.extend(self.reject_waiting(key, now));
            }
        }
        resolved
    }

    fn reject_waiting(&mut self, key: WaitKey, now: Mono) -> Option<ResolvedWait> {
        let request = self.waiting.get(&key).copied()?;
        let retry_after = self.retry_after(&request, key, now);
        self.remove_waiting(key);
        let resolution = RoomResolution::Rejected { retry_after };
        Some(ResolvedWait { ticket: key.2, resolution })
    }

    fn remove_waiting(&mut self, key: WaitKey) {
        self.waiting.remove(&key);
        self.keys.remove(&key.2);
    }

    fn reserve(&mut self, size: SizeEstimate) -> ReservationId {
        let id = ReservationId(self.take_id());
        self.reservations.insert(id, Reservation::new(size));
        id
    }

    fn take_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn memory_used(&self) -> Bytes {
        sum(self.reservations.values().map(Reservation::size))
    }

    fn inbound_used(&self) -> Bytes {
        sum(self.reservations.values().map(Reservation::inbound))
    }

    fn fits(&self, request: &RoomRequest) -> bool {
        let fits = |used: Bytes, size: Bytes, max: Bytes| {
            used.value() == 0 || used.value() + size.value() <= max.value()
        };
        fits(self.memory_used(), request.size.reserved, self.config.memory_max)
            && fits(self.inbound_used(), request.size.mean, self.config.inbound_max)
    }

    /// Estimates how long a request waits for room behind those that are granted before it.
    ///
    /// Reservations end as often as the link sends answers of the mean size, but while few requests
    /// are at targets not more often than these answer.
    fn wait_estimate(&self, request: &RoomRequest, key: WaitKey) -> Duration {
        // Number of answers of this size for which there is no room.
        let missing = |used: Bytes, size: fn(&SizeEstimate) -> Bytes, max: Bytes| {
            let ahead = sum(self.waiting.range(..key).map(|(_, other)| size(&other.size))).value();
            let own = size(&request.size).value();
            let excess = match used.value() {
                0 => ahead,
                used => (used + ahead + own).saturating_sub(max.value()),
            };
            excess as f64 / own.max(1) as f64
        };
        let config = &self.config;
        let answers = missing(self.inbound_used(), |size| size.mean, config.inbound_max)
            .max(missing(self.memory_used(), |size| size.reserved, config.memory_max));
        if answers == 0.0 {
            return Duration::ZERO;
        }
        let receiving = self.reservations.values().filter(|one| one.is_receiving()).count();
        let spacing = request.work_time.div_f64(receiving.max(1) as f64);
        let per_answer = config.large_rate.time_for(request.size.mean).max(spacing);
        saturating_mul(per_answer, answers)
    }

    /// Returns whether the transfer of a request that is sent at `start` will probably miss its
    /// deadline or the end of the process.
    fn is_late(&self, request: &RoomRequest, key: WaitKey, start: Mono, now: Mono) -> bool {
        !self.late_by(request, start, now).is_zero()
            || self.is_unfinished_at_end(request, key, start, now)
    }

    /// Returns whether the transfer of a request that is sent at `start` may go on when the process
    /// ends. What is cut off is lost, so sizes count that few answers exceed.
    fn is_unfinished_at_end(
        &self,
        request: &RoomRequest,
        key: WaitKey,
        start: Mono,
        now: Mono,
    ) -> bool {
        let Some(end) = self.end else { return false };
        let stalled_after = self.config.stalled_after;
        let unsent = sum(self.reservations.values().map(|one| one.unsent_max(stalled_after, now)));
        let ahead = sum(self.waiting.range(..key).map(|(_, other)| other.size.reserved));
        let backlog = Bytes::new(unsent.value() + ahead.value());
        let backlog_sent_at = now.plus(self.config.large_rate.time_for(backlog));
        let own_time = self.config.link.time_for(request.size.reserved);
        let received_at = start.plus(request.work_time).plus(own_time);
        received_at.max(backlog_sent_at).plus(own_time) > end
    }

    /// Returns by how much the transfer of a request that is sent at `start` will probably miss its
    /// deadline, given the answers that the link has to send before it.
    fn late_by(&self, request: &RoomRequest, start: Mono, now: Mono) -> Duration {
        let stalled_after = self.config.stalled_after;
        let backlog = sum(self.reservations.values().map(|one| one.outbound(stalled_after, now)));
        let backlog_sent_at = now.plus(self.config.large_rate.time_for(backlog));
        let own_time = self.config.link.time_for(request.size.mean);
        // The backlog is sent while the target works and its answer is received.
        let received_at = start.plus(request.work_time).plus(own_time);
        received_at.max(backlog_sent_at).plus(own_time).since(request.deadline)
    }

    /// Returns the time from sending a request to the end of its transfer if the link carries
    /// nothing else. An answer of the mean size is received and then sent at the whole bandwidth.
    fn time_alone(&self, request: &RoomRequest) -> Duration {
        let own_time = self.config.link.time_for(request.size.mean);
        request.work_time.saturating_add(own_time.saturating_mul(2))
    }

    /// Returns the time until a request like this one would probably be granted.
    fn retry_after(&self, request: &RoomRequest, key: WaitKey, now: Mono) -> Duration {
        if self.end.is_some() {
            // Another entry can serve the request at once.
            return self.config.retry_after_min;
        }
        let expected_at = now.plus(self.wait_estimate(request, key));
        let late_by = self.late_by(request, expected_at, now);
        late_by.clamp(self.config.retry_after_min, self.config.retry_after_max)
    }
}

fn sum(sizes: impl Iterator<Item = Bytes>) -> Bytes {
    Bytes::new(sizes.map(Bytes::value).sum())
}

fn saturating_mul(duration: Duration, factor: f64) -> Duration {
    Duration::try_from_secs_f64(duration.as_secs_f64() * factor).unwrap_or(Duration::MAX)
}
