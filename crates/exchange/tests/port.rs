//! The port for callers: limits on connections, timeouts and headers, and the graceful stop.

#[path = "support/test_server.rs"]
mod test_server;

use std::time::{Duration, Instant};

use shallotfork_exchange::{ServeConfig, ServeControl, ServedConnections, ServedLimits};
use shallotfork_types::Bytes;
use test_server::{EchoEndpoint, TestServer, read_answer, read_to_end, status};
use tokio::io::AsyncWriteExt;

const HEADER_TIMEOUT: Duration = Duration::from_millis(300);
/// The idle timeout of a port by default.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(60);
const GET: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const HOLD: &[u8] = b"GET /hold HTTP/1.1\r\nhost: a\r\n\r\n";

/// Guards against stalled connections that send nothing or part of a request. Each would occupy a
/// file descriptor forever, until no caller can connect any more.
#[tokio::test]
async fn stalled_connections_are_closed() {
    let config = ServeConfig { header_timeout: HEADER_TIMEOUT, ..ServeConfig::default() };
    let server = TestServer::start(EchoEndpoint::new(), config).await;
    for sent in [b"".as_slice(), b"G", b"PRI * HTTP/2.0\r\n", b"GET / HTTP/1.1\r\nhost: a\r\n"] {
        let mut stalled = server.connect().await;
        stalled.write_all(sent).await.expect("write");
        assert_eq!("200", status(&server.send("GET / HTTP/1.1\r\nhost: a\r\n\r\n").await));
        let answer = read_to_end(stalled).await;
        assert!(["none", "408"].contains(&status(&answer)), "{answer}");
    }
}

/// Guards against a sender that keeps a connection open by sending its headers byte by byte, so
/// that a timeout between bytes would never expire.
#[tokio::test]
async fn slow_sender_is_closed() {
    let config = ServeConfig { header_timeout: HEADER_TIMEOUT, ..ServeConfig::default() };
    let server = TestServer::start(EchoEndpoint::new(), config).await;
    let mut stream = server.connect().await;
    stream.write_all(b"GET / HTTP/1.1\r\nx: ").await.expect("write");
    while stream.write_all(b"x").await.is_ok() {
        tokio::time::sleep(HEADER_TIMEOUT / 10).await;
    }
    assert_eq!(0, server.control.in_flight());
}

/// Guards against a kept connection that is closed before its idle timeout, because the timeout for
/// headers runs while no request is being received. The caller's next request would be lost.
#[tokio::test]
async fn kept_connection_outlives_the_header_timeout() {
    let config = ServeConfig { header_timeout: HEADER_TIMEOUT, ..ServeConfig::default() };
    let server = TestServer::start(EchoEndpoint::new(), config).await;
    let mut kept = server.connect().await;
    for _ in 0..3 {
        kept.write_all(GET).await.expect("write");
        assert_eq!("200", status(&read_answer(&mut kept).await));
        // Line ends between two requests do not start the headers of the second one.
        kept.write_all(b"\r\n").await.expect("write");
        tokio::time::sleep(2 * HEADER_TIMEOUT).await;
    }
}

/// Guards against a sender that keeps a used connection open by sending part of a request, for which
/// the timeout must still hold.
#[tokio::test]
async fn incomplete_head_on_a_kept_connection_times_out() {
    let config = ServeConfig { header_timeout: HEADER_TIMEOUT, ..ServeConfig::default() };
    let server = TestServer::start(EchoEndpoint::new(), config).await;
    let mut kept = server.connect().await;
    kept.write_all(GET).await.expect("write");
    read_answer(&mut kept).await;
    tokio::time::sleep(2 * HEADER_TIMEOUT).await;
    let sent_at = Instant::now();
    kept.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n").await.expect("write");
    read_to_end(kept).await;
    assert!(sent_at.elapsed() >= HEADER_TIMEOUT);
    assert!(sent_at.elapsed() < IDLE_TIMEOUT_DEFAULT / 2, "{:?}", sent_at.elapsed());
}

/// Guards against connections that are closed by a fixed timeout although the operator allows callers
/// to keep them idle for longer, or for less.
#[tokio::test]
async fn idle_timeout_can_be_replaced_while_connections_are_open() {
    let config = ServeConfig {
        header_timeout: HEADER_TIMEOUT,
        idle_timeout: HEADER_TIMEOUT,
        ..ServeConfig::default()
    };
    let server = TestServer::start(EchoEndpoint::new(), config).await;
    let mut kept = server.connect().await;
    kept.write_all(GET).await.expect("write");
    read_answer(&mut kept).await;
    server.control.set_idle_timeout(4 * HEADER_TIMEOUT);
    tokio::time::sleep(3 * HEADER_TIMEOUT).await;
    kept.write_all(GET).await.expect("write");
    assert_eq!("200", status(&read_answer(&mut kept).await));
    let answered_at = Instant::now();
    read_to_end(kept).await;
    assert!(answered_at.elapsed() >= 3 * HEADER_TIMEOUT, "{:?}", answered_at.elapsed());
}

