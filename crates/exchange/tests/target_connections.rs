//! Connections to targets that are owned by the attempt which uses them.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::HeaderMap;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use shallotfork_exchange::{
    AnswerMatch, AttemptFailure, BodyBudget, BufferedAnswer, ConnectionConfig, ConnectionPurpose,
    FailureCause, TargetConnections, TargetRequest,
};
use shallotfork_types::{Endpoint, TargetId, Verdict};
use support::{BUDGET, RawConnection, RawTarget};

const TIMEOUT: Duration = Duration::from_secs(20);
const ROUNDS: usize = 300;

fn target_connections(config: ConnectionConfig) -> TargetConnections {
    TargetConnections::new(config, BodyBudget::new(BUDGET))
}

/// Sends a request with a mark, which a target echoes in its `answers` header.
struct MarkedRequest<'a> {
    connections: &'a TargetConnections,
    target: &'a RawTarget,
    repeatable: bool,
    timeout: Duration,
    body: &'static [u8],
}

impl<'a> MarkedRequest<'a> {
    fn new(connections: &'a TargetConnections, target: &'a RawTarget) -> Self {
        Self { connections, target, repeatable: true, timeout: TIMEOUT, body: b"" }
    }

    fn unrepeatable(mut self) -> Self {
        self.repeatable = false;
        self
    }

    fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    fn with_body(mut self, body: &'static [u8]) -> Self {
        self.body = body;
        self
    }

