//! Requests that the HTTP libraries might resend, or send elsewhere, by themselves.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use http::Method;
use shallotfork_types::{Mono, Verdict};
use support::{DEADLINE, RawTarget, RequestBuilder, exchange, exchange_with};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nmilled";
const ORDER: &[u8] = b"{\"drums\":2}";
const ROUNDS: usize = 300;

/// Guards against a duplicate run when a target closes an idle connection while the next order is
/// written to it. The HTTP library may only use a new connection if no byte of the order was sent;
/// otherwise the caller could be charged twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn closing_idle_connection_never_duplicates_request() {
    let target = RawTarget::start(|_, mut connection| async move {
        if connection.request().await.is_some() {
            connection.write(ANSWER).await;
        }
    })
    .await;
    let exchange = exchange();
    for mark in 0..ROUNDS {
        for _ in 0..mark % 7 {
            tokio::task::yield_now().await;
        }
        let order = RequestBuilder::new(Method::POST).with_body(ORDER).with_mark(mark);

        let actual = exchange.send(order.attempt(target.target())).await;

        let runs = target.stats.runs(mark);
        match actual.map_err(|failure| failure.verdict()) {
            Ok(_) => assert_eq!(1, runs, "answered"),
            Err(Verdict::NotRun) => assert_eq!(0, runs, "not run"),
            Err(_) => assert!(runs <= 1, "ran {runs} times"),
        }
    }
}

/// Guards against a resent order when a reused connection breaks at any byte of the second order.
/// The pool considers the connection usable, because the first order succeeded.
#[tokio::test]
async fn truncated_reused_connection_is_not_retried() {
    let size = order_size().await;
    for cut in 1..size {
        let target = RawTarget::start(move |_, mut connection| async move {
            connection.request().await;
            connection.write(ANSWER).await;
            connection.bytes(cut).await;
        })
        .await;
        let exchange = exchange();
        let order = RequestBuilder::new(Method::POST).with_body(ORDER);
        exchange.send(order.attempt(target.target())).await.expect("the first answer");

        let actual = exchange.send(order.attempt(target.target())).await;

        let expected = Verdict::MayHaveRun;
        assert_eq!(expected, actual.expect_err("a truncated request").verdict(), "cut at {cut}");
        assert_eq!(1, target.stats.connections(), "cut at {cut}");
    }
}

async fn order_size() -> usize {
    let target = RawTarget::start(|_, mut connection| async move {
        connection.request().await;
        connection.write(ANSWER).await;
    })
    .await;
    let order = RequestBuilder::new(Method::POST).with_body(ORDER);
    exchange().send(order.attempt(target.target())).await.expect("an answer");
    target.stats.request_bytes()
}

/// Guards against a client that follows the redirect of a target and resends the order to another
/// address.
#[tokio::test]
async fn redirect_is_forwarded_and_not_followed() {
    let elsewhere = RawTarget::start(|_, mut connection| async move {
        connection.request().await;
        connection.write(ANSWER).await;
    })
    .await;
    for status in [301, 302, 303, 307, 308] {
        let location = format!("location: http://{}/", elsewhere.address);
        let answer = format!("HTTP/1.1 {status} Moved\r\n{location}\r\ncontent-length: 0\r\n\r\n");
        let target = RawTarget::start(move |_, mut connection| {
            let answer = answer.clone();
            async move {
                connection.request().await;
                connection.write(answer.as_bytes()).await;
            }
        })
        .await;
        let order = RequestBuilder::new(Method::POST).with_body(ORDER);

        let actual = exchange().send(order.attempt(target.target())).await.expect("an answer");

        assert_eq!(status, actual.status.as_u16());
        assert_eq!(0, elsewhere.stats.connections());
    }
}

/// Guards against sending an order after its deadline, when a process was paused after the
/// selection of a target. No caller would receive the result.
#[tokio::test]
async fn expired_request_sends_no_byte() {
    for body in [b"".as_slice(), ORDER] {
        let target = RawTarget::start(|_, connection| connection.drain()).await;
        let reads = Arc::new(AtomicUsize::new(0));
        let now = move || match reads.fetch_add(1, Ordering::SeqCst) {
            0 => Mono::ZERO,
            _ => Mono::ZERO.plus(DEADLINE),
        };
        let exchange = exchange_with(Default::default(), Arc::new(now));
        let order = RequestBuilder::new(Method::POST).with_body(body);

        let actual = exchange.send(order.attempt(target.target())).await;

        assert_eq!(Verdict::NotRun, actual.expect_err("late").verdict());
        drop(exchange);
        target.closed().await;
        assert_eq!(0, target.stats.request_bytes());
    }
}
