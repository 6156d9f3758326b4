//! Last step of a planned stop: seals the ledger and sends copies of it to peers.

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use shallotfork_events::{LEDGER_SEALED, event};
use shallotfork_membership::{EntryState, EntryVm};
use shallotfork_once::{LedgerPart, SealedLedger};
use shallotfork_types::Bytes;

use crate::control::operations::rank_peers;
use crate::control::state::State;

/// Interval at which a draining ledger is checked for running operations.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(10);

/// Maximum total size of the kept answers in a handoff; operations beyond it are only recorded as
/// run.
const ANSWERS_SIZE_MAX: Bytes = Bytes::from_mib(4);

/// Maximum size of one handoff message.
const PART_SIZE_MAX: Bytes = Bytes::from_kib(512);

/// Drains and seals the ledger and copies it to up to `handoff_peers` peers.
///
/// The local archive keeps a copy, so that this process answers for its sessions until it exits.
/// The sealed ledgers of entries that left earlier are forwarded as well; otherwise a rolling
/// replacement of all entries would lose them with their last holder.
pub async fn seal(state: &Rc<State>) {
    drain(state).await;
    let now = state.context.clock.now();
    let archived = state.ledger.borrow().ledgers_to_forward(now);
    let Some(sealed) = state.ledger.borrow_mut().seal(now) else { return };
    let operations: usize = sealed.sessions.iter().map(|session| session.operations.len()).sum();
    let copies = copy_to_peers(state, sealed).await;
    event!(
        state.context.log, LEDGER_SEALED,
        "operations" => operations,
        "peers" => copies,
    );
    for ledger in archived {
        copy_to_peers(state, ledger).await;
    }
}

/// Waits until every granted operation has ended, at most for `grace_max`.
async fn drain(state: &Rc<State>) {
    let clock = state.context.clock;
    state.ledger.borrow_mut().drain(clock.now());
    let deadline = clock.now().plus(state.context.settings.leaving.grace_max);
    while state.ledger.borrow().running() > 0 && clock.now() < deadline {
        tokio::time::sleep(DRAIN_POLL_PERIOD).await;
    }
}

/// Copies a ledger to the best-ranked live peers, with as many calls in parallel as copies are
/// missing. Returns the number of peers that hold a copy.
async fn copy_to_peers(state: &Rc<State>, ledger: SealedLedger) -> usize {
    let copies_wanted = state.context.settings.once.handoff_peers;
    let is_live = |entry| entry == EntryState::Live;
    let mut candidates = rank_peers(state, &ledger.vm, is_live).into_iter();
    let parts = ledger.with_answers_within(ANSWERS_SIZE_MAX).into_parts(PART_SIZE_MAX);
    let mut copies = 0;
    while copies < copies_wanted {
        let batch: Vec<EntryVm> = candidates.by_ref().take(copies_wanted - copies).collect();
        if batch.is_empty() {
            break;
        }
        let copied = join_all(batch.iter().map(|peer| copy_to_peer(state, peer, &parts))).await;
        copies += copied.into_iter().filter(|accepted| *accepted).count();
    }
    copies
}

async fn copy_to_peer(state: &State, peer: &EntryVm, parts: &[LedgerPart]) -> bool {
    let Ok(client) = state.peers.client(peer).await else { return false };
    for part in parts {
        if !client.handoff(part).await.unwrap_or(false) {
            return false;
        }
    }
    true
}
