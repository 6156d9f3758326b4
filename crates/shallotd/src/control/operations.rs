//! Operations of sessions: decided by this process if it issued the session, otherwise by the
//! issuer or by peers that hold the issuer's sealed ledger.

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

/// Maximum number of peers queried for the sealed ledger of an issuer that has ended.
const LOOKUP_PEERS_MAX: usize = 8;

/// Maximum number of concurrent lookups in the sealed ledgers of peers.
pub const CONCURRENT_LOOKUPS_MAX: usize = 64;

/// Maximum number of completions that are reported in the background at a time.
pub const BACKGROUND_REPORTS_MAX: usize = 256;

/// Delay before the second report of a completion; it doubles with each further report.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum delay between two reports of a completion.
const REPORT_RETRY_DELAY_MAX: Duration = Duration::from_secs(2);

/// Result of a request about an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The issuer, or a holder of the issuer's sealed ledger, has answered.
    Answered(ClaimAnswer),
    /// Neither could be reached: the operation may be running, have run, or still be open.
    Unreachable,
}

/// Requests a grant to run an operation.
///
/// If the answer to a claim is lost, the claim may have been granted. Nobody would use the grant,
/// and the key would stay in progress. The operation is therefore closed with the number of the
/// same claim, which turns an unused grant into a definite not-run.
pub async fn claim(state: &Rc<State>, operation: &OperationId, claim: &ClaimId) -> Decision {
    if let Some(answer) = claim_locally(state, operation, claim) {
        return Decision::Answered(answer);
    }
    if let Ok(client) = issuer_client(state, operation.session()).await {
        match client.claim(operation, claim.number()).await {
            Ok(answer) => return Decision::Answered(answer),
            Err(_) => {
                state.peers.drop_client(&client);
                report_in_background(state, operation, claim, Completion::NotRun);
            }
        }
    }
    lookup_sealed(state, operation).await
}

/// Grants an operation or returns its known state; `None` if neither the issuer nor the
/// archive of this process covers it.
pub fn claim_locally(
    state: &State,
    operation: &OperationId,
    claim: &ClaimId,
) -> Option<ClaimAnswer> {
    let now = state.context.clock.now();
    let mut ledger = state.ledger.borrow_mut();
    let answer = ledger.claim(operation, claim, now)?;
    if matches!(answer, ClaimAnswer::Full { .. }) && ledger.is_full_log_due(now) {
        event!(state.context.log, LEDGER_FULL, "operations" => ledger.status().operations);
    }
    Some(answer)
}

/// Ensures that an operation never runs, unless it was granted to another claim.
pub async fn close(state: &Rc<State>, operation: &OperationId, claim: &ClaimId) -> Decision {
    match close_at_issuer(state, operation, claim).await {
        Ok(answer) => Decision::Answered(answer),
        Err(_) => lookup_sealed(state, operation).await,
    }
}

async fn close_at_issuer(
    state: &State,
    operation: &OperationId,
    claim: &ClaimId,
) -> Result<ClaimAnswer, Unavailable> {
    let now = state.context.clock.now();
    let local_answer = state.ledger.borrow_mut().close(operation, claim, now);
    if let Some(answer) = local_answer {
        return Ok(answer);
    }
    let client = issuer_client(state, operation.session()).await?;
    let answer = client.close(operation, claim.number()).await;
    if answer.is_err() {
        state.peers.drop_client(&client);
    }
    Ok(answer?)
}

/// Reports the completion of an operation once; returns whether the issuer recorded it.
async fn report_completion(
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
    let local_answer = state.ledger.borrow_mut().complete(operation, claim, completion, now);
    if let Some(answer) = local_answer {
        return Ok(answer == CompletionAnswer::Recorded);
    }
    let client = issuer_client(state, operation.session()).await?;
    let answer = client.complete(operation, claim.number(), completion).await;
    if answer.is_err() {
        state.peers.drop_client(&client);
    }
    Ok(answer? == CompletionAnswer::Recorded)
}

/// Reports to the issuer how an operation ended; returns whether the issuer recorded it. If the
/// issuer does not answer, the report is repeated in the background.
pub async fn complete(
    state: &Rc<State>,
    operation: &OperationId,
    claim: &ClaimId,
    completion: Completion,
) -> bool {
    match report_completion(state, operation, claim, &completion).await {
        Ok(recorded) => recorded,
        Err(_) => {
            report_in_background(state, operation, claim, completion);
            false
        }
    }
}

