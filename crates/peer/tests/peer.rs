//! Calls between a client and a server in one `LocalSet` over loopback TCP.
#![allow(clippy::unwrap_used)]

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use shallotfork_measure::{DemandReport, RateLimitReport, ServiceDemand};
use shallotfork_once::{
    ClaimAnswer, ClaimId, Completion, CompletionAnswer, HeaderField, Issuer, KeptAnswer,
    LedgerPart, OnceConfig, OperationId, Secret, Session,
};
use shallotfork_peer::{
    Bundle, Changes, ChangesRequest, Heartbeat, LoadHint, PeerClient, PeerConfig, PeerError,
    PeerHandler, PeerId, PeerKey, PeerServer, PeerState, PeerUpdate, PlatformReport, ValueChange,
    encode_values,
};
use shallotfork_quarantine::{CrashReport, QuarantineDigest, RequestFingerprint};
use shallotfork_statements::{ExclusionReport, LeavingReport, TargetRun};
use shallotfork_types::{
    Bytes, Endpoint, Epoch, IdempotencyKey, Incarnation, ListsDigest, Mono, PerSecond, Permille,
    Position, RequestRate, Revision, ServiceKey, TargetId, VmId,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

/// Handler that returns preset responses and records the calls it receives.
struct FakeHandler {
    answer: RefCell<ClaimAnswer>,
    /// Response to `changes`; `None` while the handler is busy.
    changes: Option<Changes>,
    session: Session,
    calls: RefCell<Vec<String>>,
    received_parts: RefCell<Vec<LedgerPart>>,
    rejected_handshakes: Cell<usize>,
    is_unresponsive: Cell<bool>,
}

impl FakeHandler {
    fn record(&self, call: String) {
        self.calls.borrow_mut().push(call);
    }

    fn answer(&self) -> ClaimAnswer {
        self.answer.borrow().clone()
    }
}

impl PeerHandler for FakeHandler {
    fn handshake_rejected(&self, _from: SocketAddr) {
        self.rejected_handshakes.set(self.rejected_handshakes.get() + 1);
    }

    async fn heartbeat(&self, from: &PeerId, heartbeat: Heartbeat) -> Heartbeat {
        self.record(format!("heartbeat {}", from.vm));
        heartbeat
    }

    async fn claim(&self, operation: OperationId, claim: ClaimId) -> ClaimAnswer {
        if self.is_unresponsive.get() {
            std::future::pending::<()>().await;
        }
        self.record(format!(
            "claim {} by {} {}",
            operation.key(),
            claim.executor(),
            claim.number()
        ));
        self.answer()
    }

    async fn complete(
        &self,
        operation: OperationId,
        claim: ClaimId,
        completion: Completion,
    ) -> CompletionAnswer {
        let kind = match completion {
            Completion::Ran(kept) => format!("ran {}", kept.status),
            other => format!("{other:?}"),
        };
        self.record(format!("complete {} by {}: {kind}", operation.key(), claim.executor()));
        CompletionAnswer::Recorded
    }

    async fn close(&self, operation: OperationId, claim: ClaimId) -> ClaimAnswer {
        self.record(format!("close {} by {}", operation.key(), claim.executor()));
        self.answer()
    }

    async fn lookup(&self, operation: OperationId) -> Option<ClaimAnswer> {
        (operation.key().as_str() == "held").then(|| self.answer())
    }

    async fn issue(&self) -> Option<Session> {
        Some(self.session.clone())
    }

    async fn changes(&self, request: ChangesRequest) -> Option<Changes> {
        self.record(format!("changes after {} of epoch {:?}", request.after, request.epoch));
        self.changes.clone()
    }

    async fn push(&self, from: &PeerId, changes: Changes) {
        self.record(format!("push from {} of {}", from.vm, changes.values.len()));
    }

    async fn handoff(&self, _from: &PeerId, part: LedgerPart) -> bool {
        self.received_parts.borrow_mut().push(part);
        true
    }
}

struct Setup {
    config: PeerConfig,
    handler: Rc<FakeHandler>,
    endpoint: Endpoint,
    server: tokio::task::JoinHandle<()>,
}

impl Setup {
    async fn new() -> Self {
        Self::with_config(PeerConfig::new()).await
    }

    async fn with_config(config: PeerConfig) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endpoint = Endpoint::new(listener.local_addr().unwrap());
        let handler = Rc::new(FakeHandler {
            answer: RefCell::new(ClaimAnswer::Granted),
            changes: Some(changes()),
            session: operation("k").session().clone(),
            calls: RefCell::default(),
            received_parts: RefCell::default(),
            rejected_handshakes: Cell::new(0),
            is_unresponsive: Cell::new(false),
        });
        let own_id = PeerId::new(VmId::new("server").unwrap(), Incarnation::new(1));
        let server_handler = Rc::clone(&handler);
        let server = PeerServer::new(listener, key(b'k'), own_id, config.clone(), server_handler);
        let server = tokio::task::spawn_local(server.serve());
        Self { config, handler, endpoint, server }
    }

    async fn connect(&self, key: &PeerKey) -> Result<PeerClient, PeerError> {
        PeerClient::connect(self.endpoint, key, &client_id(), &self.config).await
    }
}

fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn key(byte: u8) -> PeerKey {
    PeerKey::new(&[byte; 32]).unwrap()
}

fn client_id() -> PeerId {
    PeerId::new(VmId::new("client").unwrap(), Incarnation::new(2))
}

fn operation(key: &str) -> OperationId {
    let vm = VmId::new("server").unwrap();
    let secret = Secret::new([1; 32]);
    let mut issuer = Issuer::new(vm, Incarnation::new(1), secret, OnceConfig::new());
    OperationId::new(issuer.issue(Mono::ZERO), IdempotencyKey::new(key).unwrap())
}

fn position(revision: u64) -> Position {
    Position::new(Epoch::new(2), Revision::new(revision))
}

fn changes() -> Changes {
    let value = ValueChange {
        name: "rules".to_owned(),
        position: position(7),
        content: b"[default]".to_vec(),
        unpacked_size: Some(Bytes::new(400)),
        removed: false,
    };
    let retained = ValueChange { removed: true, ..value.clone() };
    let bundle = Bundle {
        content: encode_values(std::slice::from_ref(&value)),
        unpacked_size: Bytes::new(900),
    };
    Changes {
        revision: Revision::new(8),
        epoch: Some(Epoch::new(2)),
        values: vec![value],
        is_snapshot: true,
        has_gap: true,
        bundle: Some(bundle),
        retained: vec![retained],
        settles_in: Some(Duration::from_millis(2300)),
        seen_from: Some(Revision::new(5)),
    }
}

fn kept_answer() -> Arc<KeptAnswer> {
    let header = HeaderField { name: "x".to_owned(), value: vec![0xff, 0x00] };
    Arc::new(KeptAnswer { status: 201, headers: vec![header], body: b"order 1".to_vec() })
}

fn peer_update() -> PeerUpdate {
    PeerUpdate {
        peer: PeerId::new(VmId::new("vm-9").unwrap(), Incarnation::new(9)),
        round: 2,
        isolated: true,
        load_level: 17,
        state: PeerState::Live,
        suspected: true,
        failure_domain: "coolgardie".parse().unwrap(),
        callers: "127.0.0.1:9080".parse().unwrap(),
        peers: "127.0.0.1:9081".parse().unwrap(),
        capacity: PerSecond::new(900),
    }
}

fn crash_report(answered_ago: Option<Duration>) -> CrashReport {
    CrashReport {
        fingerprint: RequestFingerprint::new(5),
        crashes: 2,
        crashed_ago: Duration::from_millis(40),
        answered_ago,
    }
}

fn rate_limit(limit: Option<RequestRate>) -> RateLimitReport {
    let target = TargetId::new("t2").unwrap();
    RateLimitReport { target, limit, answered_ago: Duration::from_millis(30) }
}

fn leaving_target(started_at_ms: Option<u64>) -> LeavingReport {
    let run = TargetRun::new(TargetId::new("t3").unwrap(), started_at_ms);
    LeavingReport { run, answered_ago: Duration::from_millis(25) }
}

fn exclusion(started_at_ms: Option<u64>) -> ExclusionReport {
    let run = TargetRun::new(TargetId::new("t4").unwrap(), started_at_ms);
    ExclusionReport { run, remaining: Duration::from_millis(9_000), exclusions: 2 }
}

fn demand_report() -> DemandReport {
    let demand = |service, milli_per_s| ServiceDemand {
        service: ServiceKey::new(service),
        rate: RequestRate::from_milli_per_s(milli_per_s),
    };
    DemandReport {
        vm: VmId::new("vm-4").unwrap(),
        incarnation: Incarnation::new(6),
        sequence: 8,
        issued_ago: Duration::from_millis(120),
        services: vec![demand(u64::MAX, 31_250), demand(3, 10)],
        is_complete: true,
    }
}

