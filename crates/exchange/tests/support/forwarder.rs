//! A served port that forwards requests to one target, with reports on how its answers were written.

#![allow(dead_code, missing_docs, reason = "each test file uses its part")]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures::future::BoxFuture;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::Full;
use poem::{Endpoint, Response};
use shallotfork_exchange::{
    AnswerMatch, AnswerTransfer, BodyBudget, BodyLimits, ConnectionConfig, ConnectionPurpose,
    ServeConfig, ServeControl, ServedConnections, ServedLimits, TargetConnections, TargetRequest,
    TransferEnd, TransferReport, WritePacer, read_request, serve,
};
use shallotfork_types::{Bytes, Endpoint as Address, TargetId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;

use crate::support::RawTarget;

/// Long enough that no test reaches it on a slow machine.
pub const WAIT_MAX: Duration = Duration::from_secs(30);
pub const SMALL_BUFFER_BYTES: u32 = 16 * 1024;
pub const CHUNK_BYTES: usize = 16 * 1024;

/// How the port writes its answers.
#[derive(Debug, Clone)]
pub enum Writing {
    /// As without a transfer.
    Plain,
    Unpaced,
    Recorded(Arc<TestPacer>),
    Paced(Arc<TestPacer>),
}

impl Writing {
    pub fn paced() -> Self {
        Self::Paced(Arc::new(TestPacer::unlimited()))
    }

    fn transfer(&self, reports: &Reports) -> Option<AnswerTransfer> {
        let transfer = AnswerTransfer::new();
        let transfer = match self {
            Self::Plain => return None,
            Self::Unpaced => transfer,
            Self::Recorded(pacer) => transfer.with_recorder(Arc::clone(pacer) as _),
            Self::Paced(pacer) => transfer.with_pacer(Arc::clone(pacer) as _),
        };
        let reports = Arc::clone(reports);
        Some(transfer.with_on_end(move |report| reports.lock().expect("lock").push(report)))
    }
}

/// Admits as many chunks as it has permits, and counts bytes.
#[derive(Debug)]
pub struct TestPacer {
    pub chunks: Semaphore,
    pub requested_bytes: AtomicUsize,
    pub unpaced_bytes: AtomicUsize,
}

impl TestPacer {
    pub fn new(chunks: usize) -> Self {
        Self {
            chunks: Semaphore::new(chunks),
            requested_bytes: AtomicUsize::new(0),
            unpaced_bytes: AtomicUsize::new(0),
        }
    }

    pub fn unlimited() -> Self {
        Self::new(1_000_000)
    }

    pub fn requested_bytes(&self) -> usize {
        self.requested_bytes.load(Ordering::SeqCst)
    }

    pub fn unpaced_bytes(&self) -> usize {
        self.unpaced_bytes.load(Ordering::SeqCst)
    }
}

impl WritePacer for TestPacer {
    fn acquire(&self, size_bytes: usize) -> BoxFuture<'_, ()> {
        self.requested_bytes.fetch_add(size_bytes, Ordering::SeqCst);
        Box::pin(async { self.chunks.acquire().await.expect("open").forget() })
    }

    fn record_unpaced(&self, size_bytes: usize) {
        self.unpaced_bytes.fetch_add(size_bytes, Ordering::SeqCst);
    }
}

type Reports = Arc<Mutex<Vec<TransferReport>>>;

struct ForwardingEndpoint {
    target: SocketAddr,
    connections: TargetConnections,
    budget: BodyBudget,
    writing: Writing,
    reports: Reports,
}

impl Endpoint for ForwardingEndpoint {
    type Output = Response;

    async fn call(&self, request: poem::Request) -> poem::Result<Response> {
        let limits = BodyLimits { body_max: Bytes::from_mib(64), body_timeout: WAIT_MAX };
        let request = match read_request(request, &limits, &self.budget).await {
            Ok(request) => request,
            Err(rejection) => return Ok(rejection.problem().into_response()),
        };
        let mut forwarded = Request::new(Full::new(request.body));
        *forwarded.method_mut() = request.method;
        *forwarded.uri_mut() = request.path_and_query.into();
        *forwarded.headers_mut() = request.headers;
        let to_target = TargetRequest {
            target: &TargetId::new("mill").expect("name"),
            endpoint: Address::new(self.target),
            request: forwarded,
            timeout: WAIT_MAX,
            expected_size: Bytes::default(),
            repeatable: true,
            answer_match: &|_: StatusCode, _: &HeaderMap| AnswerMatch::Match,
            purpose: ConnectionPurpose::Request,
            on_opened: &|| {},
        };
        let answer = self.connections.send(to_target).await.expect("an answer of the target");
        Ok(match self.writing.transfer(&self.reports) {
            Some(transfer) => answer.into_transferred_response(&Method::GET, transfer),
            None => answer.into_response(&Method::GET),
        })
    }
}

/// A target that answers `GET /SIZE` with a body of that size.
pub struct SizedTarget {
    pub raw: RawTarget,
    /// Number of answers that were written to the last byte.
    pub written: Arc<AtomicUsize>,
}

impl SizedTarget {
    pub async fn start() -> Self {
        let written = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&written);
        let raw = RawTarget::start(move |_, mut connection| {
            let counted = Arc::clone(&counted);
            async move {
                while let Some(head) = connection.request().await {
                    let path = head.split(' ').nth(1).expect("a path");
                    let size: usize = path.trim_start_matches('/').parse().expect("a size");
                    let mut answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n");
                    answer.push_str(&body(size));
                    connection.stream.write_all(answer.as_bytes()).await.expect("written");
                    counted.fetch_add(1, Ordering::SeqCst);
                }
            }
        })
        .await;
        Self { raw, written }
    }
}

