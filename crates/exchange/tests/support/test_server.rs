//! A served port whose endpoint reads complete requests, and raw TCP connections to it.

#![allow(dead_code, missing_docs, reason = "each test file uses its part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use poem::{Endpoint, Request, Response};
use shallotfork_exchange::{
    BodyBudget, BodyLimits, BufferedRequest, Rejection, ServeConfig, ServeControl, ServeError,
    read_request, serve,
};
use shallotfork_types::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinHandle;

/// Long enough that no test reaches it on a slow machine.
const TIMEOUT: Duration = Duration::from_secs(30);
pub const BODY_MAX: Bytes = Bytes::new(1000);

/// Answers a complete request with its parts as text; `/hold` waits for a permit of `release`.
#[derive(Debug)]
pub struct EchoEndpoint {
    pub limits: BodyLimits,
    pub budget: BodyBudget,
    pub on_hold: Notify,
    pub release: Semaphore,
}

impl EchoEndpoint {
    pub fn new() -> Self {
        let limits = BodyLimits { body_max: BODY_MAX, body_timeout: TIMEOUT };
        Self {
            limits,
            budget: BodyBudget::new(Bytes::from_kib(8)),
            on_hold: Notify::new(),
            release: Semaphore::new(0),
        }
    }

    pub fn with_body_max(mut self, body_max: Bytes) -> Self {
        self.limits.body_max = body_max;
        self
    }

    pub fn with_budget(mut self, budget: Bytes) -> Self {
        self.budget = BodyBudget::new(budget);
        self
    }

    pub fn with_body_timeout(mut self, timeout: Duration) -> Self {
        self.limits.body_timeout = timeout;
        self
    }
}

/// The endpoint that [`TestServer`] serves.
struct SharedEcho(Arc<EchoEndpoint>);

impl Endpoint for SharedEcho {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let echo = &self.0;
        let buffered = match read_request(request, &echo.limits, &echo.budget).await {
            Ok(buffered) => buffered,
            Err(rejection) => return Ok(reject(&rejection)),
        };
        if buffered.path_and_query.path() == "/hold" {
            echo.on_hold.notify_one();
            let _ = echo.release.acquire().await;
        }
        Ok(Response::builder().body(describe(&buffered)))
    }
}

fn reject(rejection: &Rejection) -> Response {
    rejection.problem().into_response()
}

fn describe(buffered: &BufferedRequest) -> String {
    let mut headers: Vec<_> = buffered
        .headers
        .iter()
        .map(|(name, value)| format!("{name}: {}", value.to_str().expect("text")))
        .collect();
    headers.sort();
    format!(
        "{} {} of {}\n{}\n{:?}\n{} body bytes",
        buffered.method,
        buffered.path_and_query,
        buffered.service,
        headers.join("\n"),
        buffered.control,
        buffered.body.len(),
    )
}

/// A port that is being served.
#[derive(Debug)]
pub struct TestServer {
    pub address: SocketAddr,
    pub echo: Arc<EchoEndpoint>,
    pub control: ServeControl,
    pub served: JoinHandle<Result<(), ServeError>>,
}

impl TestServer {
    pub async fn start(echo: EchoEndpoint, config: ServeConfig) -> Self {
        Self::start_with_control(echo, config, ServeControl::new()).await
    }

    pub async fn start_with_control(
        echo: EchoEndpoint,
        config: ServeConfig,
        control: ServeControl,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let echo = Arc::new(echo);
        let serving = serve(listener, SharedEcho(Arc::clone(&echo)), config, control.clone());
        Self { address, echo, control, served: tokio::spawn(serving) }
    }

    pub async fn plain() -> Self {
        Self::start(EchoEndpoint::new(), ServeConfig::default()).await
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.expect("connect")
    }

    /// Sends a complete request on a new connection and reads its answer.
    pub async fn send(&self, request: &str) -> String {
        let mut stream = self.connect().await;
        stream.write_all(request.as_bytes()).await.expect("write");
        read_answer(&mut stream).await
    }

    /// Sends the beginning of a request, shuts down the write side, and reads to the end.
    pub async fn send_truncated(&self, beginning: &str) -> String {
        let mut stream = self.connect().await;
        stream.write_all(beginning.as_bytes()).await.expect("write");
        stream.shutdown().await.expect("shutdown");
        read_to_end(stream).await
    }
}

/// Reads until the server closes or resets the connection.
pub async fn read_to_end(mut stream: TcpStream) -> String {
    let mut read = Vec::new();
    let reading = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut read));
    let _ = reading.await.expect("the connection stays open");
    String::from_utf8(read).expect("text")
}

/// Reads one answer with a `Content-Length`.
pub async fn read_answer(stream: &mut TcpStream) -> String {
    let mut read = Vec::new();
    while !read.ends_with(b"\r\n\r\n") {
        read.push(stream.read_u8().await.expect("a head"));
    }
    let head = String::from_utf8(read).expect("text");
    let length = head.split("content-length: ").nth(1).expect("a length");
    let size = length.split("\r\n").next().expect("a line").parse().expect("a number");
    let mut body = vec![0; size];
    stream.read_exact(&mut body).await.expect("a body");
    head + &String::from_utf8(body).expect("text")
}

pub fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}
