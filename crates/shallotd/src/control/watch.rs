//! Watches the platform and takes what it publishes.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use metrics::gauge;
use shallotfork_events::{PLATFORM_BEHIND, PLATFORM_DISCONNECTED, PLATFORM_RECONNECTED, event};
use shallotfork_platform::{Backoff, BackoffConfig, Changes, PlatformError};
use shallotfork_revisions::ReplicaStatus;
use shallotfork_types::{Endpoint, Mono, Revision};

use crate::control::lists_source::ListSource;
use crate::control::lists_start::first_lists;
use crate::control::lists_take::{TakenLists, take_lists};
use crate::control::state::State;
use crate::metrics_catalogue::PLATFORM_BEHIND as BEHIND_REVISIONS;

/// Longest wait for a change at a replica that is behind, before another one is watched.
const BEHIND_WAIT_MAX: Duration = Duration::from_millis(500);

/// Answers in a row that show a replica behind before it is reported; a single one only means that
/// another one was told a moment earlier.
const BEHIND_ANSWERS: u32 = 2;

/// Reads the platform for as long as the process runs.
pub async fn watch(state: Rc<State>) {
    first_lists(&state).await;
    let seed = state.context.identity.incarnation.value();
    let mut backoff = Backoff::new(BackoffConfig::default(), seed);
    let mut full_reads = FullReads::default();
    loop {
        full_reads.ask_when_due(&state);
        let read = read_platform(&state, wait(&state)).await;
        let behind = state.lists.borrow().cursor.is_behind(state.platform.replica());
        state.platform_lost.set(read.is_err() || behind);
        match read {
            Ok(read) => {
                if backoff.failures() > 0 {
                    event!(state.context.log, PLATFORM_RECONNECTED);
                }
                backoff.reset();
                // A replica that lags shows no change, so the next one is watched for a while.
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

fn wait(state: &State) -> Duration {
    let wait = state.context.settings.platform.wait;
    let behind = state.lists.borrow().cursor.is_behind(state.platform.replica());
    if behind { wait.min(BEHIND_WAIT_MAX) } else { wait }
}

/// When each replica was last asked for every list.
#[derive(Debug, Default)]
struct FullReads {
    asked_at: BTreeMap<Endpoint, Mono>,
}

impl FullReads {
    /// Has the replica that is asked next give every list when its last full read is long ago.
    fn ask_when_due(&mut self, state: &State) {
        let replica = state.platform.replica();
        let now = state.context.clock.now();
        let asked_at = self.asked_at.entry(replica).or_insert(now);
        if now.since(*asked_at) >= state.context.settings.platform.full_read {
            *asked_at = now;
            state.lists.borrow_mut().cursor.request_full_read(replica);
        }
    }
}

/// Asks one replica for changes and takes them.
///
/// # Errors
/// When the replica does not answer; the next one is asked the next time.
pub async fn read_platform(state: &State, wait: Duration) -> Result<TakenLists, PlatformError> {
    let replica = state.platform.replica();
    let after = state.lists.borrow().cursor.after(replica);
    let Changes { replica, revision, lists } = state.platform.changes(after, wait).await?;
    let answer = state.lists.borrow_mut().cursor.record_answer(replica, after, revision);
    report_behind(state, answer, revision, replica);
    Ok(take_lists(state, lists, &ListSource::Platform(replica)))
}

fn report_behind(state: &State, answer: ReplicaStatus, revision: Revision, replica: Endpoint) {
    let highest = state.lists.borrow().cursor.highest_revision();
    let behind = highest.value() - revision.value();
    gauge!(BEHIND_REVISIONS.name, "replica" => replica.to_string()).set(behind as f64);
    if let ReplicaStatus::Behind { highest, answers: BEHIND_ANSWERS } = answer {
        event!(
            state.context.log, PLATFORM_BEHIND,
            "replica" => replica.to_string(),
            "revision" => revision.value(),
            "highest" => highest.value(),
        );
    }
}
