//! Reads what the platform publishes, and goes on reading.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use shallotfork_events::{PLATFORM_BACK, PLATFORM_LOST, event};
use shallotfork_types::Revision;
use tokio::time::timeout;

use crate::control::naming::name_entries;
use crate::control::publish::{publish_away, take_all, take_changes};
use crate::control::state::State;
use shallotfork_feed::{FeedError, Freshness, RawItem};
use shallotfork_fleet::OwnState;

/// How long a watch waits for a change. A platform that goes silent shows only at its end; when that
/// happens to all readers at once, others have to take their place soon enough for a change to be in
/// force everywhere within the users' two seconds.
const WATCH_WAIT: Duration = Duration::from_millis(700);
/// A watch that brings nothing for this much longer than it waits means that the connection is dead,
/// and not only that the platform is slow.
const WATCH_SILENCE_MAX: Duration = Duration::from_millis(400);
/// Longest silence of a page.
const PAGE_SILENCE_MAX: Duration = Duration::from_millis(1000);
/// Longest time for one answer as a whole, for platforms that send it a byte at a time.
const CALL_MAX: Duration = Duration::from_secs(10);
/// Pause after a change, so that changes that come together cost one call.
const GATHER: Duration = Duration::from_millis(150);
/// First pause after a failed call, doubled with each further one.
const BACKOFF_FIRST: Duration = Duration::from_millis(100);
/// Pause of an entry that could not read, and whose place among the readers another one has taken,
/// before it tries whether it can read again.
const BLIND_PAUSE: Duration = Duration::from_millis(2000);
/// Time in which other entries are found before this one may take itself to be the only one, and
/// read the platform although others do.
const START_WAIT: Duration = Duration::from_millis(500);
/// Longest pause after a failed call; at the return of the platform all entries are back within
/// this time.
const BACKOFF_MAX: Duration = Duration::from_millis(800);

/// Reads for as long as the process runs, whenever this entry is one of the readers or hears none.
pub async fn read_on(state: Rc<State>) {
    let mut backoff = BACKOFF_FIRST;
    let mut history_lost = false;
    first_fill(&state).await;
    tokio::time::sleep(START_WAIT).await;
    loop {
        let is_reader = state.fleet.borrow_mut().should_read(state.now());
        state.update_own(|own| OwnState { is_reader, ..own });
        if !is_reader && !state.fleet.borrow().platform.is_disconnected() {
            state.role_look.notified().await;
            continue;
        }
        let position = state.archive.borrow().position();
        let step = if history_lost || position == Revision::NONE {
            full_read(&state, Freshness::Latest).await
        } else {
            watch(&state, position).await
        };
        match step {
            Ok(()) => {
                platform_answers(&state);
                backoff = BACKOFF_FIRST;
                history_lost = false;
            }
            Err(FeedError::HistoryLost) => {
                platform_answers(&state);
                history_lost = true;
            }
            Err(error) => {
                platform_fails(&state, &error);
                let jitter = rand::rng().random_range(0.5..1.0);
                let pause = if is_reader { backoff } else { BLIND_PAUSE };
                tokio::time::sleep(pause.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(BACKOFF_MAX);
            }
        }
    }
}

/// Reads everything once, at a tenth of the price, before this entry knows whether it is a reader.
///
/// What it brings may be seconds old; the readers, or the platform's watch, tell what has changed
/// since. After a loss of all entries at once, each can serve as soon as it has started.
async fn first_fill(state: &State) {
    if let Err(error) = full_read(state, Freshness::MayBeStale).await {
        platform_fails(state, &error);
    }
}

/// Reads everything. Pages are no snapshot, so that watching goes on from the oldest one's revision:
/// what changed meanwhile is told again. Of stale pages any may be the oldest.
async fn full_read(state: &State, freshness: Freshness) -> Result<(), FeedError> {
    let mut items: Vec<RawItem> = Vec::new();
    let mut after: Option<String> = None;
    let mut oldest: Option<Revision> = None;
    loop {
        let page = state.feed.page(after.as_deref(), freshness, PAGE_SILENCE_MAX);
        let page = in_time(CALL_MAX, page).await?;
        let known = oldest.map_or(page.revision, |revision| revision.min(page.revision));
        oldest = Some(known);
        items.extend(page.items);
        let Some(next) = page.next_after else {
            platform_answers(state);
            // What others have told meanwhile is complete, and these items would bring back what
            // has been removed since.
            if known >= state.archive.borrow().position() {
                take_all(state, &items, known);
                note_synced(state);
            }
            return Ok(());
        };
        after = Some(next);
    }
}

async fn watch(state: &State, after: Revision) -> Result<(), FeedError> {
    let changes = state.feed.changes(after, WATCH_WAIT, WATCH_SILENCE_MAX);
    let changes = in_time(CALL_MAX, changes).await?;
    let changed = !changes.items.is_empty();
    platform_answers(state);
    take_changes(state, &changes);
    if changed {
        note_synced(state);
        tokio::time::sleep(GATHER).await;
    }
    Ok(())
}

/// A process that knows routes can serve.
pub fn note_synced(state: &State) {
    let synced = state.fleet.borrow().own_state().is_synced;
    if !synced && state.in_force.borrow().table().is_some() {
        state.update_own(|own| OwnState { is_synced: true, ..own });
        state.ready.send_replace(true);
        name_entries(state);
    }
}

async fn in_time<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, FeedError>>,
) -> Result<T, FeedError> {
    let late = || FeedError::Unreachable("no answer in time".to_owned());
    timeout(limit, call).await.unwrap_or_else(|_| Err(late()))
}

fn platform_fails(state: &State, error: &FeedError) {
    let first = state.fleet.borrow_mut().platform.record_failure(state.context.clock.now());
    if first {
        event!(state.context.log, PLATFORM_LOST, "reason" => error.to_string());
        note_sight(state);
        name_entries(state);
    }
}

fn platform_answers(state: &State) {
    let lost_at = state.fleet.borrow_mut().platform.record_answer();
    note_sight(state);
    if let Some(lost_at) = lost_at {
        let away = state.context.clock.now().since(lost_at);
        let away_ms = u64::try_from(away.as_millis()).unwrap_or(u64::MAX);
        event!(state.context.log, PLATFORM_BACK, "away_ms" => away_ms);
        name_entries(state);
    }
}

/// Takes into force whether the platform counts as away now.
pub fn note_sight(state: &State) {
    let now = state.context.clock.now();
    let away_since = state.fleet.borrow().platform.outage_started_at(now);
    let before = state.away_since.replace(away_since);
    match (before, away_since) {
        (None, Some(_)) => state.roster.borrow_mut().platform_disconnected(),
        (Some(_), None) => state.roster.borrow_mut().platform_reconnected(now),
        _ => return,
    }
    publish_away(state);
}
