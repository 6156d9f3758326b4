//! Reads from other entries what they know beyond this one.

use std::rc::Rc;
use std::time::Duration;

use shallotfork_events::{ITEMS_READ, TOLD_REFUSED, event};
use shallotfork_peer::{Changes, PeerClient, PeerError};
use shallotfork_types::{FailureDomain, Mono, Revision};

use crate::carried::Carried;
use crate::control::relay::take;
use crate::control::state::State;
use crate::control::telling::LARGE;

/// A reading that takes at least this long is logged, whatever its size.
const SLOW: Duration = Duration::from_millis(300);
/// How often it is looked whether an answer goes on to come.
const PROGRESS_LOOK: Duration = Duration::from_millis(100);

/// Other entries that are remembered while one is read from.
const SOURCES_MAX: usize = 8;

/// An entry that knows more than this one.
pub struct Source {
    /// The connection to it.
    pub client: Rc<PeerClient>,
    /// Where it stands.
    pub failure_domain: FailureDomain,
}

/// Reads from another entry, and from the next one that knows more while it is busy.
pub async fn pull(state: &State, source: Source) {
    if !state.catch_up.borrow_mut().try_begin(state.now()) {
        let mut sources = state.sources.borrow_mut();
        if sources.len() < SOURCES_MAX {
            sources.push(source);
        }
        return;
    }
    state.sources.borrow_mut().clear();
    let mut next = Some(source);
    while let Some(source) = next {
        let is_busy = read_from(state, &source).await == Err(PeerError::Busy);
        next = if is_busy { state.sources.borrow_mut().pop() } else { None };
    }
    state.sources.borrow_mut().clear();
    state.catch_up.borrow_mut().end();
}

/// What one reading brought.
struct Reading {
    after: Revision,
    began_at: Mono,
    revision: Revision,
    items: usize,
    bytes: u64,
    whole: bool,
}

/// Reads once. A busy entry says so in its own lines.
async fn read_from(state: &State, source: &Source) -> Result<(), PeerError> {
    let began_at = state.now();
    let after = state.archive.borrow().position();
    source.client.take_transferred_bytes();
    let answer = changes(state, &source.client, after).await;
    let bytes = source.client.take_transferred_bytes();
    Carried::Lists.count(&source.failure_domain, bytes);
    let changes = answer.inspect_err(|error| {
        if *error != PeerError::Busy {
            refused(state, source, after, began_at, &error.to_string());
        }
    })?;
    let Changes { revision, is_snapshot, .. } = changes;
    match take(state, changes) {
        Ok(items) => report(
            state,
            source,
            &Reading { after, began_at, revision, items, bytes, whole: is_snapshot },
        ),
        Err(error) => refused(state, source, after, began_at, &error.to_string()),
    }
    Ok(())
}

/// Asks for what has changed, and notes for as long as the answer goes on to come that it does.
async fn changes(
    state: &State,
    client: &PeerClient,
    after: Revision,
) -> Result<Changes, PeerError> {
    let mut answer = std::pin::pin!(client.changes(after));
    let mut seen_bytes = client.received_bytes();
    loop {
        if let Ok(answer) = tokio::time::timeout(PROGRESS_LOOK, answer.as_mut()).await {
            return answer;
        }
        let received_bytes = client.received_bytes();
        if received_bytes > seen_bytes {
            state.catch_up.borrow_mut().record_progress(state.now());
        }
        seen_bytes = received_bytes;
    }
}

fn refused(state: &State, source: &Source, after: Revision, began_at: Mono, reason: &str) {
    event!(state.context.log, TOLD_REFUSED, "peer" => source.client.peer().vm.as_str(),
        "reason" => reason, "after" => after.value(),
        "took_ms" => millis(state.now().since(began_at)));
}

fn report(state: &State, source: &Source, reading: &Reading) {
    let took = state.now().since(reading.began_at);
    if reading.bytes < LARGE.value() && took < SLOW {
        return;
    }
    event!(state.context.log, ITEMS_READ, "peer" => source.client.peer().vm.as_str(),
        "after" => reading.after.value(), "revision" => reading.revision.value(),
        "items" => reading.items, "bytes" => reading.bytes, "took_ms" => millis(took),
        "whole" => reading.whole);
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
