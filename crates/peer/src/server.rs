//! Server for calls from peers that prove the shared key.

use std::net::SocketAddr;
use std::rc::Rc;

use capnp::Error;
use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side as RpcSide;
use capnp_rpc::{RpcSystem, twoparty};
use futures::AsyncReadExt as _;
use shallotfork_once::{ClaimId, CompletionAnswer, LedgerPart};
use shallotfork_types::Revision;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::compat::TokioAsyncReadCompatExt as _;

use crate::key::{HandshakeTranscript, Side, generate_nonce};
use crate::metered::MeteredStream;
use crate::peer_capnp as schema;
use crate::pre_auth::{AuthState, PreAuthReader};
use crate::wire;
use crate::{ChangesRequest, PeerConfig, PeerHandler, PeerId, PeerKey};

type CapnpResult = Result<(), Error>;

/// Size of a word in the Cap'n Proto encoding.
const WORD_BYTES: u64 = 8;

pub(crate) fn reader_options(config: &PeerConfig) -> ReaderOptions {
    let words = usize::try_from(config.message_max.value() / WORD_BYTES).unwrap_or(usize::MAX);
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(words));
    options
}

/// Server that accepts connections from peers; must run within a `LocalSet`.
#[derive(Debug)]
pub struct PeerServer<H> {
    listener: TcpListener,
    shared: Rc<Shared<H>>,
}

#[derive(Debug)]
struct Shared<H> {
    key: PeerKey,
    own_id: PeerId,
    config: PeerConfig,
    handler: Rc<H>,
}

impl<H: PeerHandler> PeerServer<H> {
    /// Creates a server from a bound listener and the handler for calls from peers.
    pub fn new(
        listener: TcpListener,
        key: PeerKey,
        own_id: PeerId,
        config: PeerConfig,
        handler: Rc<H>,
    ) -> Self {
        let shared = Shared { key, own_id, config, handler };
        Self { listener, shared: Rc::new(shared) }
    }

    /// Serves connections until the future is dropped, which closes all of them.
    pub async fn serve(self) {
        let mut connections = JoinSet::new();
        loop {
            let accepted = self.listener.accept().await;
            while connections.try_join_next().is_some() {}
            let Ok((stream, address)) = accepted else {
                // The process is out of file descriptors; other tasks may release some.
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if connections.len() >= self.shared.config.connections_max {
                continue;
            }
            let shared = Rc::clone(&self.shared);
            connections.spawn_local(serve_connection(shared, stream, address));
        }
    }
}

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(50);

/// Serves one connection. Closes it if the peer has not proved the key before the timeout, so that
/// incomplete handshakes cannot exhaust the connection limit.
async fn serve_connection<H: PeerHandler>(
    shared: Rc<Shared<H>>,
    stream: TcpStream,
    address: SocketAddr,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let auth_state = AuthState::default();
    let (reader, writer) = MeteredStream::new(stream.compat()).split();
    let unauthenticated_max_bytes = shared.config.unauthenticated_max.value();
    let reader = PreAuthReader::new(reader, auth_state.clone(), unauthenticated_max_bytes);
    let options = reader_options(&shared.config);
    let network = twoparty::VatNetwork::new(reader, writer, RpcSide::Server, options);
    let handshake_timeout = shared.config.handshake_timeout;
    let bootstrap = BootstrapServer { shared, address, auth_state: auth_state.clone() };
    let bootstrap: schema::bootstrap::Client = capnp_rpc::new_client(bootstrap);
    let mut rpc = RpcSystem::new(Box::new(network), Some(bootstrap.client));
    let finished = tokio::time::timeout(handshake_timeout, &mut rpc).await.is_ok();
    if finished || !auth_state.is_authenticated() {
        return;
    }
    // The result carries no more than the end of the connection; the client sees the error.
    let _ = rpc.await;
}

struct BootstrapServer<H> {
    shared: Rc<Shared<H>>,
    address: SocketAddr,
    auth_state: AuthState,
}

impl<H: PeerHandler> schema::bootstrap::Server for BootstrapServer<H> {
    async fn challenge(
        self: Rc<Self>,
        params: schema::bootstrap::ChallengeParams,
        mut results: schema::bootstrap::ChallengeResults,
    ) -> CapnpResult {
        let params = params.get()?;
        let transcript = HandshakeTranscript {
            client: wire::read_peer_id(params.get_vm()?, params.get_incarnation())?,
            server: self.shared.own_id.clone(),
            client_nonce: wire::read_nonce(params.get_nonce()?)?,
            server_nonce: generate_nonce(),
        };
        let mut results = results.get();
        results.set_nonce(&transcript.server_nonce);
        results.set_vm(transcript.server.vm.as_str());
        results.set_incarnation(transcript.server.incarnation.value());
        results.set_proof(&self.shared.key.proof(Side::Server, &transcript));
        let handshake = HandshakeServer {
            shared: Rc::clone(&self.shared),
            address: self.address,
            auth_state: self.auth_state.clone(),
            transcript,
        };
        results.set_handshake(capnp_rpc::new_client(handshake));
        Ok(())
    }
}

struct HandshakeServer<H> {
    shared: Rc<Shared<H>>,
    address: SocketAddr,
    auth_state: AuthState,
    transcript: HandshakeTranscript,
}

impl<H: PeerHandler> schema::handshake::Server for HandshakeServer<H> {
    async fn prove(
        self: Rc<Self>,
        params: schema::handshake::ProveParams,
        mut results: schema::handshake::ProveResults,
    ) -> CapnpResult {
        let proof = params.get()?.get_proof()?;
        if !self.shared.key.is_valid_proof(Side::Client, &self.transcript, proof) {
            self.shared.handler.handshake_rejected(self.address);
            return Ok(());
        }
        self.auth_state.mark_authenticated();
        let handler = Rc::clone(&self.shared.handler);
        let calls = CallServer { handler, peer: self.transcript.client.clone() };
        results.get().set_peer(capnp_rpc::new_client(calls));
        Ok(())
    }
}

/// Serves the calls of one authenticated peer.
struct CallServer<H> {
    handler: Rc<H>,
    peer: PeerId,
}

impl<H> CallServer<H> {
    fn claim_id(&self, number: u64) -> ClaimId {
        ClaimId::new(self.peer.vm.clone(), self.peer.incarnation, number)
    }
}

impl<H: PeerHandler> schema::peer::Server for CallServer<H> {
    async fn heartbeat(
        self: Rc<Self>,
        params: schema::peer::HeartbeatParams,
        mut results: schema::peer::HeartbeatResults,
    ) -> CapnpResult {
        let heartbeat = wire::read_heartbeat(params.get()?.get_heartbeat()?)?;
        let reply = self.handler.heartbeat(&self.peer, heartbeat).await;
        wire::write_heartbeat(&reply, results.get().init_heartbeat());
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: schema::peer::ClaimParams,
        mut results: schema::peer::ClaimResults,
    ) -> CapnpResult {
        let params = params.get()?;
        let operation = wire::read_operation(params.get_operation()?)?;
        let claim = self.claim_id(params.get_number());
        let answer = self.handler.claim(operation, claim).await;
        wire::write_claim_answer(&answer, results.get().init_answer());
        Ok(())
    }

