//! Whole answers: every framing that HTTP/1.1 allows, limits, digests and ownership.

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
use support::{
    RawTarget, RequestBuilder, exchange, exchange_with, exchange_within, standing_clock,
};
use tokio::sync::Notify;

const DIGEST_OF_MILLED: &str = "sha-256=:IW1SjQzBou8clRMy164J3oexYrFDGklHh4O6reuz6+I=:";

async fn ask(
    exchange: &Exchange,
    method: Method,
    answer: String,
) -> Result<BufferedAnswer, AttemptFailure> {
    let target = RawTarget::start(move |_, mut wire| {
        let answer = answer.clone();
        async move {
            wire.request().await;
            wire.write(answer.as_bytes()).await;
        }
    })
    .await;
    exchange.send(RequestBuilder::new(method).attempt(target.target())).await
}

async fn answer(method: Method, answer: &str) -> BufferedAnswer {
    ask(&exchange(), method, answer.to_owned()).await.expect("a whole answer")
}

#[tokio::test]
async fn answers_without_a_body_are_whole() {
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
async fn trailers_and_interim_answers_are_read_past() {
    let trailers = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: checked\r\n\r\n\
        6\r\nmilled\r\n0\r\nchecked: yes\r\n\r\n";
    assert_eq!("milled", answer(Method::GET, trailers).await.body);

    let interim = "HTTP/1.1 103 Early Hints\r\nlink: </card>\r\n\r\n\
        HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nmilled";
    assert_eq!("milled", answer(Method::POST, interim).await.body);
}

#[tokio::test]
async fn hop_by_hop_headers_end_here() {
    let answered = "HTTP/1.1 200 OK\r\nconnection: keep-alive, batch\r\nbatch: 7\r\n\
        keep-alive: timeout=5\r\nproxy-authenticate: x\r\nkept: yes\r\ncontent-length: 0\r\n\r\n";
    let actual = answer(Method::GET, answered).await;
    let mut names: Vec<_> = actual.headers.keys().map(|name| name.as_str()).collect();
    names.sort_unstable();
    assert_eq!(vec!["content-length", "kept"], names);
}

/// reqwest takes a `Url`, whose rules (WHATWG) resolve dot segments and encode a quote in a query;
/// everything else must arrive as it was asked.
#[tokio::test]
async fn the_request_target_arrives_as_it_was_asked() {
    let same =
        ["/", "/a/b?x=1&y=%20z", "/%7Ea;v=1/+?", "/?q=/../", "/a//b"].map(|path| (path, path));
    let rewritten = [("/a/../b/./c", "/b/c"), ("/?q='", "/?q=%27")];
    for (path, expected) in same.into_iter().chain(rewritten) {
        let target = RawTarget::start(move |_, mut wire| async move {
            let head = wire.request().await.unwrap_or_default();
            let asked = format!("get {} ", expected.to_lowercase());
            let status = if head.starts_with(&asked) { 200 } else { 400 };
            let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n");
            wire.write(answer.as_bytes()).await;
        })
        .await;
        let attempt = RequestBuilder::new(Method::GET).with_path(path).attempt(target.target());

        let actual = exchange().send(attempt).await.expect("an answer");

        assert_eq!(StatusCode::OK, actual.status, "{path}");
    }
    let target = RawTarget::start(|_, wire| wire.drain()).await;
    let star = RequestBuilder::new(Method::OPTIONS).with_path("*").attempt(target.target());
    let actual = exchange().send(star).await.expect_err("no path");
    assert_eq!((Verdict::NotRun, &FailureCause::BadRequest), (actual.verdict(), actual.cause()));
}

/// A target runs an order, calls another service for it, and hands on the headers of a problem that
/// the other service's entry made. The caller would read "not run" of an order that ran.
#[tokio::test]
async fn a_targets_answer_carries_no_verdict_of_the_system() {
    let answered = "HTTP/1.1 502 Bad Gateway\r\nshallotfork-verdict: not-run\r\n\
        shallotfork-replayed: true\r\ncontent-length: 0\r\n\r\n";
    let actual = answer(Method::POST, answered).await;
    assert_eq!(StatusCode::BAD_GATEWAY, actual.status);
    assert!(!actual.headers.contains_key("shallotfork-verdict"));
    assert!(!actual.headers.contains_key("shallotfork-replayed"));
}

/// A target's host corrupts memory: the answer's length is right, its content is not.
#[tokio::test]
async fn an_answer_that_differs_from_its_digest_is_not_passed_on() {
    for (body, expected) in [("milled", true), ("mixled", false)] {
        let answered = format!(
            "HTTP/1.1 200 OK\r\ncontent-digest: {DIGEST_OF_MILLED}\r\ncontent-length: 6\r\n\r\n{body}"
        );
        let actual = ask(&exchange(), Method::GET, answered).await;
        let differs = actual.map_err(|failure| failure.cause().clone());
        assert_eq!(expected, differs.is_ok());
        if !expected {
            assert_eq!(Err(FailureCause::AnswerDigestMismatch), differs);
        }
    }
}

/// A target answers with far more than was agreed on. The process must not hold it, and must
/// give back what it held of it.
#[tokio::test]
async fn an_answer_over_a_limit_is_dropped() {
    let declared = "HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\nhello world".to_owned();
    let chunked =
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\n\r\n"
            .to_owned();
    for answered in [declared, chunked] {
        let limit = ExchangeConfig { answer_max: Bytes::new(10), ..ExchangeConfig::default() };
        let limited = exchange_with(limit, standing_clock());
        let actual = ask(&limited, Method::GET, answered.clone()).await.expect_err("too large");
        assert_eq!(&FailureCause::AnswerTooLarge, actual.cause());

        let budget = BodyBudget::new(Bytes::new(10));
        let poor = exchange_within(ExchangeConfig::default(), standing_clock(), budget.clone());
        let actual = ask(&poor, Method::GET, answered).await.expect_err("no budget");
        assert_eq!(&FailureCause::BudgetFull, actual.cause());
        assert_eq!(Bytes::new(0), budget.held());
    }
}

#[tokio::test]
async fn a_body_holds_its_share_of_the_budget_until_its_last_clone_is_gone() {
    let budget = BodyBudget::new(Bytes::from_kib(1));
    let exchange = exchange_within(ExchangeConfig::default(), standing_clock(), budget.clone());
    let answered = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nmilled".to_owned();
    let answer = ask(&exchange, Method::GET, answered).await.expect("a whole answer");
    let clone = answer.body.clone();
    drop(answer);
    assert_eq!(Bytes::new(6), budget.held());
    drop(clone);
    assert_eq!(Bytes::new(0), budget.held());
}

/// A caller gives up; its answer comes late, while the next caller's request waits on the same
/// target. On a shared connection the next caller would be handed the first one's answer. The
/// target learns that nobody waits only when the connection ends.
#[tokio::test]
async fn a_late_answer_never_meets_another_request() {
    let target = RawTarget::start(|index, mut wire| async move {
        while wire.request().await.is_some() {
            if index == 0 {
                return wire.drain().await;
            }
            wire.write(b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond").await;
        }
    })
    .await;
    let exchange = exchange();
    let order = RequestBuilder::new(Method::POST);
    let given_up = exchange.send(order.attempt(target.target()));
    tokio::select! {
        biased;
        _ = given_up => panic!("it was to be given up"),
        () = until(|| target.seen.requests() == 1) => {}
    }
    target.closed().await;

    let actual = exchange.send(order.attempt(target.target())).await.expect("an answer");

    assert_eq!("second", actual.body);
    assert_eq!(2, target.seen.connections());
}

/// A faulty target answers each request twice in one piece. The second answer stays behind on the
/// connection; the next caller on it would be handed an answer that is not its own.
#[tokio::test]
async fn an_answer_sent_twice_meets_nobody_else() {
    const REQUESTS: usize = 50;
    let arrived = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&arrived);
    let target = RawTarget::start(move |_, mut wire| {
        let counted = Arc::clone(&counted);
        async move {
            while wire.request().await.is_some() {
                let number = counted.fetch_add(1, Ordering::SeqCst);
                let once = |kind: &str| {
                    format!("HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n{kind}-{number:02}")
                };
                wire.write(format!("{}{}", once("first"), once("again")).as_bytes()).await;
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

async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::task::yield_now().await;
    }
}

/// A gate that opens when told.
#[derive(Debug, Default)]
struct ShutGate {
    asked: Notify,
    refuses: bool,
}

impl ConnectionGate for ShutGate {
    fn open(
        &self,
        _target: Endpoint,
    ) -> std::pin::Pin<Box<dyn Future<Output = Option<ConnectionPermit>> + Send + '_>> {
        self.asked.notify_one();
        Box::pin(async {
            if !self.refuses {
                std::future::pending::<()>().await;
            }
            None
        })
    }
}

/// Many entries reconnect to a target at once. A connection that the gate holds back or refuses
/// has sent nothing, so that the caller may be told "not run".
#[tokio::test]
async fn a_connection_held_back_by_the_gate_is_not_run() {
    let target = RawTarget::start(|_, wire| wire.drain()).await;
    for refuses in [false, true] {
        let gate = Arc::new(ShutGate { refuses, ..ShutGate::default() });
        let config =
            ExchangeConfig { connect_timeout: Duration::from_millis(50), ..Default::default() };
        let budget = BodyBudget::new(Bytes::from_kib(1));
        let gated = Exchange::new(config, budget, Arc::clone(&gate) as _, standing_clock());
        let order = RequestBuilder::new(Method::POST).attempt(target.target());

        let actual = gated.expect("client").send(order).await.expect_err("no connection");

        gate.asked.notified().await;
        assert_eq!(Verdict::NotRun, actual.verdict());
        let refused = &FailureCause::ConnectRefusedByGate;
        assert_eq!(refuses, actual.cause() == refused, "{actual}");
    }
    assert_eq!(0, target.seen.connections());
}
