//! Reads rate limits from the answers of targets and applies them.

use http::HeaderMap;
use shallotfork_events::{RATE_LIMIT_INVALID, TARGET_RATE_LIMIT, event};
use shallotfork_exchange::BufferedAnswer;
use shallotfork_types::{RequestRate, TargetId};

use crate::context::{Context, lock};
use crate::log_budget::LogDecision;

/// The rate limit information in an answer.
enum AdvertisedLimit {
    Limit(RequestRate),
    NoLimit,
    /// The answer is no evidence either way.
    Unknown,
}

/// Records the rate limit that an answer advertises and applies it if it has changed.
pub fn record_rate_limit(context: &Context, target: &TargetId, answer: &BufferedAnswer) {
    let limit = match advertised_limit(context, target, answer) {
        AdvertisedLimit::Limit(limit) => Some(limit),
        AdvertisedLimit::NoLimit => None,
        AdvertisedLimit::Unknown => return,
    };
    // Held while the limit is applied, so that concurrent changes are applied in order.
    let mut rate_limits = lock(&context.rate_limits);
    if rate_limits.record_answer(target, limit, context.clock.now()) {
        apply_rate_limit(context, target, limit, "own");
    }
}

/// Applies a changed rate limit to the slots of all services and logs the change. `source` is `own`
/// for an answer to this process, `peer` for a report from a peer, and `lapsed` for an expired
/// limit.
pub fn apply_rate_limit(
    context: &Context,
    target: &TargetId,
    limit: Option<RequestRate>,
    source: &str,
) {
    for (_, slots) in context.services.all() {
        slots.set_rate_limit(target, limit);
    }
    event!(context.log, TARGET_RATE_LIMIT,
        "target" => target.as_str(),
        "limit_per_s" => limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string()),
        "source" => source,
    );
}

/// Reads the rate limit from an answer. A failure without the header does not remove the limit,
/// because it may come from an intermediary in front of the target.
fn advertised_limit(
    context: &Context,
    target: &TargetId,
    answer: &BufferedAnswer,
) -> AdvertisedLimit {
    let Some(text) = rate_limit_header(context, &answer.headers) else {
        let is_success = answer.status.is_success();
        return if is_success { AdvertisedLimit::NoLimit } else { AdvertisedLimit::Unknown };
    };
    text.parse().map_or_else(
        |_| {
            log_invalid(context, target);
            AdvertisedLimit::Unknown
        },
        AdvertisedLimit::Limit,
    )
}

fn log_invalid(context: &Context, target: &TargetId) {
    let LogDecision::Write { left_out } =
        context.invalid_log_budget.try_acquire(context.clock.now())
    else {
        return;
    };
    event!(context.log, RATE_LIMIT_INVALID, "target" => target.as_str(), "left_out" => left_out);
}

fn rate_limit_header<'a>(context: &Context, headers: &'a HeaderMap) -> Option<&'a str> {
    let value = headers.get(&context.dialect.headers.rate_limit)?;
    // A value that is not visible ASCII becomes an empty string, which fails to parse.
    Some(value.to_str().unwrap_or_default())
}
