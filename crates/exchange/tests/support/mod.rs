//! Raw TCP targets and request builders.

#![allow(dead_code, missing_docs, reason = "each test file uses its part")]

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method};
use shallotfork_exchange::{
    Attempt, BodyBudget, BufferedRequest, ControlHeaders, Exchange, ExchangeConfig, NowFn,
    TargetAddress, UnlimitedGate, Unsent,
};
use shallotfork_types::{Bytes, Endpoint, Mono};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

pub const DEADLINE: Duration = Duration::from_secs(20);
pub const BUDGET: Bytes = Bytes::from_mib(64);

/// A clock that always returns zero, so that no test depends on the speed of the machine.
pub fn fixed_clock() -> NowFn {
    Arc::new(|| Mono::ZERO)
}

pub fn exchange() -> Exchange {
    exchange_with(ExchangeConfig::default(), fixed_clock())
}

pub fn exchange_with(config: ExchangeConfig, now: NowFn) -> Exchange {
    exchange_within(config, now, BodyBudget::new(BUDGET))
}

pub fn exchange_within(config: ExchangeConfig, now: NowFn, budget: BodyBudget) -> Exchange {
    Exchange::new(config, budget, Arc::new(UnlimitedGate), now).expect("client")
}

/// Builds a request for the service `orders`.
#[derive(Debug, Clone)]
pub struct RequestBuilder {
    request: BufferedRequest,
}

impl RequestBuilder {
    pub fn new(method: Method) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert("host", HeaderValue::from_static("orders"));
        let request = BufferedRequest {
            method,
            path_and_query: PathAndQuery::from_static("/orders?mill=2"),
            service: "orders".parse().expect("name"),
            headers,
            control: ControlHeaders::default(),
            body: bytes::Bytes::new(),
        };
        Self { request }
    }

    pub fn with_body(mut self, body: &'static [u8]) -> Self {
        self.request.body = bytes::Bytes::from_static(body);
        self
    }

    pub fn with_path(mut self, path: &'static str) -> Self {
        self.request.path_and_query = PathAndQuery::from_static(path);
        self
    }

    pub fn with_header(mut self, name: &'static str, value: &'static str) -> Self {
        self.request.headers.insert(name, HeaderValue::from_static(value));
        self
    }

    /// Adds a mark by which the target can distinguish the request from others.
    pub fn with_mark(mut self, mark: usize) -> Self {
        self.request.headers.insert("mark", HeaderValue::from(mark));
        self
    }

    pub fn attempt(&self, target: TargetAddress) -> Attempt<Unsent> {
        Attempt::new(target, Arc::new(self.request.clone()), Mono::ZERO.plus(DEADLINE))
    }
}

/// What a target has received.
#[derive(Debug, Default)]
pub struct TargetStats {
    pub connections: AtomicUsize,
    pub request_bytes: AtomicUsize,
    pub requests: AtomicUsize,
    open: AtomicUsize,
    marks: Mutex<Vec<usize>>,
}

impl TargetStats {
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    pub fn request_bytes(&self) -> usize {
        self.request_bytes.load(Ordering::SeqCst)
    }

    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }

    /// Returns how many complete requests with this mark were received.
    pub fn runs(&self, mark: usize) -> usize {
        self.marks.lock().expect("lock").iter().filter(|&&stats| stats == mark).count()
    }
}

/// A target that runs one script for each connection.
#[derive(Debug)]
pub struct RawTarget {
    pub address: SocketAddr,
    pub stats: Arc<TargetStats>,
    task: tokio::task::JoinHandle<()>,
}

impl RawTarget {
    pub async fn start<F, Fut>(script: F) -> Self
    where
        F: Fn(usize, RawConnection) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let stats = Arc::new(TargetStats::default());
        let counted = Arc::clone(&stats);
        let task = tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("accept");
                let index = counted.connections.fetch_add(1, Ordering::SeqCst);
                counted.open.fetch_add(1, Ordering::SeqCst);
                let running = script(index, RawConnection { stream, stats: Arc::clone(&counted) });
                let counted = Arc::clone(&counted);
                tokio::spawn(async move {
                    running.await;
                    counted.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Self { address, stats, task }
    }

    /// Closes the listening socket.
    pub async fn stop(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }

    /// Waits until every connection's script has ended.
    pub async fn closed(&self) {
        while self.stats.open.load(Ordering::SeqCst) > 0 {
            tokio::task::yield_now().await;
        }
    }

    pub fn target(&self) -> TargetAddress {
        TargetAddress::new(Endpoint::new(self.address))
    }
}

impl Drop for RawTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The target's side of a connection.
#[derive(Debug)]
pub struct RawConnection {
    pub stream: TcpStream,
    stats: Arc<TargetStats>,
}

impl RawConnection {
    /// Reads one byte; returns `None` at the end.
    pub async fn byte(&mut self) -> Option<u8> {
        let byte = self.stream.read_u8().await.ok()?;
        self.stats.request_bytes.fetch_add(1, Ordering::SeqCst);
        Some(byte)
    }

    /// Reads `size` bytes, or fewer if the connection ends before.
    pub async fn bytes(&mut self, size: usize) -> Vec<u8> {
        let mut read = Vec::new();
        let mut rest = (&mut self.stream).take(size as u64);
        // An error counts as the end of the connection.
        let _broken = rest.read_to_end(&mut read).await;
        self.stats.request_bytes.fetch_add(read.len(), Ordering::SeqCst);
        read
    }

    /// Reads a request and counts it; returns `None` if the connection ends before it is complete.
    pub async fn request(&mut self) -> Option<String> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.byte().await?);
        }
        let text = String::from_utf8(head).expect("ASCII").to_ascii_lowercase();
        let size = header_number(&text, "content-length").unwrap_or(0);
        if self.bytes(size).await.len() < size {
            return None;
        }
        self.stats.requests.fetch_add(1, Ordering::SeqCst);
        if let Some(mark) = header_number(&text, "mark") {
            self.stats.marks.lock().expect("lock").push(mark);
        }
        Some(text)
    }

    pub async fn write(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes).await;
    }

    /// Writes all bytes; returns `false` if the peer has closed the connection.
    pub async fn try_write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }

    /// Closes the connection with a reset instead of an orderly close.
    pub fn reset(self) {
        self.stream.set_zero_linger().expect("linger");
    }

    /// Closes the connection for writing; what arrives stays unread.
    pub async fn end_writing(&mut self) {
        let _ = self.stream.shutdown().await;
    }

    /// Reads and counts bytes until the other side closes the connection.
    pub async fn drain(mut self) {
        while self.byte().await.is_some() {}
    }
}

fn header_number(head: &str, name: &str) -> Option<usize> {
    let line = head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))?;
    Some(line.parse().expect("a number"))
}
