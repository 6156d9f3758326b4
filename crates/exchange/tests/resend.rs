//! What the HTTP libraries might send again, or elsewhere, by themselves.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use http::Method;
use shallotfork_types::{Mono, Verdict};
use support::{DEADLINE, RawTarget, RequestBuilder, exchange, exchange_with};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nmilled";
const ORDER: &[u8] = b"{\"drums\":2}";
const ROUNDS: usize = 300;

/// A target closes a connection that has been idle, just as the next order is written to it.
/// The pool may pick a new connection only while nothing of the order has left: the caller
/// would otherwise be charged twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_closing_idle_connection_never_doubles_a_request() {
    let target = RawTarget::start(|_, mut wire| async move {
        if wire.request().await.is_some() {
            wire.write(ANSWER).await;
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

        let runs = target.seen.runs(mark);
        match actual.map_err(|failure| failure.verdict()) {
            Ok(_) => assert_eq!(1, runs, "answered"),
            Err(Verdict::NotRun) => assert_eq!(0, runs, "not run"),
            Err(_) => assert!(runs <= 1, "ran {runs} times"),
        }
    }
}

/// A kept connection breaks while the second order is on it, at any byte. The first order went
/// well, so that the pool trusts the connection; the second one must still be sent only once.
#[tokio::test]
async fn a_kept_connection_cut_at_any_byte_is_not_replaced() {
    let size = order_size().await;
    for cut in 1..size {
        let target = RawTarget::start(move |_, mut wire| async move {
            wire.request().await;
            wire.write(ANSWER).await;
            wire.bytes(cut).await;
        })
        .await;
        let exchange = exchange();
        let order = RequestBuilder::new(Method::POST).with_body(ORDER);
        exchange.send(order.attempt(target.target())).await.expect("the first answer");

        let actual = exchange.send(order.attempt(target.target())).await;

        let expected = Verdict::MayHaveRun;
        assert_eq!(expected, actual.expect_err("a cut request").verdict(), "cut at {cut}");
        assert_eq!(1, target.seen.connections(), "cut at {cut}");
    }
}

async fn order_size() -> usize {
    let target = RawTarget::start(|_, mut wire| async move {
        wire.request().await;
        wire.write(ANSWER).await;
    })
    .await;
    let order = RequestBuilder::new(Method::POST).with_body(ORDER);
    exchange().send(order.attempt(target.target())).await.expect("an answer");
    target.seen.request_bytes()
}

/// A target answers an order with a redirect. A client that follows it replays the order at
/// another address, where nobody asked for it.
#[tokio::test]
async fn a_redirect_is_passed_on_and_not_followed() {
    let elsewhere = RawTarget::start(|_, mut wire| async move {
        wire.request().await;
        wire.write(ANSWER).await;
    })
    .await;
    for status in [301, 302, 303, 307, 308] {
        let location = format!("location: http://{}/", elsewhere.address);
        let answer = format!("HTTP/1.1 {status} Moved\r\n{location}\r\ncontent-length: 0\r\n\r\n");
        let target = RawTarget::start(move |_, mut wire| {
            let answer = answer.clone();
            async move {
                wire.request().await;
                wire.write(answer.as_bytes()).await;
            }
        })
        .await;
        let order = RequestBuilder::new(Method::POST).with_body(ORDER);

        let actual = exchange().send(order.attempt(target.target())).await.expect("an answer");

        assert_eq!(status, actual.status.as_u16());
        assert_eq!(0, elsewhere.seen.connections());
    }
}

/// A process is paused after it chose a target and wakes up when its caller has gone. The
/// order must stop at its first byte: nobody would learn that it ran.
#[tokio::test]
async fn a_request_whose_deadline_passed_on_the_way_sends_no_byte() {
    for body in [b"".as_slice(), ORDER] {
        let target = RawTarget::start(|_, wire| wire.drain()).await;
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
        assert_eq!(0, target.seen.request_bytes());
    }
}
