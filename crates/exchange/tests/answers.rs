//! Reading of answers: HTTP/1.1 framing, limits, digests, and the match of answer and request.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::{Method, StatusCode};
use shallotfork_exchange::{
    AttemptFailure, BodyBudget, BufferedAnswer, ConnectionGate, ConnectionPermit, Exchange,
    ExchangeConfig, FailureCause,
};
use shallotfork_types::{Bytes, Endpoint, Verdict};
use support::{RawTarget, RequestBuilder, exchange, exchange_within, fixed_clock};
use tokio::sync::Notify;

const DIGEST_OF_MILLED: &str = "sha-256=:IW1SjQzBou8clRMy164J3oexYrFDGklHh4O6reuz6+I=:";

async fn send_for_answer(
    exchange: &Exchange,
    method: Method,
    answer: String,
) -> Result<BufferedAnswer, AttemptFailure> {
    let target = RawTarget::start(move |_, mut connection| {
        let answer = answer.clone();
        async move {
            connection.request().await;
            connection.write(answer.as_bytes()).await;
        }
    })
    .await;
    exchange.send(RequestBuilder::new(method).attempt(target.target())).await
}

async fn answer(method: Method, answer: &str) -> BufferedAnswer {
    send_for_answer(&exchange(), method, answer.to_owned()).await.expect("a complete answer")
}

#[tokio::test]
async fn reads_answers_without_body() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 9000\r\n\r\n";
    let actual = answer(Method::HEAD, head).await;
    assert_eq!(("9000", 0), (actual.headers["content-length"].to_str().expect("text"), 0));

    let actual = answer(Method::GET, "HTTP/1.1 204 No Content\r\n\r\n").await;
    assert_eq!((StatusCode::NO_CONTENT, 0), (actual.status, actual.body.len()));

    let unmodified = "HTTP/1.1 304 Not Modified\r\netag: \"7\"\r\ncontent-length: 9000\r\n\r\n";
    let actual = answer(Method::GET, unmodified).await;
    assert_eq!((StatusCode::NOT_MODIFIED, 0), (actual.status, actual.body.len()));

    let actual = answer(Method::GET, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;
    assert_eq!((StatusCode::OK, 0), (actual.status, actual.body.len()));
}

#[tokio::test]
async fn skips_trailers_and_interim_answers() {
    let trailers = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: checked\r\n\r\n\
        6\r\nmilled\r\n0\r\nchecked: yes\r\n\r\n";
    assert_eq!("milled", answer(Method::GET, trailers).await.body);

    let interim = "HTTP/1.1 103 Early Hints\r\nlink: </card>\r\n\r\n\
        HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nmilled";
    assert_eq!("milled", answer(Method::POST, interim).await.body);
}

#[tokio::test]
async fn removes_hop_by_hop_headers_of_answer() {
    let answered = "HTTP/1.1 200 OK\r\nconnection: keep-alive, batch\r\nbatch: 7\r\n\
        keep-alive: timeout=5\r\nproxy-authenticate: x\r\nkept: yes\r\ncontent-length: 0\r\n\r\n";
    let actual = answer(Method::GET, answered).await;
    let mut names: Vec<_> = actual.headers.keys().map(|name| name.as_str()).collect();
    names.sort_unstable();
    assert_eq!(vec!["content-length", "kept"], names);
}

/// Guards against changes of the request target. The WHATWG rules of reqwest's `Url` resolve dot
/// segments and encode a quote in a query; everything else must stay as requested.
#[tokio::test]
async fn forwards_request_target_unchanged() {
    let same =
        ["/", "/a/b?x=1&y=%20z", "/%7Ea;v=1/+?", "/?q=/../", "/a//b"].map(|path| (path, path));
    let rewritten = [("/a/../b/./c", "/b/c"), ("/?q='", "/?q=%27")];
    for (path, expected) in same.into_iter().chain(rewritten) {
        let target = RawTarget::start(move |_, mut connection| async move {
            let head = connection.request().await.unwrap_or_default();
            let requested = format!("get {} ", expected.to_lowercase());
            let status = if head.starts_with(&requested) { 200 } else { 400 };
            let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n");
            connection.write(answer.as_bytes()).await;
        })
        .await;
        let attempt = RequestBuilder::new(Method::GET).with_path(path).attempt(target.target());

        let actual = exchange().send(attempt).await.expect("an answer");

        assert_eq!(StatusCode::OK, actual.status, "{path}");
    }
    let target = RawTarget::start(|_, connection| connection.drain()).await;
    let star = RequestBuilder::new(Method::OPTIONS).with_path("*").attempt(target.target());
    let actual = exchange().send(star).await.expect_err("no path");
    assert_eq!((Verdict::NotRun, &FailureCause::BadRequest), (actual.verdict(), actual.cause()));
}

