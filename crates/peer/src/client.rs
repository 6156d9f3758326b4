//! Client for calls to a peer over one connection.

use std::cell::Cell;
use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side as RpcSide;
use capnp_rpc::{RpcSystem, twoparty};
use futures::AsyncReadExt as _;
use shallotfork_once::{
    ClaimAnswer, Completion, CompletionAnswer, LedgerPart, OperationId, Session,
};
use shallotfork_types::Endpoint;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_util::compat::TokioAsyncReadCompatExt as _;

use crate::key::{HandshakeTranscript, Side, generate_nonce};
use crate::metered::MeteredStream;
use crate::peer_capnp as schema;
use crate::server::reader_options;
use crate::wire;
use crate::{Changes, ChangesRequest, Heartbeat, PeerConfig, PeerError, PeerId, PeerKey};

/// Connection to a peer on which both sides have proved the shared key.
///
/// Calls may run concurrently. Dropping the client closes the connection. A lost connection is not
/// reopened: create a new client instead.
pub struct PeerClient {
    remote: schema::peer::Client,
    peer: PeerId,
    config: PeerConfig,
    connection: ConnectionTask,
    /// Bytes transferred in both directions since the connection was opened.
    transferred_bytes: Rc<Cell<u64>>,
    received_bytes: Rc<Cell<u64>>,
    /// Part of `transferred_bytes` that `take_transferred_bytes` has already returned.
    taken_bytes: Cell<u64>,
}

impl PeerClient {
    /// Opens a connection and authenticates both sides; must run within a `LocalSet`.
    ///
    /// # Errors
    /// Returns [`PeerError::Refused`] if either side does not prove the key, or another error if
    /// the handshake fails or does not complete before the timeout.
    pub async fn connect(
        endpoint: Endpoint,
        key: &PeerKey,
        own_id: &PeerId,
        config: &PeerConfig,
    ) -> Result<Self, PeerError> {
        with_timeout(config.handshake_timeout, perform_handshake(endpoint, key, own_id, config))
            .await
    }

    /// Returns the identity of the peer, as authenticated by the handshake.
    pub fn peer(&self) -> &PeerId {
        &self.peer
    }

    /// Returns the bytes transferred in both directions since the previous call of this method.
    pub fn take_transferred_bytes(&self) -> u64 {
        let transferred_bytes = self.transferred_bytes.get();
        transferred_bytes - self.taken_bytes.replace(transferred_bytes)
    }

    /// Returns the bytes received since the connection was opened, including those of a response
    /// that is still being received.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.get()
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.connection.0.is_finished()
    }

    /// Sends a heartbeat and returns the heartbeat of the peer.
    ///
    /// # Errors
    /// Returns an error if no valid response arrives before the timeout.
    pub async fn heartbeat(&self, heartbeat: &Heartbeat) -> Result<Heartbeat, PeerError> {
        let mut request = self.remote.heartbeat_request();
        wire::write_heartbeat(heartbeat, request.get().init_heartbeat());
        with_timeout(self.config.call_timeout, async {
            let response = request.send().promise.await?;
            Ok(wire::read_heartbeat(response.get()?.get_heartbeat()?)?)
        })
        .await
    }

    /// Claims an operation of a session that the peer issued.
    ///
    /// # Errors
    /// Returns an error if no valid response arrives before the timeout; the peer may still have
    /// granted the claim.
    pub async fn claim(
        &self,
        operation: &OperationId,
        number: u64,
    ) -> Result<ClaimAnswer, PeerError> {
        let mut request = self.remote.claim_request();
        wire::write_operation(operation, request.get().init_operation());
        request.get().set_number(number);
        with_timeout(self.config.call_timeout, async {
            let response = request.send().promise.await?;
            Ok(wire::read_claim_answer(response.get()?.get_answer()?)?)
        })
        .await
    }

    /// Reports the completion of an operation granted to this process under `number`.
    ///
    /// # Errors
    /// Returns an error if no valid response arrives before the timeout; the peer may still have
    /// recorded the completion.
    pub async fn complete(
        &self,
        operation: &OperationId,
        number: u64,
        completion: &Completion,
    ) -> Result<CompletionAnswer, PeerError> {
        let mut request = self.remote.complete_request();
        wire::write_operation(operation, request.get().init_operation());
        request.get().set_number(number);
        wire::write_completion(completion, request.get().init_completion());
        with_timeout(self.config.call_timeout, async {
            let response = request.send().promise.await?;
            Ok(completion_answer(response.get()?.get_recorded()))
        })
        .await
    }

    /// Ensures that an operation never runs, unless it was granted to another process.
    ///
    /// # Errors
    /// Returns an error if no valid response arrives before the timeout; the operation may still
    /// run elsewhere.
    pub async fn close(
        &self,
        operation: &OperationId,
        number: u64,
    ) -> Result<ClaimAnswer, PeerError> {
        let mut request = self.remote.close_request();
        wire::write_operation(operation, request.get().init_operation());
        request.get().set_number(number);
        with_timeout(self.config.call_timeout, async {
            let response = request.send().promise.await?;
            Ok(wire::read_claim_answer(response.get()?.get_answer()?)?)
        })
        .await
    }

    /// Looks up an operation in the peer's archive; `None` if the archive does not hold the
    /// issuer's ledger.
    ///
    /// # Errors
    /// Returns an error if no valid response arrives before the timeout.
    pub async fn lookup(&self, operation: &OperationId) -> Result<Option<ClaimAnswer>, PeerError> {
        let mut request = self.remote.lookup_request();
        wire::write_operation(operation, request.get().init_operation());
        with_timeout(self.config.call_timeout, async {
            let response = request.send().promise.await?;
            let results = response.get()?;
            if !results.get_held() {
                return Ok(None);
            }
            Ok(Some(wire::read_claim_answer(results.get_answer()?)?))
        })
        .await
    }

    /// Requests a session from the peer; `None` if the peer currently issues none.
    ///
    /// # Errors
    /// Returns an error if no valid response arrives before the timeout.
    pub async fn issue(&self) -> Result<Option<Session>, PeerError> {
        let request = self.remote.issue_request();
        with_timeout(self.config.call_timeout, async {
            let response = request.send().promise.await?;
            let results = response.get()?;
            if !results.has_session() {
                return Ok(None);
            }
            let text = results.get_session()?.to_str().map_err(capnp::Error::from)?;
            Ok(Some(text.parse().map_err(wire::to_capnp_error)?))
        })
        .await
    }

    /// Fetches the published values that changed after a position.
    ///
    /// # Errors
    /// Returns [`PeerError::Busy`] if the peer has reached its limit for forwarding published
    /// values, or another error if no valid response arrives before the timeout.
    pub async fn changes(&self, request: &ChangesRequest) -> Result<Changes, PeerError> {
        let mut call = self.remote.changes_request();
        call.get().set_after(request.after.value());
        call.get().set_epoch(wire::write_epoch(request.epoch));
        call.get().set_takes_packed(request.accepts_packed);
        call.get().set_wants_retained(request.wants_retained);
        call.get().set_takes_gap(request.accepts_gap);
        with_timeout(self.config.bulk_timeout, async {
            let response = call.send().promise.await?;
            Ok(wire::read_changes(response.get()?.get_changes()?)?)
        })
        .await
    }

    /// Offers published values to the peer.
    ///
    /// # Errors
    /// Returns an error if the peer does not confirm their receipt before the timeout.
    pub async fn push(&self, changes: &Changes) -> Result<(), PeerError> {
        let mut request = self.remote.push_request();
        wire::write_changes(changes, request.get().init_changes());
        with_timeout(self.config.bulk_timeout, async {
            request.send().promise.await?;
            Ok(())
        })
        .await
    }

    /// Transfers a part of a sealed ledger to the peer; `false` if the peer cannot store it.
    ///
    /// # Errors
    /// Returns an error if no valid response arrives before the timeout; the peer may still have
    /// stored the part.
    pub async fn handoff(&self, part: &LedgerPart) -> Result<bool, PeerError> {
        let mut request = self.remote.handoff_request();
        wire::write_ledger(&part.ledger, request.get().init_ledger());
        request.get().set_index(part.index);
        request.get().set_count(part.count);
        with_timeout(self.config.bulk_timeout, async {
            let response = request.send().promise.await?;
            Ok(response.get()?.get_accepted())
        })
        .await
    }
}

