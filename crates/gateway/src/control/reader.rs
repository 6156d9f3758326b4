//! Reads published items from the platform, and watches for changes.

use std::rc::Rc;
use std::time::Duration;

use metrics::counter;
use rand::RngExt;
use shallotfork_events::{
    PLATFORM_DISCONNECTED, PLATFORM_HISTORY_LOST, PLATFORM_READ_DROPPED, PLATFORM_RECONNECTED,
    event,
};
use shallotfork_types::{Epoch, Position};
use tokio::time::timeout;

use crate::control::advertise::update_advertised_entries;
use crate::control::publish::{apply_changes, apply_snapshot, publish_platform_outage};
use crate::control::state::ControlState;
use crate::log_budget::LogDecision;
use shallotfork_feed::{FeedError, Freshness, RawItem};
use shallotfork_fleet::OwnState;

/// How long a watch waits for a change. A platform that stops answering is noticed only when the
/// watch ends. If that happens to all readers at once, other entries have to replace them soon
/// enough for a change to be in force everywhere within the users' limit of 2 s.
const WATCH_WAIT: Duration = Duration::from_millis(700);
/// Time without an answer after the wait of a watch from which the connection counts as failed. A
/// platform that is only slow answers sooner.
const WATCH_SILENCE_MAX: Duration = Duration::from_millis(400);
/// Maximum time without received data while a page is read.
const PAGE_SILENCE_MAX: Duration = Duration::from_millis(1000);
/// Timeout of one call as a whole, for platforms that send the answer a byte at a time.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a change, so that changes published at about the same time cost one call.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(150);
/// Delay after a failed call, doubled with each further failure.
const BACKOFF_INITIAL: Duration = Duration::from_millis(100);
/// Delay before an entry that could not read the platform, and was replaced as a reader, tries to
/// read again.
const DISCONNECTED_RETRY_DELAY: Duration = Duration::from_millis(2000);
/// Time to discover other entries after the start, before this entry may conclude that it is the
/// only one and read the platform although others do.
const DISCOVERY_WAIT: Duration = Duration::from_millis(500);
/// Longest delay after a failed call. When the platform returns, all entries are reconnected within
/// this time.
const BACKOFF_MAX: Duration = Duration::from_millis(800);
/// Time for which an entry that has read the platform for the first time waits to learn from another
/// entry whether what it has read is an older copy. Other entries usually answer within milliseconds;
/// after a loss of all of them nobody knows better.
const COPY_CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of items up to which an entry reads all of them at its start. Of more, the leading entries of
/// each failure domain read them and the others pull from these: a common start of hundreds of entries
/// would otherwise transfer every item to every entry over the platform's link.
const FIRST_READ_ITEMS_MAX: usize = 2000;
/// Time for which an entry waits at its start to receive the items from others. The leading ones need
/// about a second to read them.
const FIRST_PULL_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest additional wait, drawn at random, so that entries that no other one serves do not read at the
/// same time.
const FIRST_PULL_SPREAD: Duration = Duration::from_secs(2);
/// Interval of the checks whether the items have been received.
const FIRST_PULL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Source of the items that this entry reads itself, in log lines.
const PLATFORM_SOURCE: &str = "platform";