    async fn complete(
        self: Rc<Self>,
        params: schema::peer::CompleteParams,
        mut results: schema::peer::CompleteResults,
    ) -> CapnpResult {
        let params = params.get()?;
        let operation = wire::read_operation(params.get_operation()?)?;
        let claim = self.claim_id(params.get_number());
        let completion = wire::read_completion(params.get_completion()?)?;
        let answer = self.handler.complete(operation, claim, completion).await;
        results.get().set_recorded(answer == CompletionAnswer::Recorded);
        Ok(())
    }

    async fn close(
        self: Rc<Self>,
        params: schema::peer::CloseParams,
        mut results: schema::peer::CloseResults,
    ) -> CapnpResult {
        let params = params.get()?;
        let operation = wire::read_operation(params.get_operation()?)?;
        let claim = self.claim_id(params.get_number());
        let answer = self.handler.close(operation, claim).await;
        wire::write_claim_answer(&answer, results.get().init_answer());
        Ok(())
    }

    async fn lookup(
        self: Rc<Self>,
        params: schema::peer::LookupParams,
        mut results: schema::peer::LookupResults,
    ) -> CapnpResult {
        let operation = wire::read_operation(params.get()?.get_operation()?)?;
        let Some(answer) = self.handler.lookup(operation).await else {
            return Ok(());
        };
        let mut results = results.get();
        results.set_held(true);
        wire::write_claim_answer(&answer, results.init_answer());
        Ok(())
    }

    async fn issue(
        self: Rc<Self>,
        _params: schema::peer::IssueParams,
        mut results: schema::peer::IssueResults,
    ) -> CapnpResult {
        if let Some(session) = self.handler.issue().await {
            results.get().set_session(session.to_string());
        }
        Ok(())
    }

    async fn changes(
        self: Rc<Self>,
        params: schema::peer::ChangesParams,
        mut results: schema::peer::ChangesResults,
    ) -> CapnpResult {
        let params = params.get()?;
        let request = ChangesRequest {
            after: Revision::new(params.get_after()),
            epoch: wire::read_epoch(params.get_epoch()),
            accepts_packed: params.get_takes_packed(),
            wants_retained: params.get_wants_retained(),
            accepts_gap: params.get_takes_gap(),
        };
        let Some(changes) = self.handler.changes(request).await else {
            return Err(Error::overloaded("hands on as much as the link bears".to_owned()));
        };
        wire::write_changes(&changes, results.get().init_changes());
        Ok(())
    }

    async fn push(
        self: Rc<Self>,
        params: schema::peer::PushParams,
        _results: schema::peer::PushResults,
    ) -> CapnpResult {
        let changes = wire::read_changes(params.get()?.get_changes()?)?;
        self.handler.push(&self.peer, changes).await;
        Ok(())
    }

    async fn handoff(
        self: Rc<Self>,
        params: schema::peer::HandoffParams,
        mut results: schema::peer::HandoffResults,
    ) -> CapnpResult {
        let params = params.get()?;
        let ledger = wire::read_ledger(params.get_ledger()?)?;
        let part = LedgerPart { index: params.get_index(), count: params.get_count(), ledger };
        let accepted = self.handler.handoff(&self.peer, part).await;
        results.get().set_accepted(accepted);
        Ok(())
    }
}
