//! HTTP/1.1 connections that a target closes after every possible byte.

mod support;

use http::Method;
use shallotfork_types::Verdict;
use support::{RawTarget, RequestBuilder, exchange};

const ANSWER: &[u8] = b"HTTP/1.1 201 Created\r\ncontent-length: 9\r\n\r\nmilled: 2";
const CHUNKED: &[u8] =
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nmill\r\n5\r\ned: 2\r\n0\r\n\r\n";
const ORDER: &[u8] = b"{\"order\":\"saltbush pepper\",\"drums\":2}";

/// Guards against a duplicate run or a truncated answer when a target runs an order and crashes
/// while it writes the answer.
#[tokio::test]
async fn truncated_answer_may_have_run_and_is_not_retried() {
    for answer in [ANSWER, CHUNKED] {
        for cut in 0..=answer.len() {
            let target = RawTarget::start(move |_, mut connection| async move {
                if connection.request().await.is_some() {
                    connection.write(&answer[..cut]).await;
                }
            })
            .await;
            let attempt =
                RequestBuilder::new(Method::POST).with_body(ORDER).attempt(target.target());

            let actual = exchange().send(attempt).await;

            if cut == answer.len() {
                assert_eq!("milled: 2", actual.expect("a complete answer").body);
            } else {
                let expected = Verdict::MayHaveRun;
                assert_eq!(
                    expected,
                    actual.expect_err("a truncated answer").verdict(),
                    "cut at {cut}"
                );
            }
            assert_eq!(
                (1, 1),
                (target.stats.connections(), target.stats.requests()),
                "cut at {cut}"
            );
        }
    }
}

/// Guards against a wrong verdict when a target crashes while it receives an order. The target's
/// kernel may hold unread bytes, so the verdict is "not run" only if no byte was written.
#[tokio::test]
async fn truncated_request_is_not_resent() {
    let size = request_size().await;
    for cut in 0..size {
        for resets in [false, true] {
            let target = RawTarget::start(move |_, mut connection| async move {
                connection.bytes(cut).await;
                if resets {
                    connection.reset();
                }
            })
            .await;
            let attempt =
                RequestBuilder::new(Method::POST).with_body(ORDER).attempt(target.target());

            let actual = exchange().send(attempt).await.expect_err("a truncated request").verdict();

            if cut > 0 {
                assert_eq!(Verdict::MayHaveRun, actual, "cut at {cut}");
            }
            assert_eq!(1, target.stats.connections(), "cut at {cut}");
        }
    }
}

async fn request_size() -> usize {
    let target = RawTarget::start(|_, mut connection| async move {
        connection.request().await;
        connection.write(ANSWER).await;
    })
    .await;
    let attempt = RequestBuilder::new(Method::POST).with_body(ORDER).attempt(target.target());
    exchange().send(attempt).await.expect("an answer");
    target.stats.request_bytes()
}