/// Reads for as long as the process runs, whenever this entry is one of the readers or receives
/// nothing from any of them.
pub async fn run_reader(state: Rc<ControlState>) {
    let mut backoff = BACKOFF_INITIAL;
    let mut history_lost = false;
    // Whether a watch has been answered since the history was lost.
    let mut is_watching = true;
    initial_read(&state).await;
    tokio::time::sleep(DISCOVERY_WAIT).await;
    loop {
        let is_reader = state.fleet.borrow_mut().should_read(state.now());
        state.update_own_state(|own| OwnState { is_reader, ..own });
        if !is_reader && !state.fleet.borrow().platform.is_disconnected() {
            state.recheck_reader_role.notified().await;
            continue;
        }
        let position = state.archive.borrow().position();
        let reads_all = history_lost || position == Position::NONE;
        let result = if reads_all {
            full_read(&state, Freshness::Latest).await
        } else {
            watch(&state, position).await
        };
        match result {
            Ok(()) => {
                record_platform_answer(&state);
                history_lost = false;
                if !reads_all {
                    is_watching = true;
                    backoff = BACKOFF_INITIAL;
                }
            }
            Err(FeedError::HistoryLost { epoch }) => {
                record_platform_answer(&state);
                log_history_lost(&state, epoch, position);
                history_lost = true;
                // A full read has not helped; the next one may not either.
                if !is_watching {
                    pause(backoff).await;
                    backoff = (backoff * 2).min(BACKOFF_MAX);
                }
                is_watching = false;
            }
            Err(error) => {
                record_platform_failure(&state, &error);
                pause(if is_reader { backoff } else { DISCONNECTED_RETRY_DELAY }).await;
                backoff = (backoff * 2).min(BACKOFF_MAX);
            }
        }
    }
}

/// Waits for a random part of the delay, so that entries that fail together do not retry together.
async fn pause(delay: Duration) {
    let jitter = rand::rng().random_range(0.5..1.0);
    tokio::time::sleep(delay.mul_f64(jitter)).await;
}

/// All items, as of some time between two positions.
struct FullRead {
    items: Vec<RawItem>,
    /// Position of the oldest page.
    position: Position,
    /// Position of the newest page.
    newest: Position,
}

/// Result of a full read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadResult {
    /// The items are applied.
    Applied,
    /// Other entries have sent later items meanwhile.
    Superseded,
    /// There are more items than were to be read.
    TooMany,
}

/// Reads everything once, before this entry knows whether it is a reader. A read that may be stale
/// costs the platform a tenth of a current one.
///
/// The result may be seconds old; the readers, or the platform's watch, report what has changed
/// since. After a loss of all entries at once, each entry can serve as soon as it has started. If there
/// are too many items for all entries to read, only the leading ones read all of them.
async fn initial_read(state: &ControlState) {
    let freshness = Freshness::MayBeStale;
    let mut result = read_and_apply(state, freshness, FIRST_READ_ITEMS_MAX).await;
    if result == Ok(ReadResult::TooMany) {
        state.first_pull_awaited_since.set(Some(state.now()));
        let is_served = is_served_by_others(state).await;
        state.first_pull_awaited_since.set(None);
        if is_served {
            return;
        }
        result = read_and_apply(state, freshness, usize::MAX).await;
    }
    let _timed_out = timeout(COPY_CHECK_TIMEOUT, agree_with_another_entry(state)).await;
    match result {
        Ok(ReadResult::Applied) => mark_synced(state),
        Ok(ReadResult::Superseded | ReadResult::TooMany) => {}
        Err(error) => record_platform_failure(state, &error),
    }
}

/// Waits until the items have been pulled from another entry. Returns whether they have; this entry
/// reads them itself if it is among the leading ones, or if nobody has served it in time.
async fn is_served_by_others(state: &ControlState) -> bool {
    let started_at = state.now();
    let spread = FIRST_PULL_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0));
    loop {
        if state.archive.borrow().position() != Position::NONE {
            return true;
        }
        let elapsed = state.now().since(started_at);
        let is_leading = elapsed >= DISCOVERY_WAIT && state.view().contacts.is_leading;
        if is_leading || elapsed >= FIRST_PULL_TIMEOUT + spread {
            return false;
        }
        tokio::time::sleep(FIRST_PULL_CHECK_INTERVAL).await;
    }
}

