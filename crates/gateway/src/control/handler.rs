//! What this process does when another entry calls it.

use std::net::SocketAddr;
use std::rc::Rc;

use shallotfork_events::{PEER_REFUSED, event};
use shallotfork_once::{
    ClaimAnswer, ClaimId, Completion, CompletionAnswer, LedgerPart, OperationId, Session,
};
use shallotfork_peer::{Changes, ChangesRequest, Heartbeat, PeerHandler, PeerId};

use crate::control::hearing::{heard, own_heartbeat};
use crate::control::state::State;
use crate::control::telling::told;

/// Answers heartbeats. On a platform without sessions there are no operations to claim, so that
/// every call about them is answered as by a process that issued none.
pub struct Handler {
    /// State of the control thread.
    pub state: Rc<State>,
}

impl PeerHandler for Handler {
    fn handshake_rejected(&self, from: SocketAddr) {
        event!(self.state.context.log, PEER_REFUSED, "peer" => from.to_string());
    }

    async fn heartbeat(&self, from: &PeerId, beat: Heartbeat) -> Heartbeat {
        heard(&self.state, from, &beat);
        own_heartbeat(&self.state, &from.vm, Some(beat.quarantine_digest))
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

    async fn changes(&self, asked: ChangesRequest) -> Option<Changes> {
        told(&self.state, asked)
    }

    async fn push(&self, _from: &PeerId, _changes: Changes) {}

    async fn handoff(&self, _from: &PeerId, _part: LedgerPart) -> bool {
        false
    }
}