impl fmt::Debug for PeerClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerClient").field("peer", &self.peer).finish_non_exhaustive()
    }
}

fn completion_answer(is_recorded: bool) -> CompletionAnswer {
    if is_recorded { CompletionAnswer::Recorded } else { CompletionAnswer::Ignored }
}

async fn with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    tokio::time::timeout(timeout, call).await.unwrap_or(Err(PeerError::TimedOut))
}

async fn perform_handshake(
    endpoint: Endpoint,
    key: &PeerKey,
    own_id: &PeerId,
    config: &PeerConfig,
) -> Result<PeerClient, PeerError> {
    let unreachable = |error: std::io::Error| PeerError::Unreachable(error.to_string());
    let stream = TcpStream::connect(endpoint.address()).await.map_err(unreachable)?;
    stream.set_nodelay(true).map_err(unreachable)?;
    let metered = MeteredStream::new(stream.compat());
    let transferred_bytes = metered.transferred_bytes();
    let received_bytes = metered.received_bytes();
    let (reader, writer) = metered.split();
    let options = reader_options(config);
    let network = twoparty::VatNetwork::new(reader, writer, RpcSide::Client, options);
    let mut rpc = RpcSystem::new(Box::new(network), None);
    let bootstrap: schema::bootstrap::Client = rpc.bootstrap(RpcSide::Server);
    let connection = ConnectionTask(tokio::task::spawn_local(async move {
        // Calls in flight report the error; nothing else needs this result.
        let _ = rpc.await;
    }));
    let client_nonce = generate_nonce();
    let mut request = bootstrap.challenge_request();
    request.get().set_nonce(&client_nonce);
    request.get().set_vm(own_id.vm.as_str());
    request.get().set_incarnation(own_id.incarnation.value());
    let response = request.send().promise.await?;
    let results = response.get()?;
    let peer = wire::read_peer_id(results.get_vm()?, results.get_incarnation())?;
    let transcript = HandshakeTranscript {
        client: own_id.clone(),
        server: peer.clone(),
        client_nonce,
        server_nonce: wire::read_nonce(results.get_nonce()?)?,
    };
    if !key.is_valid_proof(Side::Server, &transcript, results.get_proof()?) {
        return Err(PeerError::Refused);
    }
    let mut request = results.get_handshake()?.prove_request();
    request.get().set_proof(&key.proof(Side::Client, &transcript));
    let response = request.send().promise.await?;
    if !response.get()?.has_peer() {
        return Err(PeerError::Refused);
    }
    let remote = response.get()?.get_peer()?;
    let (config, taken_bytes) = (config.clone(), Cell::new(0));
    Ok(PeerClient {
        remote,
        peer,
        config,
        connection,
        transferred_bytes,
        received_bytes,
        taken_bytes,
    })
}

/// Task that drives the connection. Dropping it, with the client or during the handshake, closes
/// the connection.
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}
