//! Handlers for calls from other entries.

use std::net::SocketAddr;
use std::rc::Rc;

use shallotfork_events::{PEER_REFUSED, event};
use shallotfork_once::{
    ClaimAnswer, ClaimId, Completion, CompletionAnswer, LedgerPart, OperationId, Session,
};
use shallotfork_peer::{Changes, ChangesRequest, Heartbeat, PeerHandler, PeerId};

use crate::control::lists_apply::apply_lists;
use crate::control::lists_pull::{
    connect_and_pull_lists, list_changes, to_published_list, to_value_change,
};
use crate::control::lists_source::ListSource;
use crate::control::members::{handle_heartbeat, own_heartbeat, to_peer_update};
use crate::control::operations::claim_locally;
use crate::control::state::State;

/// Handles calls of entries that have proved the shared key.
pub struct PeerCalls {
    state: Rc<State>,
}

impl PeerCalls {
    /// Creates handlers that use the given state.
    pub fn new(state: Rc<State>) -> Self {
        Self { state }
    }
}

impl PeerHandler for PeerCalls {
    fn handshake_rejected(&self, from: SocketAddr) {
        event!(self.state.context.log, PEER_REFUSED, "from" => from.to_string());
    }

    async fn heartbeat(&self, from: &PeerId, heartbeat: Heartbeat) -> Heartbeat {
        handle_heartbeat(&self.state, from, &heartbeat);
        let mut own = own_heartbeat(&self.state);
        let suspicion = self.state.view.borrow().suspicion_of(&from.vm);
        own.updates.extend(suspicion.map(to_peer_update));
        tokio::task::spawn_local(connect_and_pull_lists(
            Rc::clone(&self.state),
            from.clone(),
            heartbeat,
        ));
        own
    }

    async fn claim(&self, operation: OperationId, claim: ClaimId) -> ClaimAnswer {
        claim_locally(&self.state, &operation, &claim).unwrap_or(ClaimAnswer::MayHaveRun)
    }

    async fn complete(
        &self,
        operation: OperationId,
        claim: ClaimId,
        completion: Completion,
    ) -> CompletionAnswer {
        let now = self.state.context.clock.now();
        let recorded =
            self.state.ledger.borrow_mut().complete(&operation, &claim, &completion, now);
        recorded.unwrap_or(CompletionAnswer::Ignored)
    }

    async fn close(&self, operation: OperationId, claim: ClaimId) -> ClaimAnswer {
        let now = self.state.context.clock.now();
        self.state
            .ledger
            .borrow_mut()
            .close(&operation, &claim, now)
            .unwrap_or(ClaimAnswer::MayHaveRun)
    }

    async fn lookup(&self, operation: OperationId) -> Option<ClaimAnswer> {
        self.state.ledger.borrow().lookup(&operation)
    }

    async fn issue(&self) -> Option<Session> {
        if self.state.is_leaving.get() {
            return None;
        }
        let now = self.state.context.clock.now();
        self.state.ledger.borrow_mut().issue(now)
    }

    async fn changes(&self, request: ChangesRequest) -> Option<Changes> {
        let lists = self.state.lists.borrow();
        let values = lists.changed_after(request.after).into_iter().map(to_value_change).collect();
        Some(list_changes(lists.cursor.synced_revision(), values))
    }

    async fn push(&self, from: &PeerId, changes: Changes) {
        let lists = changes.values.into_iter().filter_map(to_published_list).collect();
        apply_lists(&self.state, lists, &ListSource::Peer(from.vm.clone()));
    }

    async fn handoff(&self, _from: &PeerId, part: LedgerPart) -> bool {
        let now = self.state.context.clock.now();
        self.state.ledger.borrow_mut().add_sealed_part(part, now)
    }
}