#[tokio::test]
async fn head_over_limit_is_rejected() {
    let config = ServeConfig { header_max: Bytes::from_kib(8), ..ServeConfig::default() };
    let server = TestServer::start(EchoEndpoint::new(), config).await;
    let large = "x".repeat(9000);
    let answer = server.send(&format!("GET / HTTP/1.1\r\nhost: a\r\nlarge: {large}\r\n\r\n")).await;
    assert_eq!("431", status(&answer));
}

/// Guards against connections without use that keep new callers out, and against exceeding the
/// connection limit.
#[tokio::test]
async fn connection_over_limit_replaces_the_longest_idle_one() {
    let (server, connections) = start_with_two_connections().await;
    let mut first = server.connect().await;
    let mut second = server.connect().await;
    for stream in [&mut first, &mut second] {
        stream.write_all(GET).await.expect("write");
        read_answer(stream).await;
    }
    let mut third = server.connect().await;
    third.write_all(GET).await.expect("write");
    assert_eq!("200", status(&read_answer(&mut third).await));
    assert_eq!("", read_to_end(first).await);
    second.write_all(GET).await.expect("write");
    assert_eq!("200", status(&read_answer(&mut second).await));
    assert_eq!((2, 1), (server.control.connections(), connections.evicted_count()));
}

/// Guards against a request that is cut off in favour of a new connection.
#[tokio::test]
async fn connection_over_limit_is_refused_while_all_others_are_busy() {
    let (server, _) = start_with_two_connections().await;
    let mut busy = Vec::new();
    for _ in 0..2 {
        let mut stream = server.connect().await;
        stream.write_all(HOLD).await.expect("write");
        server.echo.on_hold.notified().await;
        busy.push(stream);
    }
    assert_eq!("", read_to_end(server.connect().await).await);
    server.echo.release.add_permits(2);
    for mut stream in busy {
        assert_eq!("200", status(&read_answer(&mut stream).await));
    }
}

async fn start_with_two_connections() -> (TestServer, ServedConnections) {
    let limits = ServedLimits { count_max: 2, ..ServedLimits::default() };
    let connections = ServedConnections::new(limits);
    let control = ServeControl::new().with_connections(connections.clone());
    let server =
        TestServer::start_with_control(EchoEndpoint::new(), ServeConfig::default(), control).await;
    (server, connections)
}

/// Guards against lost answers when an entry stops with requests in flight and idle connections.
#[tokio::test]
async fn stop_completes_requests_and_closes_idle_connections() {
    let server = TestServer::plain().await;
    let mut busy = server.connect().await;
    busy.write_all(HOLD).await.expect("write");
    server.echo.on_hold.notified().await;
    let mut idle = server.connect().await;
    idle.write_all(GET).await.expect("write");
    read_answer(&mut idle).await;

    server.control.stop();
    assert_eq!("", read_to_end(idle).await);
    assert_eq!(1, server.control.in_flight());
    assert!(!server.served.is_finished());
    server.echo.release.add_permits(1);
    let answer = read_to_end(busy).await;

    assert_eq!("200", status(&answer));
    assert!(answer.contains("connection: close\r\n"), "{answer}");
    server.served.await.expect("join").expect("served");
    assert_eq!(0, server.control.connections());
}

/// Guards against a request lost because it is sent just as a stopping entry closes the connection.
/// `Connection: close` makes the caller move to another entry before.
#[tokio::test]
async fn announced_close_ends_connection_with_next_answer() {
    let server = TestServer::plain().await;
    let mut idle = server.connect().await;
    idle.write_all(GET).await.expect("write");
    assert!(!read_answer(&mut idle).await.contains("connection: close"));

    server.control.announce_close();
    idle.write_all(GET).await.expect("write");

    let answer = read_to_end(idle).await;
    assert!(answer.contains("connection: close\r\n"), "{answer}");
    assert!(!server.served.is_finished());
}

/// Guards against unbalanced load when two of three advertised entries are replaced: their callers
/// choose again among all three, while those of the third entry stay. Its connections are renewed,
/// which closes each after its next answer, or after the last one if further requests wait.
#[tokio::test]
async fn renewal_closes_connection_after_pending_requests() {
    let server = TestServer::plain().await;
    let (mut idle, mut busy) = (server.connect().await, server.connect().await);
    for stream in [&mut idle, &mut busy] {
        stream.write_all(GET).await.expect("write");
        assert!(!read_answer(stream).await.contains("connection: close"));
    }
    busy.write_all(&[HOLD, HOLD, GET].concat()).await.expect("write");
    server.echo.on_hold.notified().await;
    server.control.renew_connections();

    idle.write_all(GET).await.expect("write");
    assert!(read_to_end(idle).await.contains("connection: close"));
    server.echo.release.add_permits(2);
    let answers = read_to_end(busy).await;
    let heads: Vec<&str> = answers.split("HTTP/1.1 200").skip(1).collect();
    let closing: Vec<bool> = heads.iter().map(|head| head.contains("connection: close")).collect();
    assert_eq!([false, false, true].as_slice(), closing);

    let mut new = server.connect().await;
    new.write_all(GET).await.expect("write");
    assert!(!read_answer(&mut new).await.contains("connection: close"));
}
