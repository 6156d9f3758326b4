//! Prints what heartbeats and claims cost: bytes on the wire and processor time of both ends.
//!
//! `cargo run --release -p shallotfork-peer --example peer_cost`. Both ends run in this process, so the
//! processor time is the sum of client and server; the ledger behind them is the real one. Bytes
//! are TCP payload, counted by a relay between the two in a run of its own.

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};
use shallotfork_once::{
    ClaimAnswer, ClaimId, Completion, CompletionAnswer, Issuer, KeptAnswer, LedgerPart, OnceConfig,
    Open, OperationId, Secret, Session,
};
use shallotfork_peer::{
    Changes, ChangesRequest, Heartbeat, PeerClient, PeerConfig, PeerHandler, PeerId, PeerKey,
    PeerServer, PeerState, PlatformReport,
};
use shallotfork_types::{
    Endpoint, FailureDomain, IdempotencyKey, Incarnation, ListsDigest, Mono, PerSecond, Revision,
    VmId,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

type Outcome<T> = Result<T, Box<dyn Error>>;

const CALLS: u64 = 20_000;
const RELAYED_CALLS: u64 = 200;
const KEY: [u8; 32] = [1; 32];

struct Entry {
    issuer: RefCell<Issuer<Open>>,
}

impl PeerHandler for Entry {
    fn handshake_rejected(&self, _from: SocketAddr) {}

    async fn heartbeat(&self, _from: &PeerId, beat: Heartbeat) -> Heartbeat {
        beat
    }

    async fn claim(&self, operation: OperationId, claim: ClaimId) -> ClaimAnswer {
        self.issuer.borrow_mut().claim(&operation, &claim, Mono::ZERO)
    }

    async fn complete(
        &self,
        operation: OperationId,
        claim: ClaimId,
        completion: Completion,
    ) -> CompletionAnswer {
        self.issuer.borrow_mut().complete(&operation, &claim, completion, Mono::ZERO)
    }

    async fn close(&self, operation: OperationId, claim: ClaimId) -> ClaimAnswer {
        self.issuer.borrow_mut().close(&operation, &claim, Mono::ZERO)
    }

    async fn lookup(&self, _operation: OperationId) -> Option<ClaimAnswer> {
        None
    }

    async fn issue(&self) -> Option<Session> {
        Some(self.issuer.borrow_mut().issue(Mono::ZERO))
    }

    async fn changes(&self, asked: ChangesRequest) -> Option<Changes> {
        Some(Changes {
            revision: asked.after,
            values: Vec::new(),
            is_snapshot: false,
            bundle: None,
        })
    }

    async fn push(&self, _from: &PeerId, _changes: Changes) {}

    async fn handoff(&self, _from: &PeerId, _part: LedgerPart) -> bool {
        true
    }
}

fn main() -> Outcome<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, measure())
}

async fn measure() -> Outcome<()> {
    let server = serve().await?;
    let passed_bytes = Rc::new(Cell::new(0));
    let relay = relay(server, Rc::clone(&passed_bytes)).await?;

    let relayed = connect(relay).await?;
    println!("handshake: {} B, both directions together", passed_bytes.get());
    for call in [Call::Heartbeat, Call::Claim, Call::Complete] {
        let before = passed_bytes.get();
        repeat(&relayed, call, RELAYED_CALLS).await?;
        let each = (passed_bytes.get() - before) / RELAYED_CALLS;
        println!("{call:?}: {each} B a call, both directions together");
    }

    let direct = connect(server).await?;
    for call in [Call::Heartbeat, Call::Claim, Call::Complete] {
        repeat(&direct, call, CALLS / 10).await?;
        let (cpu, wall) = (processor_time(), Instant::now());
        repeat(&direct, call, CALLS).await?;
        let cpu_us = (processor_time() - cpu).as_secs_f64() * 1e6 / CALLS as f64;
        let wall_us = wall.elapsed().as_secs_f64() * 1e6 / CALLS as f64;
        println!("{call:?}: {cpu_us:.1} us processor time of both ends, {wall_us:.1} us a call");
    }
    Ok(())
}