/// Waits until another entry retains the same items of earlier epochs as this one.
///
/// A platform that was restored publishes its copy until everything is written again. An entry that
/// starts meanwhile reads the copy, and would serve by routes that the others have replaced.
async fn agree_with_another_entry(state: &ControlState) {
    loop {
        let compared = state.peer_compared.notified();
        let (epoch, retained_digest) = {
            let archive = state.archive.borrow();
            (archive.position().epoch(), archive.retained_digest())
        };
        let is_alone = state.seeds.borrow().is_empty();
        if is_alone || epoch == Epoch::NONE {
            return;
        }
        if state.peer_retained.get() == Some((epoch, retained_digest)) {
            return;
        }
        compared.await;
    }
}

/// Reads everything and applies it.
async fn full_read(state: &ControlState, freshness: Freshness) -> Result<(), FeedError> {
    if read_and_apply(state, freshness, usize::MAX).await? == ReadResult::Applied {
        mark_synced(state);
    }
    Ok(())
}

/// Reads everything, if that is at most `items_max` items, and applies it, unless other entries have sent
/// later items meanwhile.
async fn read_and_apply(
    state: &ControlState,
    freshness: Freshness,
    items_max: usize,
) -> Result<ReadResult, FeedError> {
    let read = read_pages(state, freshness, items_max).await?;
    record_platform_answer(state);
    let Some(FullRead { items, position, newest }) = read else { return Ok(ReadResult::TooMany) };
    let known = state.archive.borrow().position();
    if freshness == Freshness::Latest {
        check_epoch(position, known)?;
    }
    // Items pulled from other entries in the meantime are complete, and these items would restore what
    // has been removed since.
    if position >= known {
        apply_snapshot(state, &items, position, newest, PLATFORM_SOURCE);
        return Ok(ReadResult::Applied);
    }
    log_dropped_read(state, position, known);
    Ok(ReadResult::Superseded)
}

/// Reads all pages. They are not a consistent snapshot, so watching continues from the oldest page's
/// revision, which reports changes made during the read again. Of stale pages any may be the oldest.
///
/// Returns `None` as soon as more than `items_max` items are known to exist.
async fn read_pages(
    state: &ControlState,
    freshness: Freshness,
    items_max: usize,
) -> Result<Option<FullRead>, FeedError> {
    let mut items: Vec<RawItem> = Vec::new();
    let mut after: Option<String> = None;
    let mut oldest: Option<Position> = None;
    let mut newest = Position::NONE;
    loop {
        let page = state.feed.page(after.as_deref(), freshness, PAGE_SILENCE_MAX);
        let page = with_timeout(CALL_TIMEOUT, page).await;
        count_call("page", page.as_ref().err());
        let page = page?;
        let epoch = page.position.epoch();
        if oldest.is_some_and(|oldest| oldest.epoch() != epoch) {
            return Err(FeedError::HistoryLost { epoch });
        }
        let position = oldest.map_or(page.position, |oldest| oldest.min(page.position));
        oldest = Some(position);
        newest = newest.max(page.position);
        items.extend(page.items);
        let Some(next) = page.next_after else {
            return Ok(Some(FullRead { items, position, newest }));
        };
        if items.len() >= items_max {
            return Ok(None);
        }
        after = Some(next);
    }
}

/// Waits for changes after a position and applies them.
///
/// The platform may have been restored since and have passed that revision again. Then it answers as
/// usual, but the changes up to that revision are missing.
async fn watch(state: &ControlState, after: Position) -> Result<(), FeedError> {
    let changes = state.feed.changes(after, WATCH_WAIT, WATCH_SILENCE_MAX);
    let changes = with_timeout(CALL_TIMEOUT, changes).await;
    count_call("watch", changes.as_ref().err());
    let changes = changes?;
    check_epoch(changes.position, after)?;
    if changes.position.epoch() > after.epoch() {
        return Err(FeedError::HistoryLost { epoch: changes.position.epoch() });
    }
    let has_changes = !changes.items.is_empty();
    record_platform_answer(state);
    apply_changes(state, &changes, PLATFORM_SOURCE);
    if has_changes {
        mark_synced(state);
        tokio::time::sleep(CHANGE_BATCH_DELAY).await;
    }
    Ok(())
}

