//! Metrics of answers to callers.

use std::time::Instant;

use metrics::{counter, histogram};
use poem::Response;
use shallotfork_exchange::VERDICT_HEADER;

use crate::metrics_catalogue::{ANSWER_SECONDS, ANSWERS};

/// Records an answer to a request that was received at `received_at`.
pub fn record_answer(response: &Response, received_at: Instant) {
    let status = status_class(response.status().as_u16());
    let verdict = response.headers().get(VERDICT_HEADER).map(|value| value.as_bytes());
    counter!(ANSWERS.name, "status" => status, "verdict" => verdict_label(verdict)).increment(1);
    histogram!(ANSWER_SECONDS.name).record(received_at.elapsed());
}

fn status_class(status: u16) -> &'static str {
    match status {
        200..300 => "2xx",
        300..400 => "3xx",
        400..500 => "4xx",
        _ => "5xx",
    }
}

/// Returns the label of a verdict. Labels come from a fixed set, so that no caller or target can
/// make the metrics page grow.
fn verdict_label(verdict: Option<&[u8]>) -> &'static str {
    match verdict {
        Some(b"not-run") => "not-run",
        Some(b"may-have-run") => "may-have-run",
        Some(b"ran") => "ran",
        _ => "none",
    }
}
