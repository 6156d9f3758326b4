//! Operations of sessions: decided here when this process issued them, else asked of the issuer,
//! else of peers that hold its sealed ledger.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use shallotfork_events::{LEDGER_FULL, event};
use shallotfork_membership::{EntryState, EntryVm};
use shallotfork_once::{ClaimAnswer, ClaimId, Completion, CompletionAnswer, OperationId, Session};
use shallotfork_peer::{PeerClient, PeerError};
use shallotfork_types::{Verdict, VmId, rendezvous_weight};

use crate::control::state::State;

/// Peers asked at once for the sealed ledger of an issuer that is gone.
const LOOKUP_PEERS_MAX: usize = 8;

/// Look-ups of one process at once.
pub const LOOKUPS_MAX: usize = 64;

/// Ends of operations that are reported in the background at once.
pub const LATE_REPORTS_MAX: usize = 256;

/// Wait before the second report of an end; it doubles with each further one.
const REPORT_WAIT: Duration = Duration::from_millis(200);

/// Longest wait between two reports of an end.
const REPORT_WAIT_MAX: Duration = Duration::from_secs(2);

/// What is known of an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Its issuer, or a holder of its issuer's sealed ledger, has answered.
    Answered(ClaimAnswer),
    /// Neither could be reached: it may run, have run, or be open still.
    Unreachable,
}

/// Asks for leave to run an operation.
///
/// A claim whose answer is lost may have been granted. Nobody would use that grant, and the key
/// would stay in progress: so the operation is closed under the claim's own number, which turns
/// an unused grant into a proved not-run.
pub async fn claim(state: &Rc<State>, operation: &OperationId, claim: &ClaimId) -> Decision {
    if let Some(answer) = claim_here(state, operation, claim) {
        return Decision::Answered(answer);
    }
    if let Ok(client) = issuer(state, operation.session()).await {
        match client.claim(operation, claim.number()).await {
            Ok(answer) => return Decision::Answered(answer),
            Err(_) => {
                state.peers.drop_client(&client);
                report_later(state, operation, claim, Completion::NotRun);
            }
        }
    }
    archived(state, operation).await
}

/// Grants an operation or says what is known of it; `None` when it is not for this process to say.
pub fn claim_here(state: &State, operation: &OperationId, claim: &ClaimId) -> Option<ClaimAnswer> {
    let now = state.context.clock.now();
    let mut ledger = state.ledger.borrow_mut();
    let answer = ledger.claim(operation, claim, now)?;
    if matches!(answer, ClaimAnswer::Full { .. }) && ledger.is_alarm_due(now) {
        event!(state.context.log, LEDGER_FULL, "operations" => ledger.status().operations);
    }
    Some(answer)
}

/// Makes sure that an operation never runs, unless somebody else was granted it.
pub async fn close(state: &Rc<State>, operation: &OperationId, claim: &ClaimId) -> Decision {
    match close_at_issuer(state, operation, claim).await {
        Ok(answer) => Decision::Answered(answer),
        Err(_) => archived(state, operation).await,
    }
}

async fn close_at_issuer(
    state: &State,
    operation: &OperationId,
    claim: &ClaimId,
) -> Result<ClaimAnswer, Unavailable> {
    let now = state.context.clock.now();
    let here = state.ledger.borrow_mut().close(operation, claim, now);
    if let Some(answer) = here {
        return Ok(answer);
    }
    let client = issuer(state, operation.session()).await?;
    let answer = client.close(operation, claim.number()).await;
    if answer.is_err() {
        state.peers.drop_client(&client);
    }
    Ok(answer?)
}

/// Reports the end of an operation once; returns whether the issuer recorded it.
async fn report(
    state: &State,
    operation: &OperationId,
    claim: &ClaimId,
    completion: &Completion,
) -> Result<bool, Unavailable> {
    if *completion == Completion::NotRun {
        let answer = close_at_issuer(state, operation, claim).await?;
        return Ok(answer.verdict() == Some(Verdict::NotRun));
    }
    let now = state.context.clock.now();
    let here = state.ledger.borrow_mut().complete(operation, claim, completion, now);
    if let Some(answer) = here {
        return Ok(answer == CompletionAnswer::Recorded);
    }
    let client = issuer(state, operation.session()).await?;
    let answer = client.complete(operation, claim.number(), completion).await;
    if answer.is_err() {
        state.peers.drop_client(&client);
    }
    Ok(answer? == CompletionAnswer::Recorded)
}

/// Tells the issuer how an operation ended; returns whether it recorded that. When it does not
/// answer, further reports follow in the background.
pub async fn complete(
    state: &Rc<State>,
    operation: &OperationId,
    claim: &ClaimId,
    completion: Completion,
) -> bool {
    match report(state, operation, claim, &completion).await {
        Ok(recorded) => recorded,
        Err(_) => {
            report_later(state, operation, claim, completion);
            false
        }
    }
}

