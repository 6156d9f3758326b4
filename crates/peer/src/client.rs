//! Calls a peer over one connection.

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
use shallotfork_types::{Endpoint, Revision};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_util::compat::TokioAsyncReadCompatExt as _;

use crate::key::{Handshake, Side, draw_nonce};
use crate::metered::Metered;
use crate::peer_capnp as schema;
use crate::server::reader_options;
use crate::wire;
use crate::{Changes, Heartbeat, PeerConfig, PeerError, PeerId, PeerKey};

/// A connection to a peer on which both sides have proved the shared key.
///
/// Calls may overlap. Dropping the client closes the connection; a broken one is never mended:
/// the caller makes a new client.
pub struct PeerClient {
    calls: schema::peer::Client,
    peer: PeerId,
    config: PeerConfig,
    driver: Driver,
    /// Bytes of both directions since the connection was opened.
    carried: Rc<Cell<u64>>,
    received_bytes: Rc<Cell<u64>>,
    /// Of these, what has been taken account of.
    taken: Cell<u64>,
}

impl PeerClient {
    /// Connects and proves the key in both directions; must run within a `LocalSet`.
    ///
    /// # Errors
    /// [`PeerError::Refused`] when either side does not prove the key, else as for any call.
    pub async fn connect(
        endpoint: Endpoint,
        key: &PeerKey,
        own_id: &PeerId,
        config: &PeerConfig,
    ) -> Result<Self, PeerError> {
        within(config.handshake_timeout, shake_hands(endpoint, key, own_id, config)).await
    }

    /// The process at the other end, as proved by the handshake.
    pub fn peer(&self) -> &PeerId {
        &self.peer
    }

    /// Bytes that the connection has carried in both directions since the last call of this.
    pub fn take_transferred_bytes(&self) -> u64 {
        let carried = self.carried.get();
        carried - self.taken.replace(carried)
    }

