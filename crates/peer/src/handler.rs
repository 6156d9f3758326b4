//! Interface that a process implements to serve calls from peers.

use std::future::Future;
use std::net::SocketAddr;

use shallotfork_once::{
    ClaimAnswer, ClaimId, Completion, CompletionAnswer, LedgerPart, OperationId, Session,
};

use crate::{Changes, ChangesRequest, Heartbeat, PeerId};

/// Functions that a peer may call once it has proved the shared key.
///
/// A future is dropped at its next `await` if the calling peer cancels or its connection is lost,
/// so an implementation must complete each state change without an `await` in between. The claims
/// passed to `claim`, `complete` and `close` carry the authenticated identity of the peer.
pub trait PeerHandler: 'static {
    /// Notifies the handler that the client at this address failed to prove the shared key; data
    /// from it is ignored.
    fn handshake_rejected(&self, from: SocketAddr);

    /// Processes a heartbeat of the peer and returns this process's own heartbeat.
    fn heartbeat(&self, from: &PeerId, heartbeat: Heartbeat) -> impl Future<Output = Heartbeat>;

    /// Decides whether the peer may run an operation of a session issued by this process.
    fn claim(&self, operation: OperationId, claim: ClaimId) -> impl Future<Output = ClaimAnswer>;

    /// Records the completion of an operation that was granted to the peer.
    fn complete(
        &self,
        operation: OperationId,
        claim: ClaimId,
        completion: Completion,
    ) -> impl Future<Output = CompletionAnswer>;

    /// Ensures that an operation never runs, unless it was granted to another process.
    fn close(&self, operation: OperationId, claim: ClaimId) -> impl Future<Output = ClaimAnswer>;

    /// Looks up an operation of a departed issuer in the archive; `None` if the archive does not
    /// hold the issuer's ledger.
    fn lookup(&self, operation: OperationId) -> impl Future<Output = Option<ClaimAnswer>>;

    /// Issues a session to the peer; `None` while this process is leaving or has no room for one.
    fn issue(&self) -> impl Future<Output = Option<Session>>;

    /// Returns the published values that changed after a revision; `None` while this process
    /// already forwards as much as its link can carry.
    fn changes(&self, request: ChangesRequest) -> impl Future<Output = Option<Changes>>;

    /// Receives published values that the peer offers.
    fn push(&self, from: &PeerId, changes: Changes) -> impl Future<Output = ()>;

    /// Stores a part of a sealed ledger, either the peer's own or one that the peer held for
    /// another issuer; `false` if it cannot be stored.
    fn handoff(&self, from: &PeerId, part: LedgerPart) -> impl Future<Output = bool>;
}
