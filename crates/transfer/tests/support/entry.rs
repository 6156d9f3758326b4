//! Simulation of an entry that forwards large answers, with or without an `AnswerRoom`.
//!
//! Targets work for a fixed time. Both directions of the link carry one answer after the other.

use std::collections::BTreeMap;
use std::time::Duration;

use shallotfork_routes::RouteName;
use shallotfork_transfer::{
    AnswerRoom, AnswerSizes, ReservationId, ResolvedWait, RoomConfig, RoomDecision, RoomRequest,
    RoomResolution, RoomTicket, SizeEstimate,
};
use shallotfork_types::{Bytes, BytesPerSecond, Mono};

pub const BODY_BUDGET_BYTES: u64 = 37 << 20;
const LINK: BytesPerSecond = BytesPerSecond::new(1_250_000);
const WORK_TIME: Duration = Duration::from_millis(150);
const OBJECTIVE: Duration = Duration::from_millis(1_000);
const DEADLINE: Duration = Duration::from_millis(2_000);
const SIMULATED_MS: u64 = 30_000;
/// Sizes in the order of requests: 93 kB on average, 540 kB at most.
const SIZES: [u64; 20] = [
    45_000, 200_000, 45_000, 45_000, 45_000, 45_000, 200_000, 45_000, 45_000, 45_000, 540_000,
    45_000, 45_000, 45_000, 45_000, 200_000, 45_000, 45_000, 45_000, 45_000,
];

/// Requests of callers.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub requests_per_s: u64,
    /// Time that a caller takes to read its answer in addition to the transmission.
    pub read_time: Duration,
}

/// What became of the requests.
#[derive(Debug, Default, Clone, Copy)]
pub struct Outcome {
    pub answered: u64,
    /// Answers that were sent completely after the deadline.
    pub late: u64,
    pub refused: u64,
    pub held_bytes_max: u64,
}

impl Outcome {
    pub fn in_time(&self) -> u64 {
        self.answered - self.late
    }
}

#[derive(Debug, Clone, Copy)]
struct Request {
    size: u64,
    deadline: Mono,
    reservation: Option<ReservationId>,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrived(Request),
    Received(Request),
    Sent(Request),
    /// The caller has read the whole answer.
    Read(Request),
}

struct Entry {
    room: Option<AnswerRoom>,
    sizes: AnswerSizes,
    route: RouteName,
    read_time: Duration,
    events: BTreeMap<(Mono, u64), Event>,
    next_event: u64,
    waiting: BTreeMap<RoomTicket, Request>,
    inbound_free_at: Mono,
    outbound_free_at: Mono,
    held_bytes: u64,
    outcome: Outcome,
}

/// Simulates the load.
pub fn simulate(load: &Load, has_room: bool) -> Outcome {
    let config = RoomConfig::new(Bytes::new(BODY_BUDGET_BYTES), LINK);
    let mut entry = Entry {
        room: has_room.then(|| AnswerRoom::new(config)),
        sizes: AnswerSizes::new(),
        route: RouteName::new("films").expect("a valid name"),
        read_time: load.read_time,
        events: BTreeMap::new(),
        next_event: 0,
        waiting: BTreeMap::new(),
        inbound_free_at: Mono::ZERO,
        outbound_free_at: Mono::ZERO,
        held_bytes: 0,
        outcome: Outcome::default(),
    };
    for number in 0..load.requests_per_s * SIMULATED_MS / 1_000 {
        let at = Mono::from_millis(number * 1_000 / load.requests_per_s);
        let size = SIZES[number as usize % SIZES.len()];
        let request = Request { size, deadline: at.plus(DEADLINE), reservation: None };
        entry.schedule(at, Event::Arrived(request));
    }
    while let Some(((now, _), event)) = entry.events.pop_first() {
        entry.handle(event, now);
    }
    entry.outcome
}

impl Entry {
    fn schedule(&mut self, at: Mono, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn handle(&mut self, event: Event, now: Mono) {
        match event {
            Event::Arrived(request) => self.admit(request, now),
            Event::Received(request) => {
                self.sizes.record(&self.route, Bytes::new(request.size), now);
                self.held_bytes += request.size;
                self.outcome.held_bytes_max = self.outcome.held_bytes_max.max(self.held_bytes);
                self.outbound_free_at =
                    self.outbound_free_at.max(now).plus(transmission_time(request.size));
                self.schedule(self.outbound_free_at, Event::Sent(request));
                self.update_room(request, now, |room, id| {
                    room.start_sending(id, Bytes::new(request.size), now)
                });
            }
            Event::Sent(request) => {
                self.outcome.answered += 1;
                self.outcome.late += u64::from(now > request.deadline);
                self.schedule(now.plus(self.read_time), Event::Read(request));
                self.update_room(request, now, |room, id| {
                    room.record_sent(id, Bytes::new(request.size), now);
                    Vec::new()
                });
            }
            Event::Read(request) => {
                self.held_bytes -= request.size;
                self.update_room(request, now, |room, id| room.release(id, now));
            }
        }
    }

    fn admit(&mut self, request: Request, now: Mono) {
        let estimate: SizeEstimate = self.sizes.estimate(&self.route, now);
        let Some(room) = &mut self.room else { return self.send(request, now) };
        let asked = RoomRequest::new(estimate, now, now.plus(OBJECTIVE), request.deadline)
            .with_work_time(WORK_TIME);
        match room.request(asked, now) {
            RoomDecision::Granted(id) => {
                self.send(Request { reservation: Some(id), ..request }, now);
            }
            RoomDecision::Wait { ticket, .. } => {
                self.waiting.insert(ticket, request);
            }
            RoomDecision::Rejected { .. } => self.outcome.refused += 1,
        }
    }

    fn send(&mut self, request: Request, now: Mono) {
        let first_byte_at = now.plus(WORK_TIME);
        self.inbound_free_at =
            self.inbound_free_at.max(first_byte_at).plus(transmission_time(request.size));
        self.schedule(self.inbound_free_at, Event::Received(request));
    }

    fn update_room(
        &mut self,
        request: Request,
        now: Mono,
        update: impl FnOnce(&mut AnswerRoom, ReservationId) -> Vec<ResolvedWait>,
    ) {
        let (Some(room), Some(id)) = (&mut self.room, request.reservation) else { return };
        let mut resolved = update(room, id);
        resolved.extend(room.expire(now));
        for ResolvedWait { ticket, resolution } in resolved {
            let Some(request) = self.waiting.remove(&ticket) else { continue };
            match resolution {
                RoomResolution::Granted(id) => {
                    self.send(Request { reservation: Some(id), ..request }, now);
                }
                RoomResolution::Rejected { .. } => self.outcome.refused += 1,
            }
        }
    }
}

fn transmission_time(size: u64) -> Duration {
    RoomConfig::new(Bytes::new(BODY_BUDGET_BYTES), LINK).link.time_for(Bytes::new(size))
}