    /// Bytes received since the connection was opened; they grow while an answer comes.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.get()
    }

    /// Whether the connection has broken.
    pub fn is_closed(&self) -> bool {
        self.driver.0.is_finished()
    }

    /// Exchanges heartbeats.
    ///
    /// # Errors
    /// When no valid answer comes in time.
    pub async fn heartbeat(&self, beat: &Heartbeat) -> Result<Heartbeat, PeerError> {
        let mut request = self.calls.heartbeat_request();
        wire::write_heartbeat(beat, request.get().init_heartbeat());
        within(self.config.call_timeout, async {
            let response = request.send().promise.await?;
            Ok(wire::read_heartbeat(response.get()?.get_heartbeat()?)?)
        })
        .await
    }

    /// Claims an operation of a session that the peer issued.
    ///
    /// # Errors
    /// When no valid answer comes in time; the peer may have granted the claim all the same.
    pub async fn claim(
        &self,
        operation: &OperationId,
        number: u64,
    ) -> Result<ClaimAnswer, PeerError> {
        let mut request = self.calls.claim_request();
        wire::write_operation(operation, request.get().init_operation());
        request.get().set_number(number);
        within(self.config.call_timeout, async {
            let response = request.send().promise.await?;
            Ok(wire::read_answer(response.get()?.get_answer()?)?)
        })
        .await
    }

    /// Reports the end of an operation granted to this process under `number`.
    ///
    /// # Errors
    /// When no valid answer comes in time; the peer may have recorded the end all the same.
    pub async fn complete(
        &self,
        operation: &OperationId,
        number: u64,
        completion: &Completion,
    ) -> Result<CompletionAnswer, PeerError> {
        let mut request = self.calls.complete_request();
        wire::write_operation(operation, request.get().init_operation());
        request.get().set_number(number);
        wire::write_completion(completion, request.get().init_completion());
        within(self.config.call_timeout, async {
            let response = request.send().promise.await?;
            Ok(recorded(response.get()?.get_recorded()))
        })
        .await
    }

    /// Makes sure that an operation never runs, unless it was granted to somebody else.
    ///
    /// # Errors
    /// When no valid answer comes in time; the operation may still run elsewhere.
    pub async fn close(
        &self,
        operation: &OperationId,
        number: u64,
    ) -> Result<ClaimAnswer, PeerError> {
        let mut request = self.calls.close_request();
        wire::write_operation(operation, request.get().init_operation());
        request.get().set_number(number);
        within(self.config.call_timeout, async {
            let response = request.send().promise.await?;
            Ok(wire::read_answer(response.get()?.get_answer()?)?)
        })
        .await
    }

    /// Asks the peer's archive; `None` when it does not hold the issuer's ledger.
    ///
    /// # Errors
    /// When no valid answer comes in time.
    pub async fn lookup(&self, operation: &OperationId) -> Result<Option<ClaimAnswer>, PeerError> {
        let mut request = self.calls.lookup_request();
        wire::write_operation(operation, request.get().init_operation());
        within(self.config.call_timeout, async {
            let response = request.send().promise.await?;
            let results = response.get()?;
            if !results.get_held() {
                return Ok(None);
            }
            Ok(Some(wire::read_answer(results.get_answer()?)?))
        })
        .await
    }

    /// Asks for a session that the peer issues; `None` when it issues none now.
    ///
    /// # Errors
    /// When no valid answer comes in time.
    pub async fn issue(&self) -> Result<Option<Session>, PeerError> {
        let request = self.calls.issue_request();
        within(self.config.call_timeout, async {
            let response = request.send().promise.await?;
            let results = response.get()?;
            if !results.has_session() {
                return Ok(None);
            }
            let text = results.get_session()?.to_str().map_err(capnp::Error::from)?;
            Ok(Some(text.parse().map_err(wire::invalid)?))
        })
        .await
    }

    /// Fetches the published values changed after a revision; contents may come packed.
    ///
    /// # Errors
    /// [`PeerError::Busy`] when the peer hands on as much as it can, else when no valid answer comes in
    /// time.
    pub async fn changes(&self, after: Revision) -> Result<Changes, PeerError> {
        let mut request = self.calls.changes_request();
        request.get().set_after(after.value());
        request.get().set_takes_packed(true);
        within(self.config.bulk_timeout, async {
            let response = request.send().promise.await?;
            Ok(wire::read_changes(response.get()?.get_changes()?)?)
        })
        .await
    }

    /// Offers published values.
    ///
    /// # Errors
    /// When the peer does not say in time that it has taken them.
    pub async fn push(&self, changes: &Changes) -> Result<(), PeerError> {
        let mut request = self.calls.push_request();
        wire::write_changes(changes, request.get().init_changes());
        within(self.config.bulk_timeout, async {
            request.send().promise.await?;
            Ok(())
        })
        .await
    }

    /// Leaves a part of a sealed ledger with the peer; `false` when it cannot be kept
    /// there.
    ///
    /// # Errors
    /// When no valid answer comes in time; the peer may hold the part all the same.
    pub async fn handoff(&self, part: &LedgerPart) -> Result<bool, PeerError> {
        let mut request = self.calls.handoff_request();
        wire::write_ledger(&part.ledger, request.get().init_ledger());
        request.get().set_index(part.index);
        request.get().set_count(part.count);
        within(self.config.bulk_timeout, async {
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

fn recorded(recorded: bool) -> CompletionAnswer {
    if recorded { CompletionAnswer::Recorded } else { CompletionAnswer::Ignored }
}

async fn within<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    tokio::time::timeout(timeout, call).await.unwrap_or(Err(PeerError::TimedOut))
}

async fn shake_hands(
    endpoint: Endpoint,
    key: &PeerKey,
    own_id: &PeerId,
    config: &PeerConfig,
) -> Result<PeerClient, PeerError> {
    let unreachable = |error: std::io::Error| PeerError::Unreachable(error.to_string());
    let stream = TcpStream::connect(endpoint.address()).await.map_err(unreachable)?;
    stream.set_nodelay(true).map_err(unreachable)?;
    let metered = Metered::new(stream.compat());
    let carried = metered.carried();
    let received_bytes = metered.received_bytes();
    let (reader, writer) = metered.split();
    let options = reader_options(config);
    let network = twoparty::VatNetwork::new(reader, writer, RpcSide::Client, options);
    let mut rpc = RpcSystem::new(Box::new(network), None);
    let bootstrap: schema::bootstrap::Client = rpc.bootstrap(RpcSide::Server);
    let driver = Driver(tokio::task::spawn_local(async move {
        // Calls in flight fail with the reason; nothing else waits for this result.
        let _ = rpc.await;
    }));
    let client_nonce = draw_nonce();
    let mut request = bootstrap.challenge_request();
    request.get().set_nonce(&client_nonce);
    request.get().set_vm(own_id.vm.as_str());
    request.get().set_incarnation(own_id.incarnation.value());
    let response = request.send().promise.await?;
    let results = response.get()?;
    let peer = wire::peer_id(results.get_vm()?, results.get_incarnation())?;
    let talk = Handshake {
        client: own_id.clone(),
        server: peer.clone(),
        client_nonce,
        server_nonce: wire::nonce(results.get_nonce()?)?,
    };
    if !key.verifies(Side::Server, &talk, results.get_proof()?) {
        return Err(PeerError::Refused);
    }
    let mut request = results.get_handshake()?.prove_request();
    request.get().set_proof(&key.proof(Side::Client, &talk));
    let response = request.send().promise.await?;
    if !response.get()?.has_peer() {
        return Err(PeerError::Refused);
    }
    let calls = response.get()?.get_peer()?;
    let (config, taken) = (config.clone(), Cell::new(0));
    Ok(PeerClient { calls, peer, config, driver, carried, received_bytes, taken })
}

/// Runs the connection, and closes it when the client or the handshake is given up.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}
