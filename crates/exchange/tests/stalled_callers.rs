//! Callers that read answers slowly, or stop reading.

#[path = "support/forwarder.rs"]
mod forwarder;
mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use forwarder::{Forwarder, ForwarderConfig, TestPacer, WAIT_MAX, Writing, body, wait_until};
use http::Request;
use shallotfork_exchange::{ServeConfig, TransferEnd};
use shallotfork_types::Bytes;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

const LARGE: usize = 2 * 1024 * 1024;
const TIMEOUT: Duration = Duration::from_millis(300);

fn all_writings() -> [Writing; 3] {
    [Writing::Plain, Writing::Unpaced, Writing::paced()]
}

fn with_stall_timeout(writing: Writing) -> ForwarderConfig {
    let mut config = ForwarderConfig::new(writing);
    config.serve.stall_timeout = TIMEOUT;
    config
}

/// Guards against callers that stop reading and hold memory and connections forever. The caller
/// must not take what it has for the whole answer.
#[tokio::test]
async fn stopped_caller_is_disconnected() {
    for writing in all_writings() {
        let is_reported = !matches!(writing, Writing::Plain);
        let port = Forwarder::start(with_stall_timeout(writing)).await;
        let mut caller = port.connect().await;
        caller.send(&[LARGE]).await;
        port.wait_for_written(1).await;
        let waiting_since = Instant::now();
        wait_until("the connection is closed", || port.control.connections() == 0).await;
        let took = waiting_since.elapsed();
        assert!(took >= TIMEOUT && took < 10 * TIMEOUT, "closed after {took:?}");
        assert_eq!(1, port.control.stalled_connections());
        assert_eq!(Bytes::new(0), port.budget.held());
        if is_reported {
            port.wait_for_reports(1).await;
            let report = port.reports()[0];
            assert_eq!(TransferEnd::Stalled, report.end);
            assert!(report.sent < report.total, "{report:?}");
        }
        assert!(caller.answer().await.is_err(), "the answer looks complete");
    }
}

/// Guards against kernel buffers that grow to megabytes for a caller that reads nothing: the budget
/// does not count them.
#[tokio::test]
async fn kernel_takes_little_of_an_unread_answer() {
    const TAKEN_MAX_BYTES: u64 = 1024 * 1024;
    let mut config = with_stall_timeout(Writing::Unpaced);
    config.serve.send_buffer = ServeConfig::default().send_buffer;
    let port = Forwarder::start(config).await;
    let mut caller = port.connect().await;
    caller.send(&[8 * LARGE]).await;
    port.wait_for_reports(1).await;
    let report = port.reports()[0];
    assert_eq!(TransferEnd::Stalled, report.end);
    assert!(report.sent.value() < TAKEN_MAX_BYTES, "{report:?}");
}

/// Guards against callers that send requests without reading, whose answers are each small.
#[tokio::test]
async fn caller_that_reads_no_small_answers_is_disconnected() {
    let port = Forwarder::start(with_stall_timeout(Writing::Plain)).await;
    let mut caller = port.connect().await;
    let sizes = [1000; 400];
    caller.send(&sizes).await;
    wait_until("the connection is closed", || port.control.stalled_connections() == 1).await;
    assert_eq!(0, port.control.in_flight());
}

/// Guards against cutting a caller that reads slowly but steadily, by any of the port's timeouts.
#[tokio::test]
async fn slow_caller_gets_complete_answer() {
    const SIZE: usize = 384 * 1024;
    for writing in all_writings() {
        let is_reported = !matches!(writing, Writing::Plain);
        let config = ForwarderConfig::new(writing).with_timeouts(TIMEOUT);
        let port = Forwarder::start(config).await;
        let mut caller = port.connect().await;
        caller.send(&[SIZE]).await;
        let started_at = Instant::now();
        let answer = caller.answer_slowly(8 * 1024, Duration::from_millis(30)).await;
        assert_eq!(body(SIZE), answer.expect("a complete answer"));
        assert!(started_at.elapsed() > 4 * TIMEOUT);
        assert_eq!(0, port.control.stalled_connections());
        if is_reported {
            port.wait_for_reports(1).await;
            assert_eq!(vec![TransferEnd::Completed], port.ends());
        }
    }
}

