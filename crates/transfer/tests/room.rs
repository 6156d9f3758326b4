//! Tests of the capacity for large answers.

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use shallotfork_transfer::{
    AnswerRoom, ReservationId, ResolvedWait, RoomConfig, RoomDecision, RoomRequest, RoomResolution,
    RoomTicket, SizeEstimate,
};
use shallotfork_types::{Bytes, BytesPerSecond, Mono};

const SEED: u64 = 13;
const TESTS: u64 = 400;
const GEN_SIZE: usize = 120;
const LINK: BytesPerSecond = BytesPerSecond::new(1_250_000);
const BODY_BUDGET: Bytes = Bytes::from_mib(37);

fn config() -> RoomConfig {
    RoomConfig::new(BODY_BUDGET, LINK)
}

fn room() -> AnswerRoom {
    AnswerRoom::new(config())
}

fn at(ms: u64) -> Mono {
    Mono::from_millis(ms)
}

fn size(reserved: u64) -> SizeEstimate {
    SizeEstimate { reserved: Bytes::new(reserved), mean: Bytes::new(reserved / 4) }
}

/// A request that arrives at `now_ms` with an objective of 1 s and a deadline of 10 s.
fn request(reserved: u64, now_ms: u64) -> RoomRequest {
    RoomRequest::new(size(reserved), at(now_ms), at(now_ms + 1_000), at(now_ms + 10_000))
}

fn expect_granted(decision: RoomDecision) -> ReservationId {
    match decision {
        RoomDecision::Granted(id) => id,
        other => panic!("expected a reservation, got {other:?}"),
    }
}

fn expect_wait(decision: RoomDecision) -> RoomTicket {
    match decision {
        RoomDecision::Wait { ticket, .. } => ticket,
        other => panic!("expected a wait, got {other:?}"),
    }
}

fn granted_tickets(resolved: &[ResolvedWait]) -> Vec<RoomTicket> {
    let is_granted = |one: &&ResolvedWait| matches!(one.resolution, RoomResolution::Granted(_));
    resolved.iter().filter(is_granted).map(|one| one.ticket).collect()
}

/// Grants requests until one has to wait. Returns the reservations.
fn fill(room: &mut AnswerRoom, reserved: u64) -> Vec<ReservationId> {
    let mut granted = Vec::new();
    while let Some(id) = room.try_reserve(&request(reserved, 0), at(0)) {
        granted.push(id);
    }
    granted
}

/// The parts of memory and link that the design note states for the smallest VM.
#[test]
fn limits_on_the_smallest_vm() {
    let config = config();
    assert_eq!(config.memory_max, Bytes::new(BODY_BUDGET.value() / 2));
    assert_eq!(config.large_rate, BytesPerSecond::new(988_125));
    assert_eq!(config.inbound_max, Bytes::new(988_125));
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Request { reserved: u64, objective_ms: u64 },
    Receive { actual: u64 },
    Release,
    Cancel,
    Pause { ms: u64 },
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        let value = u64::from(u32::arbitrary(generator));
        match u8::arbitrary(generator) % 8 {
            0..=2 => {
                let objective_ms = u64::from(u16::arbitrary(generator) % 2_000);
                Self::Request { reserved: value % 600_000 + 1, objective_ms }
            }
            3 | 4 => Self::Receive { actual: value % 600_000 },
            5 => Self::Release,
            6 => Self::Cancel,
            _ => Self::Pause { ms: value % 300 },
        }
    }
}

/// A room with what a correct implementation must know about its reservations.
struct Model {
    room: AnswerRoom,
    now_ms: u64,
    /// Sizes of the answers that are expected, and of those that are held.
    receiving: BTreeMap<ReservationId, u64>,
    sending: BTreeMap<ReservationId, u64>,
    waiting: BTreeMap<(Mono, Mono, RoomTicket), u64>,
}

