//! Serves the calls of other entries.

use std::net::SocketAddr;
use std::rc::Rc;

use shallotfork_events::{PEER_REFUSED, event};
use shallotfork_once::{
    ClaimAnswer, ClaimId, Completion, CompletionAnswer, LedgerPart, OperationId, Session,
};
use shallotfork_peer::{Changes, ChangesRequest, Heartbeat, PeerHandler, PeerId};

use crate::control::heartbeat_messages::{build_heartbeat, receive_heartbeat};
use crate::control::serve_pulls::answer_pull;
use crate::control::state::ControlState;

/// Answers the calls of other entries. On a platform without sessions there are no operations to
/// claim, so calls about operations are answered as by a process that issued none.
pub struct Handler {
    /// State of the control thread.
    pub state: Rc<ControlState>,
}

impl PeerHandler for Handler {
    fn handshake_rejected(&self, from: SocketAddr) {
        event!(self.state.context.log, PEER_REFUSED, "peer" => from.to_string());
    }

    async fn heartbeat(&self, from: &PeerId, heartbeat: Heartbeat) -> Heartbeat {
        receive_heartbeat(&self.state, from, &heartbeat);
        build_heartbeat(&self.state, &from.vm, Some(heartbeat.quarantine_digest))
    }

    async fn claim(&self, _operation: OperationId, _claim: ClaimId) -> ClaimAnswer {
        ClaimAnswer::BadSession
    }

    async fn complete(
        &self,
        _operation: OperationId,
        _claim: ClaimId,
        _completion: Completion,
    ) -> CompletionAnswer {
        CompletionAnswer::Ignored
    }

    async fn close(&self, _operation: OperationId, _claim: ClaimId) -> ClaimAnswer {
        ClaimAnswer::BadSession
    }

    async fn lookup(&self, _operation: OperationId) -> Option<ClaimAnswer> {
        None
    }

    async fn issue(&self) -> Option<Session> {
        None
    }

    async fn changes(&self, request: ChangesRequest) -> Option<Changes> {
        answer_pull(&self.state, request)
    }

    async fn push(&self, _from: &PeerId, _changes: Changes) {}

    async fn handoff(&self, _from: &PeerId, _part: LedgerPart) -> bool {
        false
    }
}