/// Reports the completion of an operation until the issuer answers, its incarnation is known to
/// have ended, or the session ends. If too many reports are pending, none is sent: the operation
/// keeps its state at the issuer and becomes may-have-run there.
fn report_in_background(
    state: &Rc<State>,
    operation: &OperationId,
    claim: &ClaimId,
    completion: Completion,
) {
    let Ok(permit) = Arc::clone(&state.report_permits).try_acquire_owned() else { return };
    let (state, operation, claim) = (Rc::clone(state), operation.clone(), claim.clone());
    tokio::task::spawn_local(async move {
        let _permit = permit;
        let clock = state.context.clock;
        let deadline = clock.now().plus(operation.session().lifetime());
        let mut delay = REPORT_RETRY_DELAY;
        while clock.now() < deadline {
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(REPORT_RETRY_DELAY_MAX);
            match report_completion(&state, &operation, &claim, &completion).await {
                Ok(_) | Err(Unavailable::Gone) => return,
                Err(Unavailable::Unresponsive) => {}
            }
        }
    });
}

/// Issues a session for a caller, at a peer if this process is leaving.
pub async fn issue(state: &Rc<State>) -> Option<Session> {
    let now = state.context.clock.now();
    if !state.is_leaving.get() {
        return state.ledger.borrow_mut().issue(now);
    }
    for entry in rank_peers(state, &state.context.identity.vm, |entry| entry == EntryState::Live) {
        let Ok(client) = state.peers.client(&entry).await else { continue };
        if let Ok(Some(session)) = client.issue().await {
            return Some(session);
        }
    }
    None
}

/// Returns the other entries in a wanted state, ranked as holders of the sealed ledger of `issuer`.
pub fn rank_peers(
    state: &State,
    issuer: &VmId,
    is_wanted: impl Fn(EntryState) -> bool,
) -> Vec<EntryVm> {
    let own = &state.context.identity.vm;
    let mut entries = state.view.borrow().entries();
    entries.retain(|entry| entry.vm != *own && is_wanted(entry.state));
    let weight = |entry: &EntryVm| rendezvous_weight(issuer.as_str(), entry.vm.as_str());
    entries.sort_by_key(|entry| std::cmp::Reverse(weight(entry)));
    entries
}

/// Why an issuer cannot be called.
enum Unavailable {
    /// Its incarnation has ended or its VM is unknown; only its sealed ledger has the answer.
    Gone,
    /// It does not answer; it may be paused, partitioned or crashed.
    Unresponsive,
}

impl From<PeerError> for Unavailable {
    fn from(_: PeerError) -> Self {
        Self::Unresponsive
    }
}

/// Returns the connection to the incarnation that issued a session.
///
/// A suspected issuer is not called, because every caller would wait for the timeout. Heartbeats
/// continue and end the suspicion.
async fn issuer_client(state: &State, session: &Session) -> Result<Rc<PeerClient>, Unavailable> {
    let entries = state.view.borrow().entries();
    let found = entries.into_iter().find(|entry| entry.vm == *session.issuer());
    let entry = found.ok_or(Unavailable::Gone)?;
    if entry.incarnation.is_some_and(|incarnation| incarnation != session.incarnation()) {
        return Err(Unavailable::Gone);
    }
    if entry.state == EntryState::Suspected {
        return Err(Unavailable::Unresponsive);
    }
    let client = state.peers.client(&entry).await?;
    if client.peer().incarnation != session.incarnation() {
        return Err(Unavailable::Gone);
    }
    Ok(client)
}

/// Queries the peers that may hold the issuer's sealed ledger. The first answer is used, since all
/// copies are identical.
///
/// Concurrent lookups are limited, because a caller can name issuers that never existed.
async fn lookup_sealed(state: &Rc<State>, operation: &OperationId) -> Decision {
    let Ok(_permit) = state.lookup_permits.try_acquire() else { return Decision::Unreachable };
    let issuer = operation.session().issuer();
    let mut holders = rank_peers(state, issuer, |entry| entry != EntryState::Suspected);
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
