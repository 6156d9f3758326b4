//! Reads what the platform publishes, and goes on reading.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use shallotfork_events::{PLATFORM_BACK, PLATFORM_LOST, event};
use shallotfork_types::Revision;
use tokio::time::timeout;

use crate::control::naming::name_entries;
use crate::control::publish::{publish, take_all, take_changes};
use crate::control::state::State;
use crate::feed::{Feed, FeedError, Freshness, RawItem};

/// How long a watch waits for a change. Entries lapse after three missed writes, 4.5 s at the
/// users'; a watch that ends before tells that the platform was away while they did.
const WATCH_WAIT: Duration = Duration::from_millis(3000);
/// An answer that is this much later than it should be means that the connection is dead.
const CALL_SLACK: Duration = Duration::from_millis(500);
/// The longest time for one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Pause after a change, so that changes that come together cost one call.
const GATHER: Duration = Duration::from_millis(150);
/// First pause after a failed call, doubled with each further one.
const BACKOFF_FIRST: Duration = Duration::from_millis(100);
/// Longest pause after a failed call; at the return of the platform all entries are back within
/// this time.
const BACKOFF_MAX: Duration = Duration::from_millis(800);

/// Reads for as long as the process runs.
pub async fn read_on(state: Rc<State>, feed: Arc<dyn Feed>) {
    let mut backoff = BACKOFF_FIRST;
    let mut position: Option<Revision> = None;
    loop {
        let step = match position {
            None => full_read(&state, feed.as_ref()).await,
            Some(after) => watch(&state, feed.as_ref(), after).await,
        };
        match step {
            Ok(revision) => {
                platform_answers(&state);
                backoff = BACKOFF_FIRST;
                position = Some(revision);
            }
            Err(FeedError::HistoryLost) => {
                platform_answers(&state);
                position = None;
            }
            Err(error) => {
                platform_fails(&state, &error);
                let jitter = rand::rng().random_range(0.5..1.0);
                tokio::time::sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(BACKOFF_MAX);
            }
        }
    }
}

/// Reads everything. Pages are no snapshot, so that watching goes on from the first one's
/// revision: what changed meanwhile is told again.
async fn full_read(state: &State, feed: &dyn Feed) -> Result<Revision, FeedError> {
    let mut items: Vec<RawItem> = Vec::new();
    let mut after: Option<String> = None;
    let mut first: Option<Revision> = None;
    loop {
        let page = in_time(PAGE_TIMEOUT, feed.page(after.as_deref(), Freshness::Latest)).await?;
        let began = *first.get_or_insert(page.revision);
        items.extend(page.items);
        let Some(next) = page.next_after else {
            platform_answers(state);
            take_all(state, &items, |item| feed.decode(item), began);
            note_synced(state);
            return Ok(began);
        };
        after = Some(next);
    }
}

async fn watch(state: &State, feed: &dyn Feed, after: Revision) -> Result<Revision, FeedError> {
    let changes = in_time(WATCH_WAIT + CALL_SLACK, feed.changes(after, WATCH_WAIT)).await?;
    if !changes.items.is_empty() {
        take_changes(state, &changes, |item| feed.decode(item));
        note_synced(state);
        tokio::time::sleep(GATHER).await;
    }
    Ok(changes.revision.max(after))
}

/// A process that knows routes can serve.
fn note_synced(state: &State) {
    if !state.synced.get() && state.in_force.borrow().table().is_some() {
        state.synced.set(true);
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
    if state.platform_lost_at.get().is_some() {
        return;
    }
    event!(state.context.log, PLATFORM_LOST, "reason" => error.to_string());
    state.platform_lost_at.set(Some(state.context.clock.now()));
    state.roster.borrow_mut().platform_lost();
    publish(state, &[]);
    name_entries(state);
}

fn platform_answers(state: &State) {
    let Some(lost_at) = state.platform_lost_at.take() else { return };
    let now = state.context.clock.now();
    let away_ms = u64::try_from(now.since(lost_at).as_millis()).unwrap_or(u64::MAX);
    event!(state.context.log, PLATFORM_BACK, "away_ms" => away_ms);
    state.roster.borrow_mut().platform_back(now);
    publish(state, &[]);
    name_entries(state);
}