/// Reports the end of an operation until the issuer answers, its incarnation is known to have
/// ended, or the session has. Over the bound on such reports, the operation stays as it is at the
/// issuer and becomes may-have-run there.
fn report_later(
    state: &Rc<State>,
    operation: &OperationId,
    claim: &ClaimId,
    completion: Completion,
) {
    let Ok(permit) = Arc::clone(&state.late_reports).try_acquire_owned() else { return };
    let (state, operation, claim) = (Rc::clone(state), operation.clone(), claim.clone());
    tokio::task::spawn_local(async move {
        let _permit = permit;
        let clock = state.context.clock;
        let give_up = clock.now().plus(operation.session().lifetime());
        let mut wait = REPORT_WAIT;
        while clock.now() < give_up {
            tokio::time::sleep(wait).await;
            wait = (wait * 2).min(REPORT_WAIT_MAX);
            match report(&state, &operation, &claim, &completion).await {
                Ok(_) | Err(Unavailable::Gone) => return,
                Err(Unavailable::Silent) => {}
            }
        }
    });
}

/// A session for a caller of this process: its own, or a peer's while this process leaves.
pub async fn issue(state: &Rc<State>) -> Option<Session> {
    let now = state.context.clock.now();
    if !state.leaving.get() {
        return state.ledger.borrow_mut().issue(now);
    }
    for entry in ranked(state, &state.context.identity.vm, |entry| entry == EntryState::Live) {
        let Ok(client) = state.peers.client(&entry).await else { continue };
        if let Ok(Some(session)) = client.issue().await {
            return Some(session);
        }
    }
    None
}

/// Other entries in the order in which they hold the sealed ledger of `issuer`.
pub fn ranked(state: &State, issuer: &VmId, wanted: impl Fn(EntryState) -> bool) -> Vec<EntryVm> {
    let own = &state.context.identity.vm;
    let mut entries = state.view.borrow().entries();
    entries.retain(|entry| entry.vm != *own && wanted(entry.state));
    let weight = |entry: &EntryVm| rendezvous_weight(issuer.as_str(), entry.vm.as_str());
    entries.sort_by_key(|entry| std::cmp::Reverse(weight(entry)));
    entries
}

/// Why an issuer cannot be asked.
enum Unavailable {
    /// Its incarnation has ended or its VM is not known: only its sealed ledger can tell.
    Gone,
    /// It does not answer; it may be paused, cut off or dead.
    Silent,
}

impl From<PeerError> for Unavailable {
    fn from(_: PeerError) -> Self {
        Self::Silent
    }
}

/// The connection to the incarnation that issued a session.
///
/// An issuer under suspicion is not called, as every caller would wait for the timeout: heartbeats
/// go on and lift the suspicion.
async fn issuer(state: &State, session: &Session) -> Result<Rc<PeerClient>, Unavailable> {
    let entries = state.view.borrow().entries();
    let found = entries.into_iter().find(|entry| entry.vm == *session.issuer());
    let entry = found.ok_or(Unavailable::Gone)?;
    if entry.incarnation.is_some_and(|heard| heard != session.incarnation()) {
        return Err(Unavailable::Gone);
    }
    if entry.state == EntryState::Suspected {
        return Err(Unavailable::Silent);
    }
    let client = state.peers.client(&entry).await?;
    if client.peer().incarnation != session.incarnation() {
        return Err(Unavailable::Gone);
    }
    Ok(client)
}

/// Asks the peers that may hold the issuer's sealed ledger; the first that does decides, since
/// copies cannot disagree.
///
/// Look-ups at once are bounded, since a caller can name issuers that never were.
async fn archived(state: &Rc<State>, operation: &OperationId) -> Decision {
    let Ok(_permit) = state.lookups.try_acquire() else { return Decision::Unreachable };
    let issuer = operation.session().issuer();
    let mut holders = ranked(state, issuer, |entry| entry != EntryState::Suspected);
    holders.retain(|entry| entry.vm != *issuer);
    holders.truncate(LOOKUP_PEERS_MAX);
    let mut answers: FuturesUnordered<_> =
        holders.iter().map(|holder| lookup(state, holder, operation)).collect();
    while let Some(answer) = answers.next().await {
        if let Some(answer) = answer {
            return Decision::Answered(answer);
        }
    }
    Decision::Unreachable
}

async fn lookup(state: &State, holder: &EntryVm, operation: &OperationId) -> Option<ClaimAnswer> {
    let client = state.peers.client(holder).await.ok()?;
    let answer = client.lookup(operation).await;
    if answer.is_err() {
        state.peers.drop_client(&client);
    }
    answer.ok()?
}
