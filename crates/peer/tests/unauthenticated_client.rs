//! Client that speaks the protocol but does not have the shared key.
#![allow(clippy::unwrap_used)]

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::AsyncReadExt as _;
use shallotfork_once::{
    ClaimAnswer, ClaimId, Completion, CompletionAnswer, LedgerPart, OperationId, Session,
};
use shallotfork_peer::{
    Changes, ChangesRequest, Heartbeat, PeerConfig, PeerHandler, PeerId, PeerKey, PeerServer,
};
use shallotfork_types::{Incarnation, VmId};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::TokioAsyncReadCompatExt as _;

#[rustfmt::skip]
#[allow(dead_code, clippy::all, clippy::unwrap_used)]
#[path = "../src/peer_capnp.rs"]
mod peer_capnp;

/// Handler whose functions must not be reached.
#[derive(Default)]
struct UnreachableHandler {
    rejected_handshakes: Cell<usize>,
}

impl PeerHandler for UnreachableHandler {
    fn handshake_rejected(&self, _from: SocketAddr) {
        self.rejected_handshakes.set(self.rejected_handshakes.get() + 1);
    }

    async fn heartbeat(&self, _from: &PeerId, _heartbeat: Heartbeat) -> Heartbeat {
        unreachable!("heartbeat from an unauthenticated client")
    }

    async fn claim(&self, _operation: OperationId, _claim: ClaimId) -> ClaimAnswer {
        unreachable!("claim from an unauthenticated client")
    }

    async fn complete(
        &self,
        _operation: OperationId,
        _claim: ClaimId,
        _completion: Completion,
    ) -> CompletionAnswer {
        unreachable!("completion from an unauthenticated client")
    }

    async fn close(&self, _operation: OperationId, _claim: ClaimId) -> ClaimAnswer {
        unreachable!("close from an unauthenticated client")
    }

    async fn lookup(&self, _operation: OperationId) -> Option<ClaimAnswer> {
        unreachable!("lookup from an unauthenticated client")
    }

    async fn issue(&self) -> Option<Session> {
        unreachable!("issue to an unauthenticated client")
    }

    async fn changes(&self, _request: ChangesRequest) -> Option<Changes> {
        unreachable!("changes to an unauthenticated client")
    }

    async fn push(&self, _from: &PeerId, _changes: Changes) {
        unreachable!("push from an unauthenticated client")
    }

    async fn handoff(&self, _from: &PeerId, _part: LedgerPart) -> bool {
        unreachable!("handoff from an unauthenticated client")
    }
}

/// Guards against a client without the key that skips the check of the server's proof and sends an
/// invalid proof, or reflects the server's own. Neither may grant it the peer capability.
#[test]
fn invalid_proof_grants_no_capability() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let handler = Rc::new(UnreachableHandler::default());
        let key = PeerKey::new(&[1; 32]).unwrap();
        let own_id = PeerId::new(VmId::new("server").unwrap(), Incarnation::new(1));
        let server = PeerServer::new(listener, key, own_id, PeerConfig::new(), Rc::clone(&handler));
        tokio::task::spawn_local(server.serve());

        let stream = TcpStream::connect(address).await.unwrap();
        let (reader, writer) = stream.compat().split();
        let network = twoparty::VatNetwork::new(reader, writer, Side::Client, Default::default());
        let mut rpc = RpcSystem::new(Box::new(network), None);
        let bootstrap: peer_capnp::bootstrap::Client = rpc.bootstrap(Side::Server);
        tokio::task::spawn_local(rpc);
        let mut request = bootstrap.challenge_request();
        request.get().set_nonce(&[0; 32]);
        request.get().set_vm("stranger");
        let response = request.send().promise.await.unwrap();
        let results = response.get().unwrap();
        let server_proof = results.get_proof().unwrap();
        for proof in [&[][..], &[0; 32], server_proof] {
            let mut request = results.get_handshake().unwrap().prove_request();
            request.get().set_proof(proof);
            let response = request.send().promise.await.unwrap();
            assert!(!response.get().unwrap().has_peer());
        }
        assert_eq!(3, handler.rejected_handshakes.get());
    });
}
