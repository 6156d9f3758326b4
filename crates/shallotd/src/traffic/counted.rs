//! Counts what callers are answered.

use std::time::Instant;

use metrics::{counter, histogram};
use poem::Response;
use shallotfork_exchange::VERDICT_HEADER;

use crate::metrics_catalogue::{ANSWER_SECONDS, ANSWERS};

/// Counts one answer to a request that arrived at `arrived`.
pub fn counted(response: &Response, arrived: Instant) {
    let status = status_class(response.status().as_u16());
    let verdict = response.headers().get(VERDICT_HEADER).map(|value| value.as_bytes());
    counter!(ANSWERS.name, "status" => status, "verdict" => verdict_label(verdict)).increment(1);
    histogram!(ANSWER_SECONDS.name).record(arrived.elapsed());
}

fn status_class(status: u16) -> &'static str {
    match status {
        200..300 => "2xx",
        300..400 => "3xx",
        400..500 => "4xx",
        _ => "5xx",
    }
}

/// Labels come from a fixed set, so that no caller or target can make the page grow.
fn verdict_label(verdict: Option<&[u8]>) -> &'static str {
    match verdict {
        Some(b"not-run") => "not-run",
        Some(b"may-have-run") => "may-have-run",
        Some(b"ran") => "ran",
        _ => "none",
    }
}
