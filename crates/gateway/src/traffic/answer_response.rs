//! Converts answers of targets into responses to callers.

use std::sync::Arc;

use bytes::Bytes;
use shallotfork_exchange::BufferedAnswer;
use shallotfork_types::Bytes as Size;

use crate::large::RoomGuard;
use crate::traffic::answer_room::AnswerRoom;
use crate::traffic::routed_request::RoutedRequest;

/// Returns the response with a complete answer. The room of a large answer is released when its
/// body is dropped, that is when the last byte was written or the transfer has ended.
pub fn answer_response(
    routed: &RoutedRequest,
    mut answer: BufferedAnswer,
    room: AnswerRoom,
) -> poem::Response {
    let method = &routed.request.method;
    let Some(room) = room else { return answer.into_response(method) };
    let size = Size::new(answer.body.len() as u64);
    if answer.status.is_success() {
        routed.context.large_answers.record_size(&routed.route.name, size);
    }
    room.start_sending(size);
    answer.body = Bytes::from_owner(HeldBody { bytes: answer.body, _room: room });
    answer.into_response(method)
}

/// Body of a large answer, with its room.
struct HeldBody {
    bytes: Bytes,
    _room: Arc<RoomGuard>,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
