//! Failures after a request was sent which prove that it did not run, and those which don't.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::{Method, StatusCode};
use shallotfork_exchange::{AttemptFailure, FailureCause};
use shallotfork_types::{Mono, Verdict};
use support::{DEADLINE, RawTarget, RequestBuilder, Wire, exchange, exchange_with};

const ORDER: &[u8] = b"{\"drums\":2}";
const SHED: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 2\r\ncontent-length: 4\r\n\r\nbusy";

const FRAME_HEADERS: u8 = 1;
const FRAME_RST_STREAM: u8 = 3;
const FRAME_SETTINGS: u8 = 4;
const FRAME_GOAWAY: u8 = 7;
const FLAG_ACK: u8 = 1;
const PREFACE_BYTES: usize = 24;
const FRAME_HEAD_BYTES: usize = 9;
const REFUSED_STREAM: u32 = 7;
const CANCEL: u32 = 8;
const NO_ERROR: u32 = 0;
const INTERNAL_ERROR: u32 = 2;

async fn shed_with(published: Option<StatusCode>) -> Result<StatusCode, AttemptFailure> {
    let target = RawTarget::start(|_, mut wire| async move {
        wire.request().await;
        wire.write(SHED).await;
    })
    .await;
    let address = target.target().with_shed_status(published);
    let order = RequestBuilder::new(Method::POST).with_body(ORDER);
    exchange().send(order.attempt(address)).await.map(|answer| answer.status)
}

/// An overloaded target answers 503. Only where its operators publish that 503 means "not
/// started" may the caller be told so; elsewhere the answer is the target's own.
#[tokio::test]
async fn a_shed_status_is_evidence_only_where_it_is_published() {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let published = shed_with(Some(status)).await.expect_err("shed");
    let retry_after = Some(Duration::from_secs(2));
    assert_eq!(Verdict::NotRun, published.verdict());
    assert_eq!(&FailureCause::Shed { retry_after }, published.cause());
    assert_eq!(Ok(status), shed_with(None).await);
}

async fn write_frame(wire: &mut Wire, kind: u8, flags: u8, stream: u32, payload: &[u8]) {
    let size = u32::try_from(payload.len()).expect("small").to_be_bytes();
    let mut frame = vec![size[1], size[2], size[3], kind, flags];
    frame.extend(stream.to_be_bytes());
    frame.extend(payload);
    wire.write(&frame).await;
}

/// Greets an HTTP/2 client and reads until its request's headers; gives the stream's number.
async fn read_stream(wire: &mut Wire) -> u32 {
    wire.bytes(PREFACE_BYTES).await;
    write_frame(wire, FRAME_SETTINGS, 0, 0, &[]).await;
    loop {
        let head = wire.bytes(FRAME_HEAD_BYTES).await;
        let size = u32::from_be_bytes([0, head[0], head[1], head[2]]);
        wire.bytes(size as usize).await;
        if head[3] == FRAME_SETTINGS && head[4] & FLAG_ACK == 0 {
            write_frame(wire, FRAME_SETTINGS, FLAG_ACK, 0, &[]).await;
        }
        if head[3] == FRAME_HEADERS {
            return u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
        }
    }
}

/// How an HTTP/2 target ends a stream that it has read the headers of.
#[derive(Debug, Clone, Copy)]
enum Ending {
    Reset(u32),
    GoAway { streams_below: u32, reason: u32 },
    Close,
}

async fn failure_by(ending: Ending) -> (Verdict, usize) {
    let target = RawTarget::start(move |_, mut wire| async move {
        let stream = read_stream(&mut wire).await;
        match ending {
            Ending::Reset(reason) => {
                write_frame(&mut wire, FRAME_RST_STREAM, 0, stream, &reason.to_be_bytes()).await;
                wire.drain().await;
            }
            Ending::GoAway { streams_below, reason } => {
                let last = stream.saturating_sub(streams_below);
                let payload = [last.to_be_bytes(), reason.to_be_bytes()].concat();
                write_frame(&mut wire, FRAME_GOAWAY, 0, 0, &payload).await;
            }
            Ending::Close => {}
        }
    })
    .await;
    let address = target.target().with_http2(true);
    let order = RequestBuilder::new(Method::POST).with_body(ORDER);
    let failure = exchange().send(order.attempt(address)).await.expect_err("no answer");
    (failure.verdict(), target.seen.connections())
}

/// An HTTP/2 target refuses a stream, or says that it goes away. Both can mean that the order
/// was not started; a library that repeats it by itself, or a reset read as proof, doubles it.
#[tokio::test]
async fn http2_refusals_are_evidence_and_other_endings_are_not() {
    let not_run =
        [Ending::Reset(REFUSED_STREAM), Ending::GoAway { streams_below: 1, reason: NO_ERROR }];
    for ending in not_run {
        assert_eq!((Verdict::NotRun, 1), failure_by(ending).await, "{ending:?}");
    }
    let may_have_run = [
        Ending::Reset(CANCEL),
        Ending::GoAway { streams_below: 0, reason: NO_ERROR },
        Ending::GoAway { streams_below: 1, reason: INTERNAL_ERROR },
        Ending::Close,
    ];
    for ending in may_have_run {
        assert_eq!((Verdict::MayHaveRun, 1), failure_by(ending).await, "{ending:?}");
    }
}

/// A process wakes up late with an order for an HTTP/2 target. HTTP/2 sends the headers before
/// it asks for the body, so that "not run" would be a guess.
#[tokio::test]
async fn a_late_request_on_http2_is_not_called_not_run() {
    let target = RawTarget::start(|_, mut wire| async move {
        read_stream(&mut wire).await;
        wire.drain().await;
    })
    .await;
    let reads = AtomicUsize::new(0);
    let now = move || match reads.fetch_add(1, Ordering::SeqCst) {
        0 => Mono::ZERO,
        _ => Mono::ZERO.plus(DEADLINE),
    };
    let address = target.target().with_http2(true);
    let order = RequestBuilder::new(Method::POST).with_body(ORDER);

    let actual =
        exchange_with(Default::default(), Arc::new(now)).send(order.attempt(address)).await;

    assert_eq!(Verdict::MayHaveRun, actual.expect_err("late").verdict());
}

/// A target's machine is gone. Nothing was sent, so that the caller may try elsewhere at once.
#[tokio::test]
async fn a_refused_connection_is_not_run() {
    let target = RawTarget::start(|_, _| async {}).await;
    let address = target.target();
    target.stop().await;

    let order = RequestBuilder::new(Method::POST).with_body(ORDER);
    let actual = exchange().send(order.attempt(address)).await.expect_err("no connection");

    assert_eq!((Verdict::NotRun, &FailureCause::ConnectFailed), (actual.verdict(), actual.cause()));
}
