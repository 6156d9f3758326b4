//! Parser for the `then.` keys of a rule.

use std::time::Duration;

use crate::section_reader::SectionReader;
use crate::{Outcome, Refusal};

pub(crate) const KEYS: &[&str] = &[
    "then.prefer",
    "then.deadline_ms",
    "then.retries",
    "then.hedge",
    "then.priority",
    "then.refuse",
    "then.retry_after_ms",
];

/// Keys that control attempts; a rejected request has none.
const ATTEMPT_KEYS: [&str; 5] =
    ["then.prefer", "then.deadline_ms", "then.retries", "then.hedge", "then.priority"];

const MAX_DEADLINE_MS: u32 = 3_600_000;
const MAX_RETRIES: u32 = 10;
const MAX_RETRY_AFTER_MS: u32 = 86_400_000;

/// Reads the outcome; absent and invalid keys take their default.
pub(crate) fn read(reader: &mut SectionReader<'_>) -> Outcome {
    let default = Outcome::default();
    Outcome {
        prefer: reader.values("then.prefer").unwrap_or_default(),
        deadline: reader.number("then.deadline_ms", 1, MAX_DEADLINE_MS).map(millis),
        retries: reader.number("then.retries", 0, MAX_RETRIES).unwrap_or(default.retries),
        hedge: hedge(reader).unwrap_or(default.hedge),
        priority: reader.value("then.priority").unwrap_or(default.priority),
        refuse: refusal(reader),
    }
}

fn millis(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

fn hedge(reader: &mut SectionReader<'_>) -> Option<bool> {
    match reader.value::<String>("then.hedge")?.as_str() {
        "yes" => Some(true),
        "no" => Some(false),
        _ => {
            reader.reject("then.hedge", "expected yes or no");
            None
        }
    }
}

fn refusal(reader: &mut SectionReader<'_>) -> Option<Refusal> {
    let status = reader.number("then.refuse", 400, 599);
    let retry_after = reader.number("then.retry_after_ms", 1, MAX_RETRY_AFTER_MS).map(millis);
    if !reader.has("then.refuse") {
        if reader.has("then.retry_after_ms") {
            reader.reject("then.retry_after_ms", "has no effect without then.refuse");
        }
        return None;
    }
    for key in ATTEMPT_KEYS {
        if reader.has(key) {
            reader.reject(key, "has no effect together with then.refuse");
        }
    }
    let status = u16::try_from(status?).ok()?;
    Some(Refusal { status, retry_after })
}