/// Guards against cutting a slow caller because the kernel's buffer is so large that the kernel
/// reports no progress for longer than the timeout.
#[tokio::test]
async fn slow_caller_behind_large_send_buffer_is_not_stalled() {
    for writing in all_writings() {
        let mut config = with_stall_timeout(writing);
        config.serve.send_buffer = Bytes::from_mib(1);
        let port = Forwarder::start(config).await;
        let mut caller = port.connect().await;
        caller.send(&[8 * LARGE]).await;
        caller.head().await.expect("a head");
        let reading_since = Instant::now();
        let mut piece = vec![0; 32 * 1024];
        while reading_since.elapsed() < 8 * TIMEOUT {
            caller.stream.read_exact(&mut piece).await.expect("a piece");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(0, port.control.stalled_connections());
    }
}

/// Guards against one caller that delays others.
#[tokio::test]
async fn stopped_callers_delay_no_other() {
    for writing in all_writings() {
        let port = Forwarder::start(ForwarderConfig::new(writing)).await;
        let mut stopped = Vec::new();
        for _ in 0..10 {
            let mut caller = port.connect().await;
            caller.send(&[LARGE]).await;
            stopped.push(caller);
        }
        port.wait_for_written(10).await;
        let started_at = Instant::now();
        for size in [10, 100_000, 10, 100_000] {
            assert_eq!(body(size), port.get(size).await.body);
        }
        let took = started_at.elapsed();
        assert!(took < Duration::from_secs(2), "others waited for {took:?}");
        assert_eq!(0, port.control.stalled_connections());
    }
}

/// Opens an HTTP/2 connection that receives at most `window_bytes` of each answer.
async fn http2_caller(
    port: &Forwarder,
    window_bytes: u32,
) -> h2::client::SendRequest<bytes::Bytes> {
    let stream = TcpStream::connect(port.address).await.expect("connect");
    let handshake = h2::client::Builder::new()
        .initial_window_size(window_bytes)
        .handshake::<_, bytes::Bytes>(stream);
    let (sender, connection) = handshake.await.expect("a handshake");
    tokio::spawn(async move {
        let _ended = connection.await;
    });
    sender
}

async fn http2_body(
    sender: h2::client::SendRequest<bytes::Bytes>,
    size: usize,
) -> Result<h2::RecvStream, h2::Error> {
    let mut sender = sender.ready().await?;
    let request = Request::get(format!("http://orders/{size}")).body(()).expect("a request");
    let (answer, _) = sender.send_request(request, true)?;
    Ok(answer.await?.into_body())
}

/// Guards against HTTP/2 callers that stop reading: the socket accepts bytes, but the window of the
/// answer's stream stays closed.
#[tokio::test]
async fn closed_http2_window_is_a_stall() {
    for writing in [Writing::Unpaced, Writing::paced()] {
        let port = Forwarder::start(with_stall_timeout(writing)).await;
        let sender = http2_caller(&port, 20_000).await;
        let _unread = http2_body(sender, LARGE).await.expect("a head");
        port.wait_for_reports(1).await;
        assert_eq!(
            (vec![TransferEnd::Stalled], 1),
            (port.ends(), port.control.stalled_connections())
        );
        assert_eq!(Bytes::new(0), port.budget.held());
    }
}

/// Guards against HTTP/2 answers that are cut or reported wrongly when their caller reads slowly.
#[tokio::test]
async fn slow_http2_caller_gets_complete_answer() {
    const SIZE: usize = 300_000;
    for writing in [Writing::Unpaced, Writing::paced()] {
        let config = ForwarderConfig::new(writing).with_timeouts(TIMEOUT);
        let port = Forwarder::start(config).await;
        let sender = http2_caller(&port, 20_000).await;
        let mut answer = http2_body(sender, SIZE).await.expect("a head");
        let mut read = Vec::new();
        while let Some(piece) = answer.data().await {
            let piece = piece.expect("a piece");
            tokio::time::sleep(Duration::from_millis(30)).await;
            answer.flow_control().release_capacity(piece.len()).expect("a window");
            read.extend_from_slice(&piece);
        }
        assert_eq!(body(SIZE).as_bytes(), read);
        port.wait_for_reports(1).await;
        assert_eq!(vec![TransferEnd::Completed], port.ends());

        let sender = http2_caller(&port, 20_000).await;
        let abandoned = http2_body(sender, SIZE).await.expect("a head");
        drop(abandoned);
        port.wait_for_reports(2).await;
        assert_eq!(TransferEnd::CallerLeft, port.ends()[1]);
    }
}

/// Guards against a stall that is reported while the pacer holds back an HTTP/2 answer.
#[tokio::test]
async fn http2_answer_that_waits_for_pacer_is_not_stalled() {
    let pacer = Arc::new(TestPacer::new(1));
    let writing = Writing::Paced(Arc::clone(&pacer));
    let port = Forwarder::start(ForwarderConfig::new(writing).with_timeouts(TIMEOUT)).await;
    let sender = http2_caller(&port, 1024 * 1024).await;
    let mut answer = http2_body(sender, 100_000).await.expect("a head");
    tokio::time::sleep(4 * TIMEOUT).await;
    pacer.chunks.add_permits(100);
    let reading = async {
        let mut size = 0;
        while let Some(piece) = answer.data().await {
            let piece_bytes = piece.expect("a piece").len();
            answer.flow_control().release_capacity(piece_bytes).expect("a window");
            size += piece_bytes;
        }
        size
    };
    assert_eq!(100_000, tokio::time::timeout(WAIT_MAX, reading).await.expect("in time"));
    assert_eq!(0, port.control.stalled_connections());
}
