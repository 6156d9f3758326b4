//! Reserves room for the answers of routes whose answers are large.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use shallotfork_balance::{Shed, ShedReason};
use shallotfork_exchange::BUDGET_RETRY_AFTER;
use shallotfork_routes::AnswerSize;
use shallotfork_transfer::RoomRequest;
use shallotfork_types::Bytes;

use crate::large::{PendingRoom, RoomAdmission, RoomGuard};
use crate::traffic::routed_request::RoutedRequest;

/// Room for the answer to a request; `None` if the route's answers are ordinary.
pub type AnswerRoom = Option<Arc<RoomGuard>>;

/// Whether there is room for the answer to a request.
#[derive(Debug)]
pub enum RoomCheck {
    /// The request may be sent.
    Send(AnswerRoom),
    /// The request has to wait.
    Wait(PendingRoom),
}

/// Reserves room for the answer to a request. `reserved` is the room of an earlier attempt, which
/// is used again, so that a retry never waits for room.
///
/// # Errors
/// Returns the rejection if the transfer can't end before the deadline.
pub fn check_room(routed: &RoutedRequest, reserved: AnswerRoom) -> Result<RoomCheck, Shed> {
    if !is_large(routed) {
        return Ok(RoomCheck::Send(None));
    }
    let large_answers = &routed.context.large_answers;
    if let Some(room) = reserved {
        room.restart(large_answers.estimate(&routed.route.name));
        return Ok(RoomCheck::Send(Some(room)));
    }
    match large_answers.request(room_request(routed)) {
        RoomAdmission::Granted(room) => Ok(RoomCheck::Send(Some(Arc::new(room)))),
        RoomAdmission::Wait(pending) => Ok(RoomCheck::Wait(pending)),
        RoomAdmission::Rejected { retry_after } => Err(shed_no_room(retry_after)),
    }
}

/// Waits for room.
///
/// # Errors
/// Returns the rejection if the transfer can't end before the deadline any more.
pub async fn wait_for_room(pending: PendingRoom) -> Result<AnswerRoom, Shed> {
    pending.wait().await.map(|room| Some(Arc::new(room))).map_err(shed_no_room)
}

/// Whether the memory for bodies has room for the answer to a request that has waited for a slot.
///
/// # Errors
/// Returns the rejection if the caller takes none of its earlier answers.
pub fn check_memory(routed: &RoutedRequest) -> Result<bool, Shed> {
    if routed.caller.is_held_up() {
        return Err(shed_no_room(BUDGET_RETRY_AFTER));
    }
    Ok(!routed.context.body_budget.is_full())
}

/// Waits until the memory for bodies has room for the answer.
///
/// # Errors
/// Returns the rejection if there is none.
pub async fn wait_for_memory(routed: &RoutedRequest) -> Result<(), Shed> {
    let has_room = routed.context.body_budget.wait_for_room().await;
    has_room.then_some(()).ok_or_else(|| shed_no_room(BUDGET_RETRY_AFTER))
}

/// Reserves room for the answer to a hedge. Returns `None` if that would need waiting: a hedge
/// doubles what the request occupies, and must not delay other requests.
pub fn try_reserve_hedge(routed: &RoutedRequest) -> Option<AnswerRoom> {
    if !is_large(routed) {
        return Some(None);
    }
    let room = routed.context.large_answers.try_reserve(&room_request(routed))?;
    Some(Some(Arc::new(room)))
}

/// Corrects the reserved size to the one that the target has stated.
pub fn correct_room(room: &AnswerRoom, headers: &HeaderMap) {
    let length = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    if let (Some(room), Some(bytes)) = (room, length.and_then(|text| text.parse().ok())) {
        room.correct(Bytes::new(bytes));
    }
}

/// Whether the answers of the request's route are large.
pub fn is_large(routed: &RoutedRequest) -> bool {
    routed.route.answer_size == AnswerSize::Large
}

/// Returns the size that the answer to a request is expected not to exceed; zero for routes whose
/// answers are ordinary, of which nothing is known.
pub fn expected_answer_size(routed: &RoutedRequest) -> Bytes {
    if !is_large(routed) {
        return Bytes::default();
    }
    routed.context.large_answers.estimate(&routed.route.name).reserved
}

fn room_request(routed: &RoutedRequest) -> RoomRequest {
    let large_answers = &routed.context.large_answers;
    let size = large_answers.estimate(&routed.route.name);
    // The usual time includes the transfer from the target, which the room adds.
    let usual_time = routed.context.slots(&routed.service).usual_time(&routed.class());
    let work_time = usual_time.saturating_sub(large_answers.link_time(size.mean));
    RoomRequest::new(size, routed.arrived_at, routed.objective, routed.deadline)
        .with_work_time(work_time)
}

fn shed_no_room(retry_after: Duration) -> Shed {
    Shed { retry_after, reason: ShedReason::NoRoom }
}