    async fn send(self, mark: usize) -> Result<BufferedAnswer, AttemptFailure> {
        let id = TargetId::new("mill").expect("name");
        let mut request = Request::new(Full::new(Bytes::from_static(self.body)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = "/orders".parse().expect("path");
        request.headers_mut().insert("host", HeaderValue::from_static("orders"));
        request.headers_mut().insert("mark", HeaderValue::from(mark));
        let answer_match = move |_: StatusCode, headers: &HeaderMap| {
            let answers = headers.get("answers").and_then(|value| value.to_str().ok());
            let is_own = answers.is_none_or(|answers| answers == mark.to_string());
            if is_own { AnswerMatch::Match } else { AnswerMatch::Mismatch }
        };
        let request_to_target = TargetRequest {
            target: &id,
            endpoint: Endpoint::new(self.target.address),
            request,
            timeout: self.timeout,
            expected_size: shallotfork_types::Bytes::default(),
            repeatable: self.repeatable,
            answer_match: &answer_match,
            purpose: ConnectionPurpose::Request,
            on_opened: &|| {},
        };
        self.connections.send(request_to_target).await
    }
}

fn answer(mark: usize, extra: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nanswers: {mark}\r\n{extra}content-length: 6\r\n\r\nmilled").into()
}

/// Gives the connection's task time to process received bytes.
async fn wait_for_connection_task() {
    tokio::time::sleep(Duration::from_millis(20)).await;
}

#[tokio::test]
async fn reuses_connection_after_complete_answer() {
    let target = RawTarget::start(|_, mut connection| async move {
        for mark in 0.. {
            if connection.request().await.is_none() {
                return;
            }
            connection.write(&answer(mark, "")).await;
        }
    })
    .await;
    let connections = target_connections(ConnectionConfig::default());
    for mark in 0..3 {
        let answer = MarkedRequest::new(&connections, &target).send(mark).await.expect("an answer");
        assert_eq!(answer.body, "milled");
        wait_for_connection_task().await;
    }
    assert_eq!(target.stats.connections(), 1);
}

/// Guards against the second answer to one request being forwarded as the answer to the next
/// request on the same connection.
#[tokio::test]
async fn duplicate_answer_never_reaches_next_request() {
    let target = RawTarget::start(|_, mut connection| async move {
        if connection.request().await.is_none() {
            return;
        }
        connection.write(&answer(1, "")).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
        connection.write(&answer(1, "")).await;
        connection.drain().await;
    })
    .await;
    let connections = target_connections(ConnectionConfig::default());
    MarkedRequest::new(&connections, &target).send(1).await.expect("the first answer");
    wait_for_connection_task().await;
    let result = MarkedRequest::new(&connections, &target).send(2).await;
    let failure = result.expect_err("the duplicate answer is not forwarded");
    assert_eq!(failure.verdict(), Verdict::MayHaveRun);
}

/// Guards against the answer to another request that is already in transit when the next request is
/// written, so that only the request id identifies it.
#[tokio::test]
async fn mismatched_answer_closes_connection() {
    let target = RawTarget::start(|_, mut connection| async move {
        connection.request().await;
        connection.write(&answer(7, "")).await;
        connection.drain().await;
    })
    .await;
    let connections = target_connections(ConnectionConfig::default());
    let failure =
        MarkedRequest::new(&connections, &target).send(8).await.expect_err("a mismatched answer");
    assert_eq!(*failure.cause(), FailureCause::AnswerMismatch);
    assert_eq!(failure.verdict(), Verdict::MayHaveRun);
    tokio::time::timeout(TIMEOUT, target.closed()).await.expect("the connection is closed");
}

/// Guards against a duplicate run when a target closes an idle connection while the next order is
/// written to it. An order that is resent elsewhere would run twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn closing_idle_connection_never_duplicates_request() {
    let target = RawTarget::start(|_, mut connection| async move {
        if connection.request().await.is_some() {
            connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nmilled").await;
        }
    })
    .await;
    let connections = target_connections(ConnectionConfig::default());
    for mark in 0..ROUNDS {
        for _ in 0..mark % 7 {
            tokio::task::yield_now().await;
        }
        let actual = MarkedRequest::new(&connections, &target)
            .unrepeatable()
            .with_body(b"two drums")
            .send(mark)
            .await;
        let runs = target.stats.runs(mark);
        match actual.map_err(|failure| failure.verdict()) {
            Ok(_) => assert_eq!(1, runs, "answered"),
            Err(Verdict::NotRun) => assert_eq!(0, runs, "not run"),
            Err(_) => assert!(runs <= 1, "ran {runs} times"),
        }
    }
}

/// Guards against orders on a connection that the target has dropped without closing it. It would
/// be unknown whether the order ran, so orders only use recently used connections.
#[tokio::test]
async fn unrepeatable_request_avoids_long_idle_connection() {
    let target = RawTarget::start(|_, mut connection| async move {
        while connection.request().await.is_some() {
            connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nmilled").await;
        }
    })
    .await;
    let config = ConnectionConfig {
        idle_timeout_unrepeatable: Duration::ZERO,
        ..ConnectionConfig::default()
    };
    let connections = target_connections(config);
    MarkedRequest::new(&connections, &target).send(0).await.expect("an answer");
    wait_for_connection_task().await;
    MarkedRequest::new(&connections, &target).unrepeatable().send(1).await.expect("an answer");
    assert_eq!(target.stats.connections(), 2);
    wait_for_connection_task().await;
    MarkedRequest::new(&connections, &target).send(2).await.expect("an answer");
    assert_eq!(target.stats.connections(), 2);
}

#[tokio::test]
async fn respects_close_and_keep_alive_timeout_of_target() {
    for header in ["connection: close\r\n", "keep-alive: timeout=1\r\n"] {
        let target = RawTarget::start(move |_, mut connection| async move {
            while connection.request().await.is_some() {
                let head = format!("HTTP/1.1 200 OK\r\n{header}content-length: 2\r\n\r\nok");
                connection.write(head.as_bytes()).await;
            }
        })
        .await;
        let connections = target_connections(ConnectionConfig::default());
        for mark in 0..2 {
            MarkedRequest::new(&connections, &target).send(mark).await.expect("an answer");
            wait_for_connection_task().await;
        }
        assert_eq!(target.stats.connections(), 2, "{header}");
    }
}

/// Guards against waiting for a hanging target. The request fails in time with the verdict that it
/// may have run, and the connection is closed, so that a late answer is never read.
#[tokio::test]
async fn timeout_closes_connection() {
    let target = RawTarget::start(|_, mut connection| async move {
        connection.request().await;
        connection.drain().await;
    })
    .await;
    let connections = target_connections(ConnectionConfig::default());
    let request = MarkedRequest::new(&connections, &target)
        .unrepeatable()
        .with_timeout(Duration::from_millis(50));
    let failure = request.send(1).await.expect_err("no answer");
    assert_eq!(*failure.cause(), FailureCause::Timeout);
    assert_eq!(failure.verdict(), Verdict::MayHaveRun);
    tokio::time::timeout(TIMEOUT, target.closed()).await.expect("the connection is closed");
}

/// Guards against wasted work after a caller has disconnected: the target must see the connection
/// close.
#[tokio::test]
async fn dropped_request_closes_connection() {
    let target = RawTarget::start(|_, mut connection| async move {
        connection.request().await;
        connection.drain().await;
    })
    .await;
    let connections = target_connections(ConnectionConfig::default());
    let sending = MarkedRequest::new(&connections, &target).send(1);
    let abandoned = tokio::time::timeout(Duration::from_millis(50), sending).await;
    assert!(abandoned.is_err());
    tokio::time::timeout(TIMEOUT, target.closed()).await.expect("the connection is closed");
}

/// Guards against truncated answers without a length, which end with their connection. They are
/// complete after an orderly close, but not after a reset.
#[tokio::test]
async fn answer_without_length_needs_orderly_close() {
    for is_reset in [false, true] {
        let target = RawTarget::start(move |_, mut connection| async move {
            connection.request().await;
            connection.write(b"HTTP/1.1 200 OK\r\n\r\nhalf of it").await;
            tokio::time::sleep(Duration::from_millis(30)).await;
            if is_reset {
                connection.reset();
            }
        })
        .await;
        let connections = target_connections(ConnectionConfig::default());
        let result = MarkedRequest::new(&connections, &target).send(1).await;
        match result {
            Ok(answer) => assert!(!is_reset && answer.body == "half of it"),
            Err(failure) => {
                assert!(is_reset);
                assert_eq!(*failure.cause(), FailureCause::AnswerIncomplete);
            }
        }
    }
}

/// Guards against a request in the middle of the previous request's body. A target may answer a
/// long upload early, keep the connection open and read the rest of the body. The next request may
/// use that connection only once the body has been written.
#[tokio::test]
async fn early_answer_does_not_corrupt_next_request() {
    static UPLOAD: [u8; 4_000_000] = [b'x'; 4_000_000];
    for pause in [Duration::ZERO, Duration::from_millis(300)] {
        let misplaced = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&misplaced);
        let target = RawTarget::start(move |_, mut connection| {
            let counted = Arc::clone(&counted);
            async move {
                while read_head(&mut connection).await {
                    let answer = b"HTTP/1.1 413 Content Too Large\r\ncontent-length: 0\r\n\r\n";
                    connection.write(answer).await;
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    let body = connection.bytes(UPLOAD.len()).await;
                    let foreign = body.iter().filter(|byte| **byte != b'x').count();
                    counted.fetch_add(foreign, Ordering::SeqCst);
                }
            }
        })
        .await;
        let connections = target_connections(ConnectionConfig::default());
        for mark in 0..2 {
            let request = MarkedRequest::new(&connections, &target).with_body(&UPLOAD);
            let answer = request.send(mark).await.expect("an early answer");
            assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE);
            tokio::time::sleep(pause).await;
        }
        drop(connections);
        tokio::time::timeout(TIMEOUT, target.closed()).await.expect("the connections are closed");
        assert_eq!(misplaced.load(Ordering::SeqCst), 0, "foreign bytes in a body");
    }
}