/// Returns a body of which no two chunks are alike.
pub fn body(size: usize) -> String {
    (0..size.div_ceil(8)).map(|number| format!("{number:08}")).collect::<String>()[..size].into()
}

/// Settings of a [`Forwarder`].
pub struct ForwarderConfig {
    pub serve: ServeConfig,
    pub budget: Bytes,
    pub connections: ServedConnections,
    pub writing: Writing,
}

impl ForwarderConfig {
    pub fn new(writing: Writing) -> Self {
        let send_buffer = Bytes::new(SMALL_BUFFER_BYTES.into());
        let serve = ServeConfig { send_buffer, ..ServeConfig::default() };
        let connections = ServedConnections::default();
        Self { serve, budget: Bytes::from_mib(64), connections, writing }
    }

    /// Limits the number of connections.
    pub fn with_connections_max(mut self, count_max: usize) -> Self {
        let limits = ServedLimits { count_max, ..ServedLimits::default() };
        self.connections = ServedConnections::new(limits);
        self
    }

    /// Sets all timeouts of the port.
    pub fn with_timeouts(mut self, timeout: Duration) -> Self {
        self.serve.header_timeout = timeout;
        self.serve.idle_timeout = timeout;
        self.serve.stall_timeout = timeout;
        self
    }
}

/// A served port in front of a [`SizedTarget`].
pub struct Forwarder {
    pub address: SocketAddr,
    pub target: SizedTarget,
    pub budget: BodyBudget,
    pub control: ServeControl,
    reports: Reports,
    /// Set when the port has stopped.
    pub has_ended: Arc<AtomicBool>,
}

impl Forwarder {
    pub async fn start(config: ForwarderConfig) -> Self {
        let target = SizedTarget::start().await;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("an address");
        let budget = BodyBudget::new(config.budget);
        let reports = Reports::default();
        let endpoint = ForwardingEndpoint {
            target: target.raw.address,
            connections: TargetConnections::new(ConnectionConfig::default(), budget.clone()),
            budget: budget.clone(),
            writing: config.writing,
            reports: Arc::clone(&reports),
        };
        let control = ServeControl::new().with_connections(config.connections);
        let serving = serve(listener, endpoint, config.serve, control.clone());
        let has_ended = Arc::new(AtomicBool::new(false));
        let ended = Arc::clone(&has_ended);
        tokio::spawn(async move {
            serving.await.expect("served");
            ended.store(true, Ordering::SeqCst);
        });
        Self { address, target, budget, control, reports, has_ended }
    }

    pub fn reports(&self) -> Vec<TransferReport> {
        self.reports.lock().expect("lock").clone()
    }

    pub fn ends(&self) -> Vec<TransferEnd> {
        self.reports().iter().map(|report| report.end).collect()
    }

    /// Opens a connection whose receive buffer is small.
    pub async fn connect(&self) -> Caller {
        connect_to(self.address).await
    }

    /// Sends a request on a new connection and reads its answer.
    pub async fn get(&self, size: usize) -> Answer {
        let mut caller = self.connect().await;
        caller.send(&[size]).await;
        caller.answer().await.expect("an answer")
    }

    pub async fn wait_for_reports(&self, count: usize) {
        wait_until("the transfers have ended", || self.reports().len() >= count).await;
    }

    pub async fn wait_for_written(&self, count: usize) {
        let written = || self.target.written.load(Ordering::SeqCst) >= count;
        wait_until("the target has written its answers", written).await;
    }
}

/// Opens a connection whose receive buffer is small.
pub async fn connect_to(address: SocketAddr) -> Caller {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).expect("a size");
    Caller { stream: socket.connect(address).await.expect("connect") }
}

pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// A connection of a caller.
pub struct Caller {
    pub stream: TcpStream,
}

impl Caller {
    /// Sends requests for bodies of these sizes.
    pub async fn send(&mut self, sizes: &[usize]) {
        let requests: String = sizes
            .iter()
            .map(|size| format!("GET /{size} HTTP/1.1\r\nhost: orders\r\n\r\n"))
            .collect();
        self.stream.write_all(requests.as_bytes()).await.expect("writable");
    }

    /// Reads the head of an answer.
    pub async fn head(&mut self) -> std::io::Result<String> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.stream.read_u8().await?);
        }
        Ok(String::from_utf8(head).expect("text"))
    }

    /// Reads one answer; fails if the connection ends before the declared length.
    pub async fn answer(&mut self) -> std::io::Result<Answer> {
        let head = self.head().await?;
        let mut body = vec![0; declared_length(&head)];
        self.stream.read_exact(&mut body).await?;
        let status = head.split(' ').nth(1).expect("a status").parse().expect("a number");
        Ok(Answer { status, head, body: String::from_utf8(body).expect("text") })
    }

    /// Reads one answer at the rate of one piece per pause.
    pub async fn answer_slowly(
        &mut self,
        piece_bytes: usize,
        pause: Duration,
    ) -> std::io::Result<String> {
        let head = self.head().await?;
        let mut body = vec![0; declared_length(&head)];
        for piece in body.chunks_mut(piece_bytes) {
            tokio::time::sleep(pause).await;
            self.stream.read_exact(piece).await?;
        }
        Ok(String::from_utf8(body).expect("text"))
    }
}

pub fn declared_length(head: &str) -> usize {
    let length = head.split("content-length: ").nth(1).expect("a length");
    length.split("\r\n").next().expect("a line").parse().expect("a number")
}

pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < WAIT_MAX, "timed out waiting until {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
