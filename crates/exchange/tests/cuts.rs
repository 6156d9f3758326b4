//! Connections that targets cut, at every byte.

mod support;

use http::Method;
use shallotfork_types::Verdict;
use support::{RawTarget, RequestBuilder, exchange};

const ANSWER: &[u8] = b"HTTP/1.1 201 Created\r\ncontent-length: 9\r\n\r\nmilled: 2";
const CHUNKED: &[u8] =
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nmill\r\n5\r\ned: 2\r\n0\r\n\r\n";
const ORDER: &[u8] = b"{\"order\":\"saltbush pepper\",\"drums\":2}";

/// A caller lodges an order. The target mills it, and crashes while it writes the answer.
/// A second try would mill the order again, and half an answer would pass for a whole one.
#[tokio::test]
async fn an_answer_cut_at_any_byte_may_have_run_and_is_asked_once() {
    for answer in [ANSWER, CHUNKED] {
        for cut in 0..=answer.len() {
            let target = RawTarget::start(move |_, mut wire| async move {
                if wire.request().await.is_some() {
                    wire.write(&answer[..cut]).await;
                }
            })
            .await;
            let attempt =
                RequestBuilder::new(Method::POST).with_body(ORDER).attempt(target.target());

            let actual = exchange().send(attempt).await;

            if cut == answer.len() {
                assert_eq!("milled: 2", actual.expect("a whole answer").body);
            } else {
                let expected = Verdict::MayHaveRun;
                assert_eq!(expected, actual.expect_err("a cut answer").verdict(), "cut at {cut}");
            }
            assert_eq!((1, 1), (target.seen.connections(), target.seen.requests()), "cut at {cut}");
        }
    }
}

/// A target crashes while an order arrives. Bytes that it never read may still lie in its
/// kernel, so that "not run" may only be said when none was written at all.
#[tokio::test]
async fn a_request_cut_at_any_byte_is_not_sent_again() {
    let whole = request_size().await;
    for cut in 0..whole {
        for resets in [false, true] {
            let target = RawTarget::start(move |_, mut wire| async move {
                wire.bytes(cut).await;
                if resets {
                    wire.reset();
                }
            })
            .await;
            let attempt =
                RequestBuilder::new(Method::POST).with_body(ORDER).attempt(target.target());

            let actual = exchange().send(attempt).await.expect_err("a cut request").verdict();

            if cut > 0 {
                assert_eq!(Verdict::MayHaveRun, actual, "cut at {cut}");
            }
            assert_eq!(1, target.seen.connections(), "cut at {cut}");
        }
    }
}

async fn request_size() -> usize {
    let target = RawTarget::start(|_, mut wire| async move {
        wire.request().await;
        wire.write(ANSWER).await;
    })
    .await;
    let attempt = RequestBuilder::new(Method::POST).with_body(ORDER).attempt(target.target());
    exchange().send(attempt).await.expect("an answer");
    target.seen.request_bytes()
}
