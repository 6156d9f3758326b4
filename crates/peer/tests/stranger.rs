//! A stranger that speaks the protocol but does not have the key.
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

/// No function may be reached.
#[derive(Default)]
struct Closed {
    refused: Cell<usize>,
}

impl PeerHandler for Closed {
    fn handshake_rejected(&self, _from: SocketAddr) {
        self.refused.set(self.refused.get() + 1);
    }

    async fn heartbeat(&self, _from: &PeerId, _beat: Heartbeat) -> Heartbeat {
        unreachable!("heartbeat by a stranger")
    }

    async fn claim(&self, _operation: OperationId, _claim: ClaimId) -> ClaimAnswer {
        unreachable!("claim by a stranger")
    }

    async fn complete(
        &self,
        _operation: OperationId,
        _claim: ClaimId,
        _completion: Completion,
    ) -> CompletionAnswer {
        unreachable!("completion by a stranger")
    }

    async fn close(&self, _operation: OperationId, _claim: ClaimId) -> ClaimAnswer {
        unreachable!("close by a stranger")
    }

    async fn lookup(&self, _operation: OperationId) -> Option<ClaimAnswer> {
        unreachable!("lookup by a stranger")
    }

    async fn issue(&self) -> Option<Session> {
        unreachable!("issue to a stranger")
    }

    async fn changes(&self, _asked: ChangesRequest) -> Option<Changes> {
        unreachable!("changes to a stranger")
    }

    async fn push(&self, _from: &PeerId, _changes: Changes) {
        unreachable!("push by a stranger")
    }

    async fn handoff(&self, _from: &PeerId, _part: LedgerPart) -> bool {
        unreachable!("handoff by a stranger")
    }
}

/// A stranger skips checking the server and answers its challenge without the key: by rubbish, or
/// by sending the server's own proof back. Neither may give it a function to call.
#[test]
fn a_proof_made_without_the_key_gives_no_function() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let handler = Rc::new(Closed::default());
        let key = PeerKey::new(&[1; 32]).unwrap();
        let own = PeerId::new(VmId::new("server").unwrap(), Incarnation::new(1));
        let server = PeerServer::new(listener, key, own, PeerConfig::new(), Rc::clone(&handler));
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
        let own_proof = results.get_proof().unwrap();
        for proof in [&[][..], &[0; 32], own_proof] {
            let mut request = results.get_handshake().unwrap().prove_request();
            request.get().set_proof(proof);
            let response = request.send().promise.await.unwrap();
            assert!(!response.get().unwrap().has_peer());
        }
        assert_eq!(3, handler.refused.get());
    });
}
