//! Checks whether an answer belongs to a request.

use http::HeaderMap;
use shallotfork_exchange::AnswerMatch;

use crate::context::Context;

/// Checks whether an answer belongs to the request, by the request id that targets echo.
///
/// A signed answer without an id is foreign: a success must prove which request it belongs to. An
/// unsigned answer without an id can only be a failure and counts as an answer to this request.
pub fn answer_owner(context: &Context, request_id: &str, headers: &HeaderMap) -> AnswerMatch {
    let echoed = headers.get(&context.dialect.headers.request_id);
    match echoed {
        Some(id) if id.as_bytes() == request_id.as_bytes() => AnswerMatch::Match,
        Some(_) => AnswerMatch::Mismatch,
        None if headers.contains_key(&context.dialect.headers.signature) => AnswerMatch::Mismatch,
        None => AnswerMatch::Match,
    }
}