/// Reads to the end of a request's head; returns `false` if the connection ends before.
async fn read_head(connection: &mut RawConnection) -> bool {
    let mut last = [0; 4];
    while last != *b"\r\n\r\n" {
        let Some(byte) = connection.byte().await else { return false };
        last.rotate_left(1);
        last[3] = byte;
    }
    true
}

#[tokio::test]
async fn unreachable_target_is_not_run() {
    let target = RawTarget::start(|_, _| async {}).await;
    let address = target.address;
    target.stop().await;
    let unreachable = RawTarget::start(|_, _| async {}).await;
    let mut unreachable = unreachable;
    unreachable.address = address;
    let connections = target_connections(ConnectionConfig::default());
    let failure =
        MarkedRequest::new(&connections, &unreachable).send(1).await.expect_err("no listener");
    assert_eq!(failure.verdict(), Verdict::NotRun);
    assert_eq!(*failure.cause(), FailureCause::ConnectFailed);
}

/// Guards against mistaking a target that has only reset a connection for a crashed one.
#[tokio::test]
async fn only_closed_port_refuses_connections() {
    let connections = target_connections(ConnectionConfig::default());
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let endpoint = Endpoint::new(listener.local_addr().expect("address"));
    assert!(!connections.refuses_connections(endpoint).await);
    drop(listener);
    assert!(connections.refuses_connections(endpoint).await);
}

