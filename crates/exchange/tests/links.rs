//! Connections that are owned by the attempt which uses them.

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
use support::{BUDGET, RawTarget};

const TIMEOUT: Duration = Duration::from_secs(20);
const ROUNDS: usize = 300;

fn links(config: ConnectionConfig) -> TargetConnections {
    TargetConnections::new(config, BodyBudget::new(BUDGET))
}

/// Sends a request with this mark; targets echo it as `answers`.
struct Send<'a> {
    links: &'a TargetConnections,
    target: &'a RawTarget,
    repeatable: bool,
    timeout: Duration,
    body: &'static [u8],
}

impl<'a> Send<'a> {
    fn new(links: &'a TargetConnections, target: &'a RawTarget) -> Self {
        Self { links, target, repeatable: true, timeout: TIMEOUT, body: b"" }
    }

    fn once(mut self) -> Self {
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

    async fn marked(self, mark: usize) -> Result<BufferedAnswer, AttemptFailure> {
        let id = TargetId::new("mill").expect("name");
        let mut request = Request::new(Full::new(Bytes::from_static(self.body)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = "/orders".parse().expect("path");
        request.headers_mut().insert("host", HeaderValue::from_static("orders"));
        request.headers_mut().insert("mark", HeaderValue::from(mark));
        let owner = move |_: StatusCode, headers: &HeaderMap| {
            let answers = headers.get("answers").and_then(|value| value.to_str().ok());
            let own = answers.is_none_or(|answers| answers == mark.to_string());
            if own { AnswerMatch::Match } else { AnswerMatch::Mismatch }
        };
        let asked = TargetRequest {
            target: &id,
            endpoint: Endpoint::new(self.target.address),
            request,
            timeout: self.timeout,
            repeatable: self.repeatable,
            answer_match: &owner,
            purpose: ConnectionPurpose::Request,
            on_opened: &|| {},
        };
        self.links.send(asked).await
    }
}

fn answer(mark: usize, extra: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nanswers: {mark}\r\n{extra}content-length: 6\r\n\r\nmilled").into()
}

/// Lets the connection's own task see what has arrived.
async fn settle() {
    tokio::time::sleep(Duration::from_millis(20)).await;
}

#[tokio::test]
async fn a_whole_answer_leaves_its_connection_for_the_next_request() {
    let target = RawTarget::start(|_, mut wire| async move {
        for mark in 0.. {
            if wire.request().await.is_none() {
                return;
            }
            wire.write(&answer(mark, "")).await;
        }
    })
    .await;
    let links = links(ConnectionConfig::default());
    for mark in 0..3 {
        let answer = Send::new(&links, &target).marked(mark).await.expect("an answer");
        assert_eq!(answer.body, "milled");
        settle().await;
    }
    assert_eq!(target.seen.connections(), 1);
}

/// A secretary asks for a car's history. The server has answered the request before on the same
/// connection twice; the second answer lies where hers is expected. Passed on, she would read the
/// history of another car.
#[tokio::test]
async fn a_second_answer_reaches_nobody() {
    let target = RawTarget::start(|_, mut wire| async move {
        if wire.request().await.is_none() {
            return;
        }
        wire.write(&answer(1, "")).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
        wire.write(&answer(1, "")).await;
        wire.drain().await;
    })
    .await;
    let links = links(ConnectionConfig::default());
    Send::new(&links, &target).marked(1).await.expect("her predecessor's answer");
    settle().await;
    let result = Send::new(&links, &target).marked(2).await;
    let failure = result.expect_err("no answer of another request");
    assert_eq!(failure.verdict(), Verdict::MayHaveRun);
}

/// The same, but the second answer is already on its way when the next request is written, so
/// that only the request's id tells whose it is.
#[tokio::test]
async fn an_answer_with_another_request_s_id_is_foreign_and_ends_its_connection() {
    let target = RawTarget::start(|_, mut wire| async move {
        wire.request().await;
        wire.write(&answer(7, "")).await;
        wire.drain().await;
    })
    .await;
    let links = links(ConnectionConfig::default());
    let failure = Send::new(&links, &target).marked(8).await.expect_err("a foreign answer");
    assert_eq!(*failure.cause(), FailureCause::AnswerMismatch);
    assert_eq!(failure.verdict(), Verdict::MayHaveRun);
    tokio::time::timeout(TIMEOUT, target.closed()).await.expect("the connection is closed");
}

/// A server closes a connection that has been idle, just as the next order is written to it. Sent
/// once more elsewhere, the order would be milled twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_closing_idle_connection_never_doubles_a_request() {
    let target = RawTarget::start(|_, mut wire| async move {
        if wire.request().await.is_some() {
            wire.write(b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nmilled").await;
        }
    })
    .await;
    let links = links(ConnectionConfig::default());
    for mark in 0..ROUNDS {
        for _ in 0..mark % 7 {
            tokio::task::yield_now().await;
        }
        let actual = Send::new(&links, &target).once().with_body(b"two drums").marked(mark).await;
        let runs = target.seen.runs(mark);
        match actual.map_err(|failure| failure.verdict()) {
            Ok(_) => assert_eq!(1, runs, "answered"),
            Err(Verdict::NotRun) => assert_eq!(0, runs, "not run"),
            Err(_) => assert!(runs <= 1, "ran {runs} times"),
        }
    }
}

/// A server forgets idle connections without a word. What is sent on one of these is lost, and
/// whether an order ran can't be told; so orders go on fresh connections only.
#[tokio::test]
async fn an_order_takes_no_connection_that_was_idle_for_long() {
    let target = RawTarget::start(|_, mut wire| async move {
        while wire.request().await.is_some() {
            wire.write(b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nmilled").await;
        }
    })
    .await;
    let config = ConnectionConfig {
        idle_timeout_unrepeatable: Duration::ZERO,
        ..ConnectionConfig::default()
    };
    let links = links(config);
    Send::new(&links, &target).marked(0).await.expect("an answer");
    settle().await;
    Send::new(&links, &target).once().marked(1).await.expect("an answer");
    assert_eq!(target.seen.connections(), 2);
    settle().await;
    Send::new(&links, &target).marked(2).await.expect("an answer");
    assert_eq!(target.seen.connections(), 2);
}

#[tokio::test]
async fn a_connection_is_used_no_longer_than_its_target_keeps_it() {
    for header in ["connection: close\r\n", "keep-alive: timeout=1\r\n"] {
        let target = RawTarget::start(move |_, mut wire| async move {
            while wire.request().await.is_some() {
                let head = format!("HTTP/1.1 200 OK\r\n{header}content-length: 2\r\n\r\nok");
                wire.write(head.as_bytes()).await;
            }
        })
        .await;
        let links = links(ConnectionConfig::default());
        for mark in 0..2 {
            Send::new(&links, &target).marked(mark).await.expect("an answer");
            settle().await;
        }
        assert_eq!(target.seen.connections(), 2, "{header}");
    }
}

/// A server hangs. Its caller is told in time that nobody knows whether the order ran, and the
/// connection is closed, so that an answer which comes after all has no reader.
#[tokio::test]
async fn a_silent_target_ends_in_a_timeout_and_a_closed_connection() {
    let target = RawTarget::start(|_, mut wire| async move {
        wire.request().await;
        wire.drain().await;
    })
    .await;
    let links = links(ConnectionConfig::default());
    let send = Send::new(&links, &target).once().with_timeout(Duration::from_millis(50));
    let failure = send.marked(1).await.expect_err("no answer");
    assert_eq!(*failure.cause(), FailureCause::Timeout);
    assert_eq!(failure.verdict(), Verdict::MayHaveRun);
    tokio::time::timeout(TIMEOUT, target.closed()).await.expect("the connection is closed");
}

/// A caller leaves. The server must see that nobody waits any more, or it works on for nothing.
#[tokio::test]
async fn a_caller_that_leaves_closes_the_connection() {
    let target = RawTarget::start(|_, mut wire| async move {
        wire.request().await;
        wire.drain().await;
    })
    .await;
    let links = links(ConnectionConfig::default());
    let sending = Send::new(&links, &target).marked(1);
    let left = tokio::time::timeout(Duration::from_millis(50), sending).await;
    assert!(left.is_err());
    tokio::time::timeout(TIMEOUT, target.closed()).await.expect("the connection is closed");
}

/// An answer without a length ends with its connection: whole if that ends in order, broken if it
/// is reset.
#[tokio::test]
async fn an_answer_without_length_is_whole_only_if_its_connection_ends_in_order() {
    for is_reset in [false, true] {
        let target = RawTarget::start(move |_, mut wire| async move {
            wire.request().await;
            wire.write(b"HTTP/1.1 200 OK\r\n\r\nhalf of it").await;
            tokio::time::sleep(Duration::from_millis(30)).await;
            if is_reset {
                wire.reset();
            }
        })
        .await;
        let links = links(ConnectionConfig::default());
        let result = Send::new(&links, &target).marked(1).await;
        match result {
            Ok(answer) => assert!(!is_reset && answer.body == "half of it"),
            Err(failure) => {
                assert!(is_reset);
                assert_eq!(*failure.cause(), FailureCause::AnswerIncomplete);
            }
        }
    }
}

/// Restorers send long dossiers. A server answers before it has read one, keeps the connection and
/// reads on: the next request must not arrive in the middle of the dossier.
#[tokio::test]
async fn an_early_answer_is_followed_by_the_rest_of_the_body_or_the_end() {
    static DOSSIER: [u8; 4_000_000] = [b'x'; 4_000_000];
    let foreign = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&foreign);
    let target = RawTarget::start(move |_, mut wire| {
        let counted = Arc::clone(&counted);
        async move {
            while wire.byte().await.is_some_and(|byte| byte != b'\n') {}
            wire.write(b"HTTP/1.1 413 Content Too Large\r\ncontent-length: 0\r\n\r\n").await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            let rest = wire.bytes(DOSSIER.len() + 400).await;
            let text = String::from_utf8_lossy(&rest);
            counted.fetch_add(text.matches("POST /orders").count(), Ordering::SeqCst);
        }
    })
    .await;
    let links = links(ConnectionConfig::default());
    for mark in 0..2 {
        let answer = Send::new(&links, &target).with_body(&DOSSIER).marked(mark).await;
        assert_eq!(answer.expect("an early answer").status, StatusCode::PAYLOAD_TOO_LARGE);
    }
    drop(links);
    tokio::time::timeout(TIMEOUT, target.closed()).await.expect("the connections are closed");
    assert_eq!(foreign.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn a_target_out_of_reach_has_not_run_anything() {
    let target = RawTarget::start(|_, _| async {}).await;
    let address = target.address;
    target.stop().await;
    let gone = RawTarget::start(|_, _| async {}).await;
    let mut gone = gone;
    gone.address = address;
    let links = links(ConnectionConfig::default());
    let failure = Send::new(&links, &gone).marked(1).await.expect_err("nobody listens");
    assert_eq!(failure.verdict(), Verdict::NotRun);
    assert_eq!(*failure.cause(), FailureCause::ConnectFailed);
}

/// Guards against confusing a crashed target with one that has only reset a connection.
#[tokio::test]
async fn only_a_port_without_a_listener_refuses_connections() {
    let links = links(ConnectionConfig::default());
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let endpoint = Endpoint::new(listener.local_addr().expect("address"));
    assert!(!links.refuses_connections(endpoint).await);
    drop(listener);
    assert!(links.refuses_connections(endpoint).await);
}
