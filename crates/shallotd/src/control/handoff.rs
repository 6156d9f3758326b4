//! The last act of a planned stop: seals the ledger and leaves copies of it with peers.

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use shallotfork_events::{LEDGER_SEALED, event};
use shallotfork_membership::{EntryState, EntryVm};
use shallotfork_once::{LedgerPart, SealedLedger};
use shallotfork_types::Bytes;

use crate::control::operations::ranked;
use crate::control::state::State;

/// How often the end of running operations is looked for while draining.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// Kept answers that go along; of further operations only the fact that they ran does.
const ANSWERS_MAX: Bytes = Bytes::from_mib(4);

/// Size of one message of a handoff.
const PART_MAX: Bytes = Bytes::from_kib(512);

/// Drains the ledger, seals it and leaves it with as many peers as the settings say.
///
/// The own archive keeps a copy, so that this process answers for its sessions to its last moment.
/// Ledgers held for entries that left before are passed on, or a rolling replacement of all
/// entries would lose them with their last holder.
pub async fn seal(state: &Rc<State>) {
    drained(state).await;
    let now = state.context.clock.now();
    let held = state.ledger.borrow().to_pass_on(now);
    let Some(sealed) = state.ledger.borrow_mut().seal(now) else { return };
    let operations: usize = sealed.sessions.iter().map(|session| session.operations.len()).sum();
    let holders = leave_with_peers(state, sealed).await;
    event!(
        state.context.log, LEDGER_SEALED,
        "operations" => operations,
        "peers" => holders,
    );
    for ledger in held {
        leave_with_peers(state, ledger).await;
    }
}

/// Waits until every operation granted has ended, within the grace of the settings.
async fn drained(state: &Rc<State>) {
    let clock = state.context.clock;
    state.ledger.borrow_mut().drain(clock.now());
    let give_up = clock.now().plus(state.context.settings.leaving.grace_max);
    while state.ledger.borrow().running() > 0 && clock.now() < give_up {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

/// Tries as many peers at once as copies are missing; returns how many hold one.
async fn leave_with_peers(state: &Rc<State>, ledger: SealedLedger) -> usize {
    let wanted = state.context.settings.once.handoff_peers;
    let live = |entry| entry == EntryState::Live;
    let mut candidates = ranked(state, &ledger.vm, live).into_iter();
    let parts = ledger.with_answers_within(ANSWERS_MAX).into_parts(PART_MAX);
    let mut holders = 0;
    while holders < wanted {
        let next: Vec<EntryVm> = candidates.by_ref().take(wanted - holders).collect();
        if next.is_empty() {
            break;
        }
        let left = join_all(next.iter().map(|peer| leave_with(state, peer, &parts))).await;
        holders += left.into_iter().filter(|accepted| *accepted).count();
    }
    holders
}

async fn leave_with(state: &State, peer: &EntryVm, parts: &[LedgerPart]) -> bool {
    let Ok(client) = state.peers.client(peer).await else { return false };
    for part in parts {
        if !client.handoff(part).await.unwrap_or(false) {
            return false;
        }
    }
    true
}