/// More than the kernel buffers of a connection hold.
static LARGE_UPLOAD: [u8; 16 * 1024 * 1024] = [b'u'; 16 * 1024 * 1024];

/// Guards against a truncated answer that looks complete: its target gives up an upload that it has not
/// read, and the end of the connection is also the end of the body.
#[tokio::test]
async fn answer_ended_by_the_connection_before_the_upload_is_incomplete() {
    for head in [
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
        "HTTP/1.0 200 OK\r\n\r\n",
    ] {
        let target = RawTarget::start(move |_, mut connection| async move {
            connection.bytes(16).await;
            connection.write(head.as_bytes()).await;
            connection.write(&[b'a'; 3_000]).await;
            connection.end_writing().await;
            tokio::time::sleep(TIMEOUT).await;
        })
        .await;
        let connections = target_connections(ConnectionConfig::default());
        let request = MarkedRequest::new(&connections, &target).with_body(&LARGE_UPLOAD);
        let failure = request.send(1).await.expect_err("the answer is not forwarded");
        assert_eq!(*failure.cause(), FailureCause::AnswerIncomplete);
        assert_eq!(failure.verdict(), Verdict::MayHaveRun);
    }
}

/// Guards against rejecting an answer without a length to a request that was sent completely.
#[tokio::test]
async fn answer_ended_by_the_connection_after_the_upload_is_complete() {
    let target = RawTarget::start(|_, mut connection| async move {
        connection.request().await;
        connection.write(b"HTTP/1.1 200 OK\r\n\r\nmilled").await;
        connection.end_writing().await;
        connection.drain().await;
    })
    .await;
    let connections = target_connections(ConnectionConfig::default());
    let request = MarkedRequest::new(&connections, &target).with_body(&LARGE_UPLOAD);
    assert_eq!(request.send(1).await.expect("an answer").body, "milled");
}

/// Guards against an answer that is forwarded although its target gave it no valid status.
#[tokio::test]
async fn answer_without_a_valid_status_is_not_forwarded() {
    for status in ["000", "001", "099", "600", "999", "2OO", "+20", "-20", "20", "2000"] {
        let target = RawTarget::start(move |_, mut connection| async move {
            connection.request().await;
            let head = format!("HTTP/1.1 {status} Trouble\r\ncontent-length: 6\r\n\r\nmilled");
            connection.write(head.as_bytes()).await;
            connection.drain().await;
        })
        .await;
        let connections = target_connections(ConnectionConfig::default());
        let failure = MarkedRequest::new(&connections, &target).send(1).await;
        let failure = failure.expect_err(status);
        assert_eq!(failure.verdict(), Verdict::MayHaveRun, "{status}");
    }
}