/// Guards against a wrong verdict: a target that runs an order and forwards the headers of a
/// problem from another service's entry would make the caller read "not run" for an order that ran.
#[tokio::test]
async fn removes_verdict_headers_of_target() {
    let answered = "HTTP/1.1 502 Bad Gateway\r\nshallotfork-verdict: not-run\r\n\
        shallotfork-replayed: true\r\ncontent-length: 0\r\n\r\n";
    let actual = answer(Method::POST, answered).await;
    assert_eq!(StatusCode::BAD_GATEWAY, actual.status);
    assert!(!actual.headers.contains_key("shallotfork-verdict"));
    assert!(!actual.headers.contains_key("shallotfork-replayed"));
}

/// Guards against corrupted content in an answer of the correct length, for example because of
/// faulty memory on the target's host.
#[tokio::test]
async fn rejects_answer_with_wrong_digest() {
    for (body, expected) in [("milled", true), ("mixled", false)] {
        let answered = format!(
            "HTTP/1.1 200 OK\r\ncontent-digest: {DIGEST_OF_MILLED}\r\ncontent-length: 6\r\n\r\n{body}"
        );
        let actual = send_for_answer(&exchange(), Method::GET, answered).await;
        let differs = actual.map_err(|failure| failure.cause().clone());
        assert_eq!(expected, differs.is_ok());
        if !expected {
            assert_eq!(Err(FailureCause::AnswerDigestMismatch), differs);
        }
    }
}

/// Guards against memory exhaustion by an oversized answer; the budget that it used must be
/// released. A full budget, in contrast, must not drop the answer to a request that has run.
#[tokio::test]
async fn rejects_answer_over_limit() {
    let declared = "HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\nhello world".to_owned();
    let chunked =
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\n\r\n"
            .to_owned();
    for answered in [declared, chunked] {
        let limit = ExchangeConfig { answer_max: Bytes::new(10), ..ExchangeConfig::default() };
        let budget = BodyBudget::new(Bytes::new(10));
        let limited = exchange_within(limit, fixed_clock(), budget.clone());
        let actual =
            send_for_answer(&limited, Method::GET, answered.clone()).await.expect_err("too large");
        assert_eq!(&FailureCause::AnswerTooLarge, actual.cause());
        assert_eq!(Bytes::new(0), budget.held());

        let exhausted = exchange_within(ExchangeConfig::default(), fixed_clock(), budget.clone());
        let actual = send_for_answer(&exhausted, Method::GET, answered).await.expect("an answer");
        assert_eq!("hello world", actual.body);
        assert_eq!((Bytes::new(11), true), (budget.held(), budget.is_full()));
        drop(actual);
        assert_eq!((Bytes::new(0), false), (budget.held(), budget.is_full()));
    }
}

#[tokio::test]
async fn body_releases_budget_with_last_clone() {
    let budget = BodyBudget::new(Bytes::from_kib(1));
    let exchange = exchange_within(ExchangeConfig::default(), fixed_clock(), budget.clone());
    let answered = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nmilled".to_owned();
    let answer =
        send_for_answer(&exchange, Method::GET, answered).await.expect("a complete answer");
    let clone = answer.body.clone();
    drop(answer);
    assert_eq!(Bytes::new(6), budget.held());
    drop(clone);
    assert_eq!(Bytes::new(0), budget.held());
}

/// Guards against a late answer to an abandoned request reaching the next caller on a reused
/// connection. The connection must be closed, which also signals to the target that no
/// caller waits.
#[tokio::test]
async fn late_answer_never_reaches_next_request() {
    let target = RawTarget::start(|index, mut connection| async move {
        while connection.request().await.is_some() {
            if index == 0 {
                return connection.drain().await;
            }
            connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond").await;
        }
    })
    .await;
    let exchange = exchange();
    let order = RequestBuilder::new(Method::POST);
    let abandoned = exchange.send(order.attempt(target.target()));
    tokio::select! {
        biased;
        _ = abandoned => panic!("the request must not complete"),
        () = until(|| target.stats.requests() == 1) => {}
    }
    target.closed().await;

    let actual = exchange.send(order.attempt(target.target())).await.expect("an answer");

    assert_eq!("second", actual.body);
    assert_eq!(2, target.stats.connections());
}