#[derive(Debug, Clone, Copy)]
enum Call {
    Heartbeat,
    Claim,
    Complete,
}

async fn repeat(client: &PeerClient, call: Call, count: u64) -> Outcome<()> {
    let session = client.issue().await?.ok_or("no session")?;
    for number in 0..count {
        let key = IdempotencyKey::new(&format!("order-{call:?}-{number:012}"))?;
        let operation = OperationId::new(session.clone(), key);
        match call {
            Call::Heartbeat => drop(client.heartbeat(&heartbeat()?).await?),
            Call::Claim => drop(client.claim(&operation, number).await?),
            Call::Complete => {
                let body = vec![b'x'; 256];
                let kept = KeptAnswer { status: 201, headers: Vec::new(), body };
                let completion = Completion::Ran(Arc::new(kept));
                client.complete(&operation, number, &completion).await?;
            }
        }
    }
    Ok(())
}

fn heartbeat() -> Outcome<Heartbeat> {
    Ok(Heartbeat {
        state: PeerState::Live,
        failure_domain: FailureDomain::new("kalgoorlie")?,
        callers: "10.0.0.1:8080".parse()?,
        peers: "10.0.0.1:8081".parse()?,
        seen_revision: Revision::new(9),
        synced_revision: Revision::new(9),
        round: 0,
        updates: Vec::new(),
        lists_digest: ListsDigest::new(9),
        is_disconnected: false,
        platform: PlatformReport::default(),
        domain_entries: 0,
        crash_reports: Vec::new(),
        rate_limits: Vec::new(),
        quarantine_digest: Default::default(),
        is_overloaded: false,
        restart_safe: false,
        loads: Vec::new(),
        capacity: PerSecond::default(),
    })
}

async fn serve() -> Outcome<Endpoint> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let endpoint = Endpoint::new(listener.local_addr()?);
    let config = OnceConfig {
        operations_max: 1_000_000,
        operations_per_session_max: 1_000_000,
        ..OnceConfig::new()
    };
    let id = PeerId::new(VmId::new("kalgoorlie-3")?, Incarnation::new(1));
    let issuer = Issuer::new(id.vm.clone(), id.incarnation, Secret::new(KEY), config);
    let entry = Rc::new(Entry { issuer: RefCell::new(issuer) });
    let server = PeerServer::new(listener, PeerKey::new(&KEY)?, id, PeerConfig::new(), entry);
    tokio::task::spawn_local(server.serve());
    Ok(endpoint)
}

async fn connect(endpoint: Endpoint) -> Outcome<PeerClient> {
    let id = PeerId::new(VmId::new("kalgoorlie-4")?, Incarnation::new(2));
    Ok(PeerClient::connect(endpoint, &PeerKey::new(&KEY)?, &id, &PeerConfig::new()).await?)
}

/// Passes one connection on and counts the bytes of both directions.
async fn relay(to: Endpoint, passed_bytes: Rc<Cell<u64>>) -> Outcome<Endpoint> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let endpoint = Endpoint::new(listener.local_addr()?);
    tokio::task::spawn_local(async move {
        let (client, _) = listener.accept().await?;
        let server = TcpStream::connect(to.address()).await?;
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let there = pass(client_read, server_write, Rc::clone(&passed_bytes));
        let back = pass(server_read, client_write, passed_bytes);
        tokio::try_join!(there, back)
    });
    Ok(endpoint)
}

async fn pass(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    passed_bytes: Rc<Cell<u64>>,
) -> std::io::Result<()> {
    let mut buffer = [0; 4096];
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        passed_bytes.set(passed_bytes.get() + count as u64);
        to.write_all(&buffer[..count]).await?;
    }
}

fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