/// Rejects an answer of an earlier epoch, as a replica that has not followed a restore would give.
fn check_epoch(answer: Position, known: Position) -> Result<(), FeedError> {
    if answer.epoch() < known.epoch() {
        return Err(FeedError::OutdatedEpoch { epoch: answer.epoch(), known: known.epoch() });
    }
    Ok(())
}

/// Counts a call to the platform by its outcome.
fn count_call(call: &'static str, error: Option<&FeedError>) {
    let outcome = match error {
        None => "answered",
        Some(FeedError::HistoryLost { .. }) => "history_lost",
        Some(FeedError::Rejected(_)) => "rejected",
        Some(FeedError::OutdatedEpoch { .. }) => "outdated",
        Some(FeedError::Unreachable(_)) => "unreachable",
        Some(FeedError::Unreadable(_)) => "unreadable",
    };
    counter!("shallotfork_platform_calls", "call" => call, "outcome" => outcome).increment(1);
}

fn log_history_lost(state: &ControlState, epoch: Epoch, after: Position) {
    let LogDecision::Write { left_out } = state.context.feed_log_budget.try_acquire(state.now())
    else {
        return;
    };
    event!(state.context.log, PLATFORM_HISTORY_LOST, "after" => after.revision().value(),
        "known_epoch" => after.epoch().value(), "epoch" => epoch.value(), "left_out" => left_out);
}

fn log_dropped_read(state: &ControlState, read: Position, known: Position) {
    let LogDecision::Write { left_out } = state.context.feed_log_budget.try_acquire(state.now())
    else {
        return;
    };
    event!(state.context.log, PLATFORM_READ_DROPPED, "revision" => read.revision().value(),
        "epoch" => read.epoch().value(), "known_epoch" => known.epoch().value(),
        "known" => known.revision().value(),        "left_out" => left_out);
}

/// Marks this process as synced, and so able to serve, once routes are in force.
pub fn mark_synced(state: &ControlState) {
    let is_synced = state.fleet.borrow().own_state().is_synced;
    if !is_synced && state.configuration.borrow().table().is_some() {
        state.update_own_state(|own| OwnState { is_synced: true, ..own });
        state.ready.send_replace(true);
        update_advertised_entries(state);
    }
}

async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, FeedError>>,
) -> Result<T, FeedError> {
    let timed_out = || FeedError::Unreachable("no answer in time".to_owned());
    timeout(limit, call).await.unwrap_or_else(|_| Err(timed_out()))
}

fn record_platform_failure(state: &ControlState, error: &FeedError) {
    let is_first = state.fleet.borrow_mut().platform.record_failure(state.context.clock.now());
    if is_first {
        event!(state.context.log, PLATFORM_DISCONNECTED, "reason" => error.to_string());
        update_platform_state(state);
        update_advertised_entries(state);
    }
}

fn record_platform_answer(state: &ControlState) {
    state.platform_answered_at.set(Some(state.now()));
    let outage_started_at = state.fleet.borrow_mut().platform.record_answer();
    update_platform_state(state);
    if let Some(outage_started_at) = outage_started_at {
        let outage = state.context.clock.now().since(outage_started_at);
        let outage_ms = u64::try_from(outage.as_millis()).unwrap_or(u64::MAX);
        event!(state.context.log, PLATFORM_RECONNECTED, "away_ms" => outage_ms);
        update_advertised_entries(state);
    }
}

/// Updates the roster and the published state if the platform has become unavailable, or available
/// again.
pub fn update_platform_state(state: &ControlState) {
    let now = state.context.clock.now();
    let outage_started_at = state.fleet.borrow().platform.outage_started_at(now);
    let previous = state.platform_outage_started_at.replace(outage_started_at);
    match (previous, outage_started_at) {
        (None, Some(_)) => state.roster.borrow_mut().platform_disconnected(),
        (Some(_), None) => state.roster.borrow_mut().platform_reconnected(now),
        _ => return,
    }
    publish_platform_outage(state);
}
