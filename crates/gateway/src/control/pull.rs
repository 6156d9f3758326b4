//! Pulls published items from other entries.

use std::rc::Rc;
use std::time::Duration;

use shallotfork_events::{ITEMS_PULLED, PULL_FAILED, event};
use shallotfork_peer::{Changes, ChangesRequest, Heartbeat, PeerClient, PeerError};
use shallotfork_types::{Epoch, FailureDomain, ListsDigest, Mono, Position};

use crate::control::pulled_items::apply_response;
use crate::control::serve_pulls::LOG_MIN_SIZE;
use crate::control::state::ControlState;
use crate::millis::millis;
use crate::transfer::TransferKind;

/// A pull that takes at least this long is logged, whatever its size.
const LOG_MIN_DURATION: Duration = Duration::from_millis(300);
/// Interval of the checks whether more of an answer has arrived.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// Alternative sources that are remembered during a pull.
const SOURCES_MAX: usize = 8;

/// An entry that is at a later position than this one.
pub struct PullSource {
    /// Connection to the entry.
    pub client: Rc<PeerClient>,
    /// Failure domain of the entry.
    failure_domain: FailureDomain,
    /// Epoch that the entry is in.
    epoch: Option<Epoch>,
    /// Digest of the items of earlier epochs that the entry retains.
    retained_digest: ListsDigest,
}

impl PullSource {
    /// Creates the source from an entry's heartbeat.
    pub fn new(client: Rc<PeerClient>, heartbeat: &Heartbeat) -> Self {
        Self {
            client,
            failure_domain: heartbeat.failure_domain.clone(),
            epoch: heartbeat.synced_epoch,
            retained_digest: heartbeat.retained_digest,
        }
    }
}

/// Pulls from another entry, and from the alternative sources in turn while the chosen one is busy.
pub async fn pull(state: &ControlState, source: PullSource) {
    if !state.pull_scheduler.borrow_mut().try_begin(state.now()) {
        let mut sources = state.pull_sources.borrow_mut();
        if sources.len() < SOURCES_MAX {
            sources.push(source);
        }
        return;
    }
    state.pull_sources.borrow_mut().clear();
    let mut next = Some(source);
    while let Some(source) = next {
        let is_busy = pull_from(state, &source).await == Err(PeerError::Busy);
        next = if is_busy { state.pull_sources.borrow_mut().pop() } else { None };
    }
    state.pull_sources.borrow_mut().clear();
    state.pull_scheduler.borrow_mut().end();
}

/// Result of one pull, for the log.
struct PullStats {
    after: Position,
    started_at: Mono,
    position: Position,
    items: usize,
    bytes: u64,
    is_snapshot: bool,
    has_gap: bool,
}

/// Makes one pull. A pull rejected because the other entry is busy is not logged here, because that
/// entry logs it.
async fn pull_from(state: &ControlState, source: &PullSource) -> Result<(), PeerError> {
    let started_at = state.now();
    let after = state.archive.borrow().position();
    source.client.take_transferred_bytes();
    let is_next_epoch = source.epoch > Some(after.epoch());
    let has_other_retained = source.retained_digest != ListsDigest::default()
        && source.retained_digest != state.archive.borrow().retained_digest();
    let request = ChangesRequest::new(after)
        .with_retained(is_next_epoch || has_other_retained)
        .with_gap(state.archive.borrow().accepts_gap());
    let answer = request_changes(state, &source.client, &request).await;
    let bytes = source.client.take_transferred_bytes();
    TransferKind::Pulls.record_bytes(&source.failure_domain, bytes);
    let changes = answer.inspect_err(|error| {
        if *error != PeerError::Busy {
            log_failed_pull(state, source, after, started_at, &error.to_string());
        }
    })?;
    let Changes { revision, epoch, is_snapshot, has_gap, .. } = changes;
    let position = Position::new(epoch.unwrap_or_default(), revision);
    match apply_response(state, changes, source.client.peer().vm.as_str()) {
        Ok(items) => log_pull(
            state,
            source,
            &PullStats { after, started_at, position, items, bytes, is_snapshot, has_gap },
        ),
        Err(error) => log_failed_pull(state, source, after, started_at, &error.to_string()),
    }
    Ok(())
}

/// Requests changes, and records progress for as long as the answer keeps
/// arriving.
async fn request_changes(
    state: &ControlState,
    client: &PeerClient,
    request: &ChangesRequest,
) -> Result<Changes, PeerError> {
    let mut answer = std::pin::pin!(client.changes(request));
    let mut previous_bytes = client.received_bytes();
    loop {
        if let Ok(answer) = tokio::time::timeout(PROGRESS_INTERVAL, answer.as_mut()).await {
            return answer;
        }
        let received_bytes = client.received_bytes();
        if received_bytes > previous_bytes {
            state.pull_scheduler.borrow_mut().record_progress(state.now());
        }
        previous_bytes = received_bytes;
    }
}

fn log_failed_pull(
    state: &ControlState,
    source: &PullSource,
    after: Position,
    started_at: Mono,
    reason: &str,
) {
    event!(state.context.log, PULL_FAILED, "peer" => source.client.peer().vm.as_str(),
        "reason" => reason, "after" => after.revision().value(), "epoch" => after.epoch().value(),
        "took_ms" => millis(state.now().since(started_at)));
}

fn log_pull(state: &ControlState, source: &PullSource, pull: &PullStats) {
    let duration = state.now().since(pull.started_at);
    if pull.bytes < LOG_MIN_SIZE.value() && duration < LOG_MIN_DURATION {
        return;
    }
    event!(state.context.log, ITEMS_PULLED, "peer" => source.client.peer().vm.as_str(),
        "after" => pull.after.revision().value(), "revision" => pull.position.revision().value(),
        "epoch" => pull.position.epoch().value(),
        "items" => pull.items, "bytes" => pull.bytes, "took_ms" => millis(duration),
        "whole" => pull.is_snapshot, "gap" => pull.has_gap);
}
