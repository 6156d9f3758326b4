//! Converts answers of targets into responses to callers.

use std::sync::Arc;

use metrics::counter;
use shallotfork_events::{TRANSFER_BROKEN, event};
use shallotfork_exchange::{AnswerTransfer, BufferedAnswer, TransferEnd, TransferReport};
use shallotfork_types::{Bytes, Mono};

use crate::context::Context;
use crate::large::{LargeWriter, OrdinaryWriter, RoomGuard};
use crate::log_budget::LogDecision;
use crate::traffic::answer_room::AnswerRoom;
use crate::traffic::routed_request::RoutedRequest;

/// Returns the response with a complete answer.
///
/// Ordinary answers never wait. Their bytes are counted while large ones are transferred.
pub fn answer_response(
    routed: &RoutedRequest,
    answer: BufferedAnswer,
    room: AnswerRoom,
) -> poem::Response {
    let method = &routed.request.method;
    if let Some(room) = room {
        let transfer = large_transfer(routed, &answer, room);
        return answer.into_transferred_response(method, transfer);
    }
    let large_answers = &routed.context.large_answers;
    if !large_answers.is_active() {
        return answer.into_response(method);
    }
    let writer = OrdinaryWriter::new(Arc::clone(large_answers));
    answer.into_transferred_response(method, AnswerTransfer::new().with_recorder(Arc::new(writer)))
}

/// Returns the transfer of an answer with reserved room, which is released when the last byte was
/// written or the transfer has ended.
fn large_transfer(
    routed: &RoutedRequest,
    answer: &BufferedAnswer,
    room: Arc<RoomGuard>,
) -> AnswerTransfer {
    let large_answers = &routed.context.large_answers;
    let size = Bytes::new(answer.body.len() as u64);
    if answer.status.is_success() {
        large_answers.record_size(&routed.route.name, size);
    }
    room.start_sending(size);
    let writer = Arc::new(LargeWriter::new(Arc::clone(&room), routed.objective));
    let ended = EndedTransfer::new(routed);
    let transfer = AnswerTransfer::new().with_on_end(move |report| {
        drop(room);
        ended.record(&report);
    });
    // Many answers of a large route are small, for example errors. These need not wait.
    if size <= large_answers.pacing().chunk_size() {
        transfer.with_recorder(writer)
    } else {
        transfer.with_pacer(writer)
    }
}

/// Details of a transfer for its record when it has ended.
struct EndedTransfer {
    context: Arc<Context>,
    request_id: String,
    route: String,
    started_at: Mono,
}

impl EndedTransfer {
    fn new(routed: &RoutedRequest) -> Self {
        Self {
            context: Arc::clone(&routed.context),
            request_id: routed.request_id.clone(),
            route: routed.route.name.to_string(),
            started_at: routed.context.clock.now(),
        }
    }

    /// Counts the transfer, and logs it if it has ended early.
    fn record(&self, report: &TransferReport) {
        counter!("shallotfork_transfers", "end" => report.end.as_str()).increment(1);
        if report.end == TransferEnd::Completed {
            return;
        }
        let context = &self.context;
        let now = context.clock.now();
        let LogDecision::Write { left_out } = context.transfer_log_budget.try_acquire(now) else {
            return;
        };
        let took = now.since(self.started_at);
        event!(context.log, TRANSFER_BROKEN,
            "request" => &self.request_id,
            "route" => &self.route,
            "cause" => report.end.as_str(),
            "sent_bytes" => report.sent.value(),
            "size_bytes" => report.total.value(),
            "took_ms" => u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
            "left_out" => left_out,
        );
    }
}