/// Guards against the second answer of a faulty target that answers each request twice in a single
/// write. It stays on the connection, and the next request on it would receive the wrong answer.
#[tokio::test]
async fn duplicate_answer_never_reaches_next_request() {
    const REQUESTS: usize = 50;
    let arrived = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&arrived);
    let target = RawTarget::start(move |_, mut connection| {
        let counted = Arc::clone(&counted);
        async move {
            while connection.request().await.is_some() {
                let number = counted.fetch_add(1, Ordering::SeqCst);
                let once = |kind: &str| {
                    format!("HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n{kind}-{number:02}")
                };
                connection.write(format!("{}{}", once("first"), once("again")).as_bytes()).await;
            }
        }
    })
    .await;
    let exchange = exchange();
    for number in 0..REQUESTS {
        let order = RequestBuilder::new(Method::POST);
        let actual = exchange.send(order.attempt(target.target())).await.expect("an answer");
        assert_eq!(format!("first-{number:02}"), actual.body);
    }
    assert_eq!(REQUESTS, arrived.load(Ordering::SeqCst));
}

/// More than the kernel buffers of a connection hold.
static LARGE_UPLOAD: [u8; 16 * 1024 * 1024] = [b'u'; 16 * 1024 * 1024];

/// Guards against a truncated answer that looks complete: its target gives up an upload that it has not
/// read, and the end of the connection is also the end of the body.
#[tokio::test]
async fn answer_cut_before_the_end_of_an_upload_is_incomplete() {
    let target = RawTarget::start(|_, mut connection| async move {
        connection.bytes(16).await;
        connection.write(b"HTTP/1.1 200 OK\r\n\r\npart").await;
        connection.end_writing().await;
        tokio::time::sleep(Duration::from_secs(20)).await;
    })
    .await;
    let upload = RequestBuilder::new(Method::POST).with_body(&LARGE_UPLOAD);
    let result = exchange().send(upload.attempt(target.target())).await;
    assert_eq!(&FailureCause::AnswerIncomplete, result.expect_err("part of an answer").cause());
}

/// Guards against an answer that is forwarded although its target gave it no valid status.
#[tokio::test]
async fn status_beyond_those_of_http_is_no_answer() {
    for status in ["000", "099", "600", "999", "2OO", "+20"] {
        let answered = format!("HTTP/1.1 {status} Trouble\r\ncontent-length: 0\r\n\r\n");
        let result = send_for_answer(&exchange(), Method::POST, answered).await;
        assert_eq!(Verdict::MayHaveRun, result.expect_err(status).verdict(), "{status}");
    }
}

async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::task::yield_now().await;
    }
}

/// A gate that rejects a connection, or never admits it.
#[derive(Debug, Default)]
struct ClosedGate {
    requested: Notify,
    is_rejecting: bool,
}

impl ConnectionGate for ClosedGate {
    fn open(
        &self,
        _target: Endpoint,
    ) -> std::pin::Pin<Box<dyn Future<Output = Option<ConnectionPermit>> + Send + '_>> {
        self.requested.notify_one();
        Box::pin(async {
            if !self.is_rejecting {
                std::future::pending::<()>().await;
            }
            None
        })
    }
}

/// Guards against a wrong verdict when many entries reconnect to a target at once: a connection
/// that the gate delays or rejects has sent nothing, so the verdict is "not run".
#[tokio::test]
async fn connection_rejected_by_gate_is_not_run() {
    let target = RawTarget::start(|_, connection| connection.drain()).await;
    for is_rejecting in [false, true] {
        let gate = Arc::new(ClosedGate { is_rejecting, ..ClosedGate::default() });
        let config =
            ExchangeConfig { connect_timeout: Duration::from_millis(50), ..Default::default() };
        let budget = BodyBudget::new(Bytes::from_kib(1));
        let gated = Exchange::new(config, budget, Arc::clone(&gate) as _, fixed_clock());
        let order = RequestBuilder::new(Method::POST).attempt(target.target());

        let actual = gated.expect("client").send(order).await.expect_err("no connection");

        gate.requested.notified().await;
        assert_eq!(Verdict::NotRun, actual.verdict());
        let refused = &FailureCause::ConnectRefusedByGate;
        assert_eq!(is_rejecting, actual.cause() == refused, "{actual}");
    }
    assert_eq!(0, target.stats.connections());
}