fn heartbeat() -> Heartbeat {
    let target = TargetId::new("t1").unwrap();
    Heartbeat {
        state: PeerState::Leaving,
        failure_domain: "boulder".parse().unwrap(),
        callers: "127.0.0.1:8080".parse().unwrap(),
        peers: "127.0.0.1:8081".parse().unwrap(),
        round: 3,
        isolated: true,
        load_level: 17,
        updates: vec![peer_update()],
        seen_revision: Revision::new(9),
        synced_revision: Revision::new(8),
        synced_epoch: Some(Epoch::new(2)),
        retained_digest: ListsDigest::new(13),
        lists_digest: ListsDigest::new(7),
        loads_digest: Some(ListsDigest::new(19)),
        is_disconnected: true,
        platform: PlatformReport {
            last_answer: Some(Duration::from_millis(70)),
            reader_last_seen: Some(Duration::ZERO),
            outage: None,
        },
        domain_entries: 12,
        is_overloaded: true,
        crash_reports: vec![crash_report(Some(Duration::from_millis(20))), crash_report(None)],
        quarantine_digest: QuarantineDigest::new(11),
        rate_limits: vec![
            rate_limit(Some(RequestRate::from_milli_per_s(1_500))),
            rate_limit(Some(RequestRate::ZERO)),
            rate_limit(None),
        ],
        leaving_targets: vec![leaving_target(Some(17)), leaving_target(None)],
        exclusions: vec![exclusion(Some(18)), exclusion(None)],
        restart_safe: true,
        loads: vec![LoadHint { target, load: Permille::new(1200), age_ms: 40 }],
        capacity: PerSecond::new(700),
        demands: vec![demand_report()],
    }
}

#[test]
fn calls_round_trip_messages() {
    run_local(async {
        let setup = Setup::new().await;
        let client = setup.connect(&key(b'k')).await.unwrap();
        assert_eq!("server", client.peer().vm.as_str());
        assert_eq!(heartbeat(), client.heartbeat(&heartbeat()).await.unwrap());
        assert_eq!(changes(), client.changes(&ChangesRequest::new(position(6))).await.unwrap());
        client.push(&changes()).await.unwrap();
        assert_eq!(Some(setup.handler.session.clone()), client.issue().await.unwrap());
        let completions = [
            Completion::Ran(kept_answer()),
            Completion::RanUnkept,
            Completion::NotRun,
            Completion::MayHaveRun,
        ];
        for completion in completions {
            let actual = client.complete(&operation("k"), 3, &completion).await.unwrap();
            assert_eq!(CompletionAnswer::Recorded, actual);
        }
        insta::assert_snapshot!(setup.handler.calls.borrow().join("\n"));
    });
}

/// Guards against a heartbeat of an older release, which has no demands, that is not understood or
/// that reports a demand of zero.
#[test]
fn heartbeat_without_demands_reports_none() {
    run_local(async {
        let setup = Setup::new().await;
        let client = setup.connect(&key(b'k')).await.unwrap();
        let older = Heartbeat { demands: Vec::new(), ..heartbeat() };
        assert_eq!(older, client.heartbeat(&older).await.unwrap());
    });
}

/// Guards against demand reports that are larger than their size limit assumes.
#[test]
fn demand_reports_take_the_bytes_that_are_counted() {
    run_local(async {
        let setup = Setup::new().await;
        let client = setup.connect(&key(b'k')).await.unwrap();
        let mut bytes = Vec::new();
        let report = demand_report();
        for demands in [Vec::new(), vec![report.clone(); 5]] {
            client.take_transferred_bytes();
            client.heartbeat(&Heartbeat { demands, ..heartbeat() }).await.unwrap();
            bytes.push(client.take_transferred_bytes());
        }
        // The server answers with what it has received.
        let counted = 2 * 5 * u64::try_from(report.encoded_bytes()).unwrap();
        let added = bytes[1] - bytes[0];
        assert!(added <= counted && added * 5 >= counted * 4, "{added} of {counted}");
    });
}

#[test]
fn claim_answers_round_trip() {
    run_local(async {
        let setup = Setup::new().await;
        let client = setup.connect(&key(b'k')).await.unwrap();
        let answers = [
            ClaimAnswer::Granted,
            ClaimAnswer::InProgress,
            ClaimAnswer::Kept(kept_answer()),
            ClaimAnswer::Ran,
            ClaimAnswer::NotRun,
            ClaimAnswer::MayHaveRun,
            ClaimAnswer::Full { retry_after: Duration::from_millis(1500) },
            ClaimAnswer::BadSession,
        ];
        for expected in answers {
            setup.handler.answer.replace(expected.clone());
            assert_eq!(expected, client.claim(&operation("k"), 1).await.unwrap());
            assert_eq!(expected, client.close(&operation("k"), 1).await.unwrap());
            assert_eq!(Some(expected), client.lookup(&operation("held")).await.unwrap());
        }
        assert_eq!(None, client.lookup(&operation("other")).await.unwrap());
    });
}

