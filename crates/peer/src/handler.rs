//! What a process does when a peer calls it.

use std::future::Future;
use std::net::SocketAddr;

use shallotfork_once::{
    ClaimAnswer, ClaimId, Completion, CompletionAnswer, LedgerPart, OperationId, Session,
};

use crate::{Changes, ChangesRequest, Heartbeat, PeerId};

/// Functions that a peer may call once it has proved the shared key.
///
/// A future is dropped at its next `await` when the caller gives up or its connection breaks, so
/// an implementation changes state in one piece between awaits. The claims that reach `claim`,
/// `complete` and `close` carry the caller's proved name.
pub trait PeerHandler: 'static {
    /// Somebody at this address failed to prove the shared key; nothing it said counts.
    fn handshake_rejected(&self, from: SocketAddr);

    /// The peer is alive; answers with this process's own heartbeat.
    fn heartbeat(&self, from: &PeerId, beat: Heartbeat) -> impl Future<Output = Heartbeat>;

    /// The peer asks for leave to run an operation of a session issued here.
    fn claim(&self, operation: OperationId, claim: ClaimId) -> impl Future<Output = ClaimAnswer>;

    /// The peer reports the end of an operation granted to it.
    fn complete(
        &self,
        operation: OperationId,
        claim: ClaimId,
        completion: Completion,
    ) -> impl Future<Output = CompletionAnswer>;

    /// The peer wants an operation never to run.
    fn close(&self, operation: OperationId, claim: ClaimId) -> impl Future<Output = ClaimAnswer>;

    /// The peer asks the archive about an operation whose issuer left.
    fn lookup(&self, operation: OperationId) -> impl Future<Output = Option<ClaimAnswer>>;

    /// The peer wants a session that is issued here; `None` while leaving or without room.
    fn issue(&self) -> impl Future<Output = Option<Session>>;

    /// The peer wants the published values changed after a revision; `None` while this process hands
    /// on as much as its link bears.
    fn changes(&self, asked: ChangesRequest) -> impl Future<Output = Option<Changes>>;

    /// The peer offers published values.
    fn push(&self, from: &PeerId, changes: Changes) -> impl Future<Output = ()>;

    /// The peer leaves a part of a sealed ledger here, its own or one that it held for another
    /// issuer; `false` when it cannot be kept.
    fn handoff(&self, from: &PeerId, part: LedgerPart) -> impl Future<Output = bool>;
}
