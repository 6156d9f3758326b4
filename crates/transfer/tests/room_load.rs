//! Large answers at the smallest VM: a link of 10 Mbit/s and 37 MB for bodies.

#[path = "support/entry.rs"]
mod entry;

use std::time::Duration;

use entry::{BODY_BUDGET_BYTES, Load, simulate};

/// Guards against requests that are sent although their answers will be late: without the decision
/// the backlog at the link grows, and soon nearly all answers miss their deadline.
#[test]
fn what_is_sent_is_answered_in_time_when_demand_exceeds_the_link() {
    // 93 kB each, hence 1.9 MB a second on a link that carries 1.16 MB.
    let load = Load { requests_per_s: 20, read_time: Duration::ZERO };
    let with = simulate(&load, true);
    let without = simulate(&load, false);
    assert!(with.late * 50 <= with.answered, "{with:?}");
    assert!(without.late * 2 > without.answered, "{without:?}");
    // Three quarters of what the link can carry is answered in time.
    assert!(with.in_time() >= 30 * 12 * 3 / 4, "{with:?}");
    assert!(with.in_time() > without.in_time(), "{with:?} {without:?}");
}

/// Guards against refusing requests when the link has room: at the usual load of the busiest entry
/// nothing is refused.
#[test]
fn nothing_is_refused_at_the_usual_load() {
    let load = Load { requests_per_s: 5, read_time: Duration::ZERO };
    let with = simulate(&load, true);
    assert_eq!((with.refused, with.late), (0, 0), "{with:?}");
}

/// Guards against callers that read slowly and so exhaust the memory for bodies: without the
/// decision the answers held for them exceed all of it, and ordinary requests are refused.
#[test]
fn slow_callers_leave_memory_for_ordinary_requests() {
    let load = Load { requests_per_s: 100, read_time: Duration::from_secs(60) };
    let with = simulate(&load, true);
    let without = simulate(&load, false);
    assert!(with.held_bytes_max <= BODY_BUDGET_BYTES * 6 / 10, "{with:?}");
    assert!(without.held_bytes_max > BODY_BUDGET_BYTES, "{without:?}");
}