#[test]
fn handoff_transfers_ledger_in_parts() {
    run_local(async {
        let setup = Setup::new().await;
        let client = setup.connect(&key(b'k')).await.unwrap();
        let vm = VmId::new("departed").unwrap();
        let mut issuer =
            Issuer::new(vm, Incarnation::new(2), Secret::new([1; 32]), OnceConfig::new());
        let session = issuer.issue(Mono::ZERO);
        let completions = [
            ("kept", Completion::Ran(kept_answer())),
            ("ran", Completion::RanUnkept),
            ("not-run", Completion::NotRun),
            ("may-have-run", Completion::MayHaveRun),
        ];
        for (name, completion) in completions {
            let id = OperationId::new(session.clone(), IdempotencyKey::new(name).unwrap());
            let claim = ClaimId::new(VmId::new("client").unwrap(), Incarnation::new(2), 1);
            issuer.claim(&id, &claim, Mono::ZERO);
            issuer.complete(&id, &claim, completion, Mono::ZERO);
        }
        let parts = issuer.drain(Mono::ZERO).seal(Mono::ZERO).into_parts(Bytes::new(1));
        for part in &parts {
            assert!(client.handoff(part).await.unwrap());
        }
        assert_eq!(4, parts.len());
        assert_eq!(parts, *setup.handler.received_parts.borrow());
    });
}

/// Guards against a VM of another system, or any other client on the network, that connects to the
/// peer port. Without the shared key it must reach no function, and neither side may accept the
/// other as a peer.
#[test]
fn wrong_key_is_rejected() {
    run_local(async {
        let setup = Setup::new().await;
        let actual = setup.connect(&key(b'x')).await.unwrap_err();
        assert_eq!(PeerError::Refused, actual);
        assert!(setup.handler.calls.borrow().is_empty());
        setup.connect(&key(b'k')).await.unwrap();
    });
}

/// A peer may be paused or cut off after it received a claim. The claiming entry must get an error
/// quickly, because its caller is waiting.
#[test]
fn unresponsive_peer_times_out_and_lost_peer_is_unreachable() {
    run_local(async {
        let call_timeout = Duration::from_millis(50);
        let setup = Setup::with_config(PeerConfig { call_timeout, ..PeerConfig::new() }).await;
        let client = setup.connect(&key(b'k')).await.unwrap();
        setup.handler.is_unresponsive.set(true);
        let actual = client.claim(&operation("k"), 1).await.unwrap_err();
        assert_eq!(PeerError::TimedOut, actual);
        setup.server.abort();
        let actual = client.heartbeat(&heartbeat()).await.unwrap_err();
        assert!(matches!(actual, PeerError::Unreachable(_)), "{actual:?}");
        assert!(client.is_closed());
        let actual = setup.connect(&key(b'k')).await.unwrap_err();
        assert!(matches!(actual, PeerError::Unreachable(_)), "{actual:?}");
    });
}

/// Clients without the key open connections and stay idle, or send garbage or a huge message. The
/// server must close each of them, and a peer must still be able to connect.
#[test]
fn unauthenticated_connections_are_closed() {
    run_local(async {
        let config = PeerConfig {
            handshake_timeout: Duration::from_millis(200),
            connections_max: 4,
            unauthenticated_max: Bytes::new(1024),
            ..PeerConfig::new()
        };
        let setup = Setup::with_config(config).await;
        let huge_message = [&[0, 0, 0, 0, 0, 0, 1, 0][..], &[0; 4096]].concat();
        for payload in
            [Vec::new(), vec![0xff; 64], b"GET / HTTP/1.1\r\n\r\n".to_vec(), huge_message]
        {
            let mut stream = TcpStream::connect(setup.endpoint.address()).await.unwrap();
            stream.write_all(&payload).await.unwrap();
            let mut answer = Vec::new();
            let end = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut answer));
            assert!(end.await.is_ok(), "not closed after {} bytes", payload.len());
        }
        setup.connect(&key(b'k')).await.unwrap();
        assert!(setup.handler.calls.borrow().is_empty());
    });
}

#[test]
fn connections_are_bounded() {
    run_local(async {
        let setup =
            Setup::with_config(PeerConfig { connections_max: 1, ..PeerConfig::new() }).await;
        let first = setup.connect(&key(b'k')).await.unwrap();
        let actual = setup.connect(&key(b'k')).await.unwrap_err();
        assert!(matches!(actual, PeerError::Unreachable(_)), "{actual:?}");
        first.heartbeat(&heartbeat()).await.unwrap();
    });
}

#[test]
fn short_key_is_rejected() {
    assert!(PeerKey::new(b"0123456789abcde\n").is_err());
    assert!(PeerKey::new(b"0123456789abcdef\n").is_ok());
}