impl Model {
    fn new() -> Self {
        Self {
            room: room(),
            now_ms: 0,
            receiving: BTreeMap::new(),
            sending: BTreeMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    fn used(&self) -> (u64, u64) {
        let inbound = self.receiving.values().map(|reserved| reserved / 4).sum();
        (self.receiving.values().chain(self.sending.values()).sum(), inbound)
    }

    fn fits(&self, reserved: u64) -> bool {
        let (memory, inbound) = self.used();
        let fits = |used: u64, size: u64, max: Bytes| used == 0 || used + size <= max.value();
        fits(memory, reserved, config().memory_max)
            && fits(inbound, reserved / 4, config().inbound_max)
    }

    fn grant(&mut self, id: ReservationId, reserved: u64) -> bool {
        let fits = self.fits(reserved);
        self.receiving.insert(id, reserved);
        fits
    }

    /// Applies resolutions; each must be of the first waiting request, and granted only if it fits.
    fn apply(&mut self, resolved: Vec<ResolvedWait>) -> bool {
        resolved.into_iter().all(|one| {
            let Some((key, reserved)) = self.waiting.pop_first() else { return false };
            match one.resolution {
                RoomResolution::Granted(id) => key.2 == one.ticket && self.grant(id, reserved),
                RoomResolution::Rejected { .. } => key.2 == one.ticket,
            }
        })
    }

    fn step(&mut self, step: Step) -> bool {
        let now = at(self.now_ms);
        let is_valid = match step {
            Step::Request { reserved, objective_ms } => {
                let objective = at(self.now_ms + objective_ms);
                let deadline = at(self.now_ms + 100_000);
                let request = RoomRequest::new(size(reserved), now, objective, deadline);
                match self.room.request(request, now) {
                    RoomDecision::Granted(id) => self.grant(id, reserved),
                    RoomDecision::Wait { ticket, expected_at, .. } => {
                        self.waiting.insert((objective, now, ticket), reserved);
                        expected_at >= now
                    }
                    RoomDecision::Rejected { .. } => false,
                }
            }
            Step::Receive { actual } => {
                let Some((id, _)) = self.receiving.pop_first() else { return true };
                self.sending.insert(id, actual);
                let resolved = self.room.start_sending(id, Bytes::new(actual), now);
                self.apply(resolved)
            }
            Step::Release => {
                let released = self.sending.pop_first().or_else(|| self.receiving.pop_last());
                let Some((id, _)) = released else { return true };
                let resolved = self.room.release(id, now);
                self.apply(resolved)
            }
            Step::Cancel => {
                let Some(key) = self.waiting.keys().next().copied() else { return true };
                self.waiting.remove(&key);
                let resolved = self.room.cancel(key.2, now);
                self.apply(resolved)
            }
            Step::Pause { ms } => {
                self.now_ms += ms;
                true
            }
        };
        let summary = self.room.summary();
        let first_fits = self.waiting.values().next().is_some_and(|reserved| self.fits(*reserved));
        is_valid
            && !first_fits
            && summary.reserved.value() == self.used().0
            && summary.waiting == self.waiting.len()
    }
}

/// Guards against reservations beyond the parts for large answers, reservations that leak, waiting
/// requests that are passed over and requests that wait although there is room.
#[test]
fn reservations_stay_within_the_limits_and_follow_the_order() {
    fn property(steps: Vec<Step>) -> bool {
        let mut model = Model::new();
        steps.into_iter().all(|step| model.step(step))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(TESTS)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Guards against a route whose answers are larger than the limits and that is never served.
#[test]
fn an_answer_beyond_the_limits_is_granted_alone() {
    let mut room = room();
    let request = RoomRequest::new(size(30 << 20), at(0), at(1_000), at(60_000));
    let first = expect_granted(room.request(request, at(0)));
    expect_wait(room.request(request, at(0)));
    let resolved = room.release(first, at(10));
    assert_eq!(granted_tickets(&resolved).len(), 1);
}

/// Guards against later requests that pass earlier ones of the same objective, and against patient
/// requests that are served before urgent ones.
#[test]
fn waiting_requests_are_ordered_by_objective_then_arrival() {
    let mut room = room();
    let held = fill(&mut room, 300_000);
    let deadline = at(10_000);
    let wait = |room: &mut AnswerRoom, arrived_ms: u64, objective_ms: u64| {
        let request = RoomRequest::new(size(300_000), at(arrived_ms), at(objective_ms), deadline);
        expect_wait(room.request(request, at(10)))
    };
    let patient = wait(&mut room, 1, 3_000);
    let second = wait(&mut room, 3, 2_000);
    let first = wait(&mut room, 2, 2_000);
    let mut order = Vec::new();
    for id in held {
        order.extend(granted_tickets(&room.release(id, at(20))));
    }
    assert_eq!(order, [first, second, patient]);
}

/// Guards against requests that are sent although their callers will have gone before the transfer
/// ends, and against rejections that do not say when to come back.
#[test]
fn a_transfer_that_cannot_end_in_time_is_rejected() {
    let mut room = room();
    // 135 kB take 0.12 s in each direction.
    let hopeless = RoomRequest::new(size(540_000), at(0), at(200), at(200));
    let decision = room.request(hopeless, at(0));
    let RoomDecision::Rejected { retry_after } = decision else { panic!("{decision:?}") };
    assert!(retry_after >= Duration::from_millis(150));
    let possible = RoomRequest::new(size(540_000), at(0), at(300), at(300));
    expect_granted(room.request(possible, at(0)));
    let work_time = Duration::from_millis(150);
    let too_long = RoomRequest::new(size(200_000), at(0), at(200), at(200));
    let decision = room.request(too_long.with_work_time(work_time), at(0));
    assert!(matches!(decision, RoomDecision::Rejected { .. }), "{decision:?}");
}

/// Guards against requests that wait although the backlog at the link makes them late.
#[test]
fn a_backlog_at_the_link_rejects_urgent_requests() {
    let mut room = room();
    for _ in 0..10 {
        let id = expect_granted(room.request(request(500_000, 0), at(0)));
        room.start_sending(id, Bytes::new(500_000), at(0));
    }
    // 5 MB take five seconds to send.
    let urgent = RoomRequest::new(size(100_000), at(0), at(1_000), at(4_000));
    let decision = room.request(urgent, at(0));
    let RoomDecision::Rejected { retry_after } = decision else { panic!("{decision:?}") };
    assert!((Duration::from_millis(500)..=Duration::from_secs(2)).contains(&retry_after));
    let patient = RoomRequest::new(size(100_000), at(0), at(1_000), at(8_000));
    expect_granted(room.request(patient, at(0)));
}

/// Guards against callers that do not read and so keep others from being served: their bytes do
/// not move and do not occupy the link.
#[test]
fn stalled_transfers_do_not_count_as_backlog() {
    let mut room = room();
    for _ in 0..10 {
        let id = expect_granted(room.request(request(500_000, 0), at(0)));
        room.start_sending(id, Bytes::new(500_000), at(0));
    }
    let now = at(1_100);
    let urgent = RoomRequest::new(size(100_000), now, at(2_000), at(2_100));
    expect_granted(room.request(urgent, now));
}

/// Guards against requests that wait beyond the time at which they could still be answered.
#[test]
fn a_waiting_request_is_rejected_once_it_is_hopeless() {
    let mut room = room();
    let held = fill(&mut room, 300_000);
    let decision = room.request(request(300_000, 0), at(0));
    let RoomDecision::Wait { give_up_at, .. } = decision else { panic!("{decision:?}") };
    // The answers that are expected take a second to send.
    assert_eq!(room.expire(give_up_at.minus(Duration::from_millis(1_100))), []);
    let late = give_up_at.plus(Duration::from_millis(1));
    let resolved = room.expire(late);
    assert!(matches!(
        resolved[..],
        [ResolvedWait { resolution: RoomResolution::Rejected { .. }, .. }]
    ));
    assert_eq!(room.release(held[0], late), []);
}

/// Guards against a release that grants room to a request that has become hopeless meanwhile.
#[test]
fn a_hopeless_request_is_not_granted() {
    let mut room = room();
    let held = fill(&mut room, 300_000);
    expect_wait(room.request(request(300_000, 0), at(0)));
    let resolved = room.release(held[0], at(20_000));
    assert!(matches!(
        resolved[..],
        [ResolvedWait { resolution: RoomResolution::Rejected { .. }, .. }]
    ));
}

/// Guards against a reservation that stays at the estimate when the answer is smaller.
#[test]
fn the_actual_size_frees_the_rest_of_the_reservation() {
    let mut room = room();
    let held = fill(&mut room, 450_000);
    assert_eq!(held.len(), 8);
    let ticket = expect_wait(room.request(request(450_000, 0), at(0)));
    let resolved = room.correct(held[0], Bytes::new(20_000), at(10));
    assert_eq!(granted_tickets(&resolved), [ticket]);
    assert_eq!(room.summary().reserved.value(), 8 * 450_000 + 20_000);
}

/// Guards against an attempt that fails after its size was corrected, and whose successor has less
/// room than its answer needs.
#[test]
fn another_attempt_has_the_expected_size_again() {
    let mut room = room();
    let id = expect_granted(room.request(request(450_000, 0), at(0)));
    room.correct(id, Bytes::new(10), at(10));
    room.restart(id, size(450_000));
    assert_eq!(room.summary().reserved.value(), 450_000);
    assert_eq!(room.summary().held, Bytes::default());
}

/// Guards against callers that leave while their request waits: it must not be granted room that
/// nobody releases.
#[test]
fn a_cancelled_request_makes_way() {
    let mut room = room();
    let held = fill(&mut room, 450_000);
    let first = expect_wait(room.request(request(450_000, 0), at(0)));
    let second = expect_wait(room.request(request(50_000, 1), at(1)));
    let resolved = room.cancel(first, at(2));
    assert_eq!(granted_tickets(&resolved), [second]);
    let reservations = room.summary().reservations;
    assert_eq!(reservations, held.len() + 1);
}

/// Guards against second releases, cancellations or late corrections of what has ended.
#[test]
fn events_after_the_release_are_ignored() {
    let mut room = room();
    let held = fill(&mut room, 450_000);
    let ticket = expect_wait(room.request(request(450_000, 0), at(0)));
    room.cancel(ticket, at(1));
    for id in held.into_iter().flat_map(|id| [id, id]) {
        room.release(id, at(1));
        room.correct(id, Bytes::new(5), at(3));
        room.start_sending(id, Bytes::new(5), at(4));
        room.record_sent(id, Bytes::new(5), at(5));
        room.restart(id, size(5));
    }
    assert_eq!(room.cancel(ticket, at(6)), []);
    assert_eq!(room.summary(), shallotfork_transfer::RoomSummary::default());
}

/// Guards against expecting room at once behind a long queue: requests would wait in vain instead of
/// being rejected at once.
#[test]
fn the_expected_wait_counts_those_that_wait_before() {
    let mut room = room();
    fill(&mut room, 400_000);
    let expected_at = |room: &mut AnswerRoom| match room.request(request(400_000, 0), at(0)) {
        RoomDecision::Wait { expected_at, .. } => expected_at,
        other => panic!("expected a wait, got {other:?}"),
    };
    let first = expected_at(&mut room);
    let second = expected_at(&mut room);
    // An answer of 100 kB takes 0.1 s at the share for large answers.
    assert_eq!(second.since(first).as_millis(), 101);
    let waits = (0..1_000).map(|_| room.request(request(400_000, 0), at(0)));
    let waiting = waits.filter(|decision| matches!(decision, RoomDecision::Wait { .. })).count();
    assert!((80..100).contains(&waiting), "{waiting}");
}

/// Guards against transfers that a stopping process cuts off: what can't be written until its end is
/// rejected at once, whether it waits or arrives later.
#[test]
fn transfers_that_would_outlast_the_process_are_rejected() {
    let mut room = room();
    let held = fill(&mut room, 480_000);
    let waiting: Vec<RoomTicket> =
        (0..10).map(|_| expect_wait(room.request(request(480_000, 0), at(0)))).collect();
    // The link sends about two answers of this size in a second, of which eight are reserved.
    let resolved = room.end_by(at(6_000), at(0));
    let rejected = rejected_tickets(&resolved);
    assert!(granted_tickets(&resolved).is_empty());
    assert!(!rejected.is_empty() && rejected.len() < waiting.len(), "{rejected:?}");
    assert_eq!(rejected, waiting[waiting.len() - rejected.len()..], "the last ones have no time");
    assert!(resolved.iter().all(|one| {
        let retry_after = config().retry_after_min;
        one.resolution == RoomResolution::Rejected { retry_after }
    }));
    let decision = room.request(request(480_000, 10), at(10));
    assert!(matches!(decision, RoomDecision::Rejected { .. }), "{decision:?}");
    assert_eq!(room.try_reserve(&request(480_000, 10), at(10)), None);
    // The answers turn out to be as large as few are, and are written as fast as the link allows.
    let mut sent_at = at(0);
    let mut reserved: Vec<ReservationId> = held;
    let mut written = 0;
    while let Some(id) = reserved.pop() {
        room.start_sending(id, Bytes::new(480_000), sent_at);
        sent_at = sent_at.plus(config().large_rate.time_for(Bytes::new(480_000)));
        written += 1;
        let granted = room.release(id, sent_at);
        reserved.extend(granted.iter().filter_map(|one| match one.resolution {
            RoomResolution::Granted(id) => Some(id),
            RoomResolution::Rejected { .. } => None,
        }));
    }
    assert!(sent_at <= at(6_000), "{written} answers until {sent_at:?}");
}

fn rejected_tickets(resolved: &[ResolvedWait]) -> Vec<RoomTicket> {
    let is_rejected =
        |one: &&ResolvedWait| matches!(one.resolution, RoomResolution::Rejected { .. });
    resolved.iter().filter(is_rejected).map(|one| one.ticket).collect()
}
