//! Measures the cost of heartbeats and claims: bytes on the wire and CPU time of both ends.
//!
//! Run it with `cargo run --release -p shallotfork-peer --example peer_cost`. Client and server run
//! in this process, so the CPU time is the sum of both; the server uses the production ledger.
//! Bytes are TCP payload, counted in a separate run by a relay between client and server.

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

type BenchResult<T> = Result<T, Box<dyn Error>>;

const DIRECT_CALLS: u64 = 20_000;
const RELAYED_CALLS: u64 = 200;
const KEY: [u8; 32] = [1; 32];

struct Entry {
    issuer: RefCell<Issuer<Open>>,
}

impl PeerHandler for Entry {
    fn handshake_rejected(&self, _from: SocketAddr) {}

    async fn heartbeat(&self, _from: &PeerId, heartbeat: Heartbeat) -> Heartbeat {
        heartbeat
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

    async fn changes(&self, request: ChangesRequest) -> Option<Changes> {
        Some(Changes {
            revision: request.after,
            epoch: request.epoch,
            values: Vec::new(),
            is_snapshot: false,
            has_gap: false,
            bundle: None,
            retained: Vec::new(),
            settles_in: None,
            seen_from: None,
        })
    }

    async fn push(&self, _from: &PeerId, _changes: Changes) {}

    async fn handoff(&self, _from: &PeerId, _part: LedgerPart) -> bool {
        true
    }
}

fn main() -> BenchResult<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, measure())
}

async fn measure() -> BenchResult<()> {
    let server = serve().await?;
    let relayed_bytes = Rc::new(Cell::new(0));
    let relay = relay(server, Rc::clone(&relayed_bytes)).await?;

    let relayed = connect(relay).await?;
    println!("handshake: {} B in both directions", relayed_bytes.get());
    for call in [Call::Heartbeat, Call::Claim, Call::Complete] {
        let bytes_before = relayed_bytes.get();
        repeat_call(&relayed, call, RELAYED_CALLS).await?;
        let bytes_per_call = (relayed_bytes.get() - bytes_before) / RELAYED_CALLS;
        println!("{call:?}: {bytes_per_call} B per call in both directions");
    }

    let direct = connect(server).await?;
    for call in [Call::Heartbeat, Call::Claim, Call::Complete] {
        repeat_call(&direct, call, DIRECT_CALLS / 10).await?;
        let (cpu_before, started_at) = (process_cpu_time(), Instant::now());
        repeat_call(&direct, call, DIRECT_CALLS).await?;
        let cpu_us = (process_cpu_time() - cpu_before).as_secs_f64() * 1e6 / DIRECT_CALLS as f64;
        let wall_us = started_at.elapsed().as_secs_f64() * 1e6 / DIRECT_CALLS as f64;
        println!("{call:?}: {cpu_us:.1} us CPU time of both ends, {wall_us:.1} us per call");
    }
    Ok(())
}

#[derive(Debug, Clone, Copy)]
enum Call {
    Heartbeat,
    Claim,
    Complete,
}

async fn repeat_call(client: &PeerClient, call: Call, count: u64) -> BenchResult<()> {
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

fn heartbeat() -> BenchResult<Heartbeat> {
    Ok(Heartbeat {
        state: PeerState::Live,
        failure_domain: FailureDomain::new("kalgoorlie")?,
        callers: "10.0.0.1:8080".parse()?,
        peers: "10.0.0.1:8081".parse()?,
        seen_revision: Revision::new(9),
        synced_revision: Revision::new(9),
        synced_epoch: None,
        retained_digest: ListsDigest::default(),
        round: 0,
        isolated: false,
        load_level: 0,
        updates: Vec::new(),
        lists_digest: ListsDigest::new(9),
        loads_digest: None,
        is_disconnected: false,
        platform: PlatformReport::default(),
        domain_entries: 0,
        crash_reports: Vec::new(),
        rate_limits: Vec::new(),
        leaving_targets: Vec::new(),
        exclusions: Vec::new(),
        quarantine_digest: Default::default(),
        is_overloaded: false,
        restart_safe: false,
        loads: Vec::new(),
        capacity: PerSecond::default(),
        demands: Vec::new(),
    })
}

async fn serve() -> BenchResult<Endpoint> {
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

async fn connect(endpoint: Endpoint) -> BenchResult<PeerClient> {
    let id = PeerId::new(VmId::new("kalgoorlie-4")?, Incarnation::new(2));
    Ok(PeerClient::connect(endpoint, &PeerKey::new(&KEY)?, &id, &PeerConfig::new()).await?)
}

/// Relays one connection and counts the bytes of both directions.
async fn relay(to: Endpoint, relayed_bytes: Rc<Cell<u64>>) -> BenchResult<Endpoint> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let endpoint = Endpoint::new(listener.local_addr()?);
    tokio::task::spawn_local(async move {
        let (client, _) = listener.accept().await?;
        let server = TcpStream::connect(to.address()).await?;
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let to_server = copy_counted(client_read, server_write, Rc::clone(&relayed_bytes));
        let to_client = copy_counted(server_read, client_write, relayed_bytes);
        tokio::try_join!(to_server, to_client)
    });
    Ok(endpoint)
}

async fn copy_counted(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    relayed_bytes: Rc<Cell<u64>>,
) -> std::io::Result<()> {
    let mut buffer = [0; 4096];
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        relayed_bytes.set(relayed_bytes.get() + count as u64);
        to.write_all(&buffer[..count]).await?;
    }
}

fn process_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
