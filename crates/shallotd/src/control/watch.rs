//! Watches the platform and applies the lists that it publishes.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use metrics::gauge;
use shallotfork_events::{PLATFORM_BEHIND, PLATFORM_DISCONNECTED, PLATFORM_RECONNECTED, event};
use shallotfork_platform::{Backoff, BackoffConfig, Changes, PlatformError};
use shallotfork_revisions::ReplicaStatus;
use shallotfork_types::{Endpoint, Mono, Revision};

use crate::control::lists_apply::{AppliedLists, apply_lists};
use crate::control::lists_source::ListSource;
use crate::control::lists_start::load_initial_lists;
use crate::control::state::State;
use crate::metrics_catalogue::PLATFORM_BEHIND as BEHIND_REVISIONS;

/// Maximum time to wait for a change at a replica whose revision lags behind the highest one,
/// before the next replica is watched.
const BEHIND_TIMEOUT_MAX: Duration = Duration::from_millis(500);

/// Number of consecutive answers with a lagging revision before the lag of a replica is logged; a
/// single one may only mean that another replica received the change a moment earlier.
const BEHIND_ANSWERS_BEFORE_LOG: u32 = 2;

/// Reads the platform for as long as the process runs.
pub async fn watch_platform(state: Rc<State>) {
    load_initial_lists(&state).await;
    let seed = state.context.identity.incarnation.value();
    let mut backoff = Backoff::new(BackoffConfig::default(), seed);
    let mut full_reads = FullReadSchedule::default();
    loop {
        full_reads.request_if_due(&state);
        let read = read_platform(&state, watch_timeout(&state)).await;
        let is_behind = state.lists.borrow().cursor.is_behind(state.platform.replica());
        state.is_disconnected.set(read.is_err() || is_behind);
        match read {
            Ok(read) => {
                if backoff.failures() > 0 {
                    event!(state.context.log, PLATFORM_RECONNECTED);
                }
                backoff.reset();
                // A lagging replica shows no change, so the next replica is watched for a while.
                if !read.changed {
                    state.platform.switch_replica();
                }
            }
            Err(error) => {
                if backoff.failures() == 0 {
                    event!(state.context.log, PLATFORM_DISCONNECTED, "reason" => error.to_string());
                }
                tokio::time::sleep(backoff.next_delay()).await;
            }
        }
    }
}

fn watch_timeout(state: &State) -> Duration {
    let timeout = state.context.settings.platform.wait;
    let is_behind = state.lists.borrow().cursor.is_behind(state.platform.replica());
    if is_behind { timeout.min(BEHIND_TIMEOUT_MAX) } else { timeout }
}

/// Time of the last request for a full read of each replica.
#[derive(Debug, Default)]
struct FullReadSchedule {
    requested_at: BTreeMap<Endpoint, Mono>,
}

impl FullReadSchedule {
    /// Requests a full read from the replica that is read next if its last one is too long ago.
    fn request_if_due(&mut self, state: &State) {
        let replica = state.platform.replica();
        let now = state.context.clock.now();
        let requested_at = self.requested_at.entry(replica).or_insert(now);
        if now.since(*requested_at) >= state.context.settings.platform.full_read {
            *requested_at = now;
            state.lists.borrow_mut().cursor.request_full_read(replica);
        }
    }
}

/// Reads the changes of one replica and applies them.
///
/// # Errors
/// Returns an error if the replica does not answer; the next call reads the next replica.
pub async fn read_platform(
    state: &State,
    timeout: Duration,
) -> Result<AppliedLists, PlatformError> {
    let replica = state.platform.replica();
    let after = state.lists.borrow().cursor.after(replica);
    let Changes { replica, position, lists } = state.platform.changes(after, timeout).await?;
    let answer = state.lists.borrow_mut().cursor.record_answer(replica, after, position);
    record_replica_status(state, answer, position.revision(), replica);
    Ok(apply_lists(state, lists, &ListSource::Platform(replica)))
}

fn record_replica_status(
    state: &State,
    answer: ReplicaStatus,
    revision: Revision,
    replica: Endpoint,
) {
    let highest = state.lists.borrow().cursor.highest_revision();
    let revisions_behind = highest.value() - revision.value();
    gauge!(BEHIND_REVISIONS.name, "replica" => replica.to_string()).set(revisions_behind as f64);
    if let ReplicaStatus::Behind { highest, answers: BEHIND_ANSWERS_BEFORE_LOG } = answer {
        event!(
            state.context.log, PLATFORM_BEHIND,
            "replica" => replica.to_string(),
            "revision" => revision.value(),
            "highest" => highest.value(),
        );
    }
}
