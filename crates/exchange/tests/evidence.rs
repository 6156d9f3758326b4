//! Failures that prove that a request did not run, and failures that don't.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::{Method, StatusCode};
use shallotfork_exchange::{AttemptFailure, FailureCause};
use shallotfork_types::{Mono, Verdict};
use support::{DEADLINE, RawConnection, RawTarget, RequestBuilder, exchange, exchange_with};

const ORDER: &[u8] = b"{\"drums\":2}";
const SHED: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 2\r\ncontent-length: 4\r\n\r\nbusy";

const FRAME_HEADERS: u8 = 1;
const FRAME_RST_STREAM: u8 = 3;
const FRAME_SETTINGS: u8 = 4;
const FRAME_GOAWAY: u8 = 7;
const FLAG_ACK: u8 = 1;
const PREFACE_BYTES: usize = 24;
const FRAME_HEADER_BYTES: usize = 9;
const REFUSED_STREAM: u32 = 7;
const CANCEL: u32 = 8;
const NO_ERROR: u32 = 0;
const INTERNAL_ERROR: u32 = 2;

async fn send_to_shedding_target(
    published: Option<StatusCode>,
) -> Result<StatusCode, AttemptFailure> {
    let target = RawTarget::start(|_, mut connection| async move {
        connection.request().await;
        connection.write(SHED).await;
    })
    .await;
    let address = target.target().with_shed_status(published);
    let order = RequestBuilder::new(Method::POST).with_body(ORDER);
    exchange().send(order.attempt(address)).await.map(|answer| answer.status)
}

/// Guards against a wrong "not run" verdict for a 503 answer. It means "not started" only if the
/// target's operators publish it as the shed status; otherwise the answer is forwarded.
#[tokio::test]
async fn only_published_shed_status_means_not_run() {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let published = send_to_shedding_target(Some(status)).await.expect_err("shed");
    let retry_after = Some(Duration::from_secs(2));
    assert_eq!(Verdict::NotRun, published.verdict());
    assert_eq!(&FailureCause::Shed { retry_after }, published.cause());
    assert_eq!(Ok(status), send_to_shedding_target(None).await);
}

async fn write_frame(
    connection: &mut RawConnection,
    kind: u8,
    flags: u8,
    stream: u32,
    payload: &[u8],
) {
    let size = u32::try_from(payload.len()).expect("small").to_be_bytes();
    let mut frame = vec![size[1], size[2], size[3], kind, flags];
    frame.extend(stream.to_be_bytes());
    frame.extend(payload);
    connection.write(&frame).await;
}

/// Performs the HTTP/2 handshake, reads up to the headers of a request and returns its stream id.
async fn read_stream(connection: &mut RawConnection) -> u32 {
    connection.bytes(PREFACE_BYTES).await;
    write_frame(connection, FRAME_SETTINGS, 0, 0, &[]).await;
    loop {
        let header = connection.bytes(FRAME_HEADER_BYTES).await;
        let size = u32::from_be_bytes([0, header[0], header[1], header[2]]);
        connection.bytes(size as usize).await;
        if header[3] == FRAME_SETTINGS && header[4] & FLAG_ACK == 0 {
            write_frame(connection, FRAME_SETTINGS, FLAG_ACK, 0, &[]).await;
        }
        if header[3] == FRAME_HEADERS {
            return u32::from_be_bytes([header[5], header[6], header[7], header[8]]);
        }
    }
}

/// How an HTTP/2 target ends a stream after it has read the headers.
#[derive(Debug, Clone, Copy)]
enum StreamEnd {
    Reset(u32),
    GoAway { streams_below: u32, reason: u32 },
    Close,
}

async fn send_and_fail(end: StreamEnd) -> (Verdict, usize) {
    let target = RawTarget::start(move |_, mut connection| async move {
        let stream = read_stream(&mut connection).await;
        match end {
            StreamEnd::Reset(reason) => {
                write_frame(&mut connection, FRAME_RST_STREAM, 0, stream, &reason.to_be_bytes())
                    .await;
                connection.drain().await;
            }
            StreamEnd::GoAway { streams_below, reason } => {
                let last = stream.saturating_sub(streams_below);
                let payload = [last.to_be_bytes(), reason.to_be_bytes()].concat();
                write_frame(&mut connection, FRAME_GOAWAY, 0, 0, &payload).await;
            }
            StreamEnd::Close => {}
        }
    })
    .await;
    let address = target.target().with_http2(true);
    let order = RequestBuilder::new(Method::POST).with_body(ORDER);
    let failure = exchange().send(order.attempt(address)).await.expect_err("no answer");
    (failure.verdict(), target.stats.connections())
}

/// Guards against duplicate runs after an HTTP/2 `RST_STREAM` or `GOAWAY`. Either can mean that the
/// order was not started; a retry by the HTTP library, or a wrong "not run", would run it twice.
#[tokio::test]
async fn only_http2_refusals_mean_not_run() {
    let not_run = [
        StreamEnd::Reset(REFUSED_STREAM),
        StreamEnd::GoAway { streams_below: 1, reason: NO_ERROR },
    ];
    for end in not_run {
        assert_eq!((Verdict::NotRun, 1), send_and_fail(end).await, "{end:?}");
    }
    let may_have_run = [
        StreamEnd::Reset(CANCEL),
        StreamEnd::GoAway { streams_below: 0, reason: NO_ERROR },
        StreamEnd::GoAway { streams_below: 1, reason: INTERNAL_ERROR },
        StreamEnd::Close,
    ];
    for end in may_have_run {
        assert_eq!((Verdict::MayHaveRun, 1), send_and_fail(end).await, "{end:?}");
    }
}

/// Guards against an unproven "not run" when a process resumes after the deadline of a request to
/// an HTTP/2 target. On HTTP/2 the headers are sent before the body is polled.
#[tokio::test]
async fn expired_http2_request_may_have_run() {
    let target = RawTarget::start(|_, mut connection| async move {
        read_stream(&mut connection).await;
        connection.drain().await;
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

/// Guards against a wrong verdict when a target has stopped and refuses connections: nothing
/// was sent, so the request may be retried at another target immediately.
#[tokio::test]
async fn refused_connection_is_not_run() {
    let target = RawTarget::start(|_, _| async {}).await;
    let address = target.target();
    target.stop().await;

    let order = RequestBuilder::new(Method::POST).with_body(ORDER);
    let actual = exchange().send(order.attempt(address)).await.expect_err("no connection");

    assert_eq!((Verdict::NotRun, &FailureCause::ConnectFailed), (actual.verdict(), actual.cause()));
}
