//! What callers send: taken whole, or refused with a clear answer.

#[path = "support/front.rs"]
mod front;

use std::sync::LazyLock;
use std::time::Duration;

use front::{Echo, Front, read_to_end, status};
use quickcheck::{Gen, QuickCheck};
use shallotfork_exchange::ServeConfig;
use shallotfork_types::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::runtime::Runtime;

const GEN_SIZE: usize = 64;
const SEED: u64 = 0x5ba1;
const CASES: u64 = 300;
/// More than the kernel's buffers of one connection take.
const LARGE: Bytes = Bytes::from_mib(32);

#[tokio::test]
async fn a_whole_request_loses_only_what_was_meant_for_this_hop() {
    let front = Front::plain().await;
    let actual = front
        .ask(
            "POST /orders?mill=2 HTTP/1.1\r\nhost: orders:8080\r\nconnection: close, batch\r\n\
             batch: 7\r\nte: trailers\r\nkeep-alive: timeout=5\r\nproxy-authorization: x\r\n\
             upgrade: websocket\r\nshallotfork-session: s.1\r\nidempotency-key: order-9\r\n\
             shallotfork-deadline-ms: 250\r\nshallotfork-caller: bakery\r\naccept: text/plain\r\n\
             transfer-encoding: chunked\r\ntrailer: checked\r\n\r\n\
             4\r\nmill\r\n2;note=x\r\ned\r\n0\r\nchecked: yes\r\n\r\n",
        )
        .await;
    let body = actual.split("\r\n\r\n").nth(1).expect("a body");
    insta::assert_snapshot!(body);
}

/// HTTP/2 names the service in `:authority` and sends no `Host`; an absolute request target goes
/// before `Host`. A target that is told another host, or its own address, serves the wrong site.
#[tokio::test]
async fn the_authority_becomes_the_host() {
    let front = Front::plain().await;
    let client = reqwest::Client::builder()
        .http2_prior_knowledge()
        .resolve("orders", front.address)
        .build()
        .expect("client");
    let url = format!("http://orders:{}/card", front.address.port());
    let http2 = client.post(url).body("mill").send().await.expect("an answer");
    let http2 = http2.text().await.expect("a body");
    let host = format!("host: orders:{}\n", front.address.port());
    assert!(http2.starts_with("POST /card of orders\n") && http2.contains(&host), "{http2}");

    let absolute = "GET http://orders/card HTTP/1.1\r\nhost: other\r\n\r\n";
    let absolute = front.ask(absolute).await;
    assert!(absolute.contains("GET /card of orders\nhost: orders\n"), "{absolute}");
}

/// A caller's `Connection` names headers that are meant for the target, so that the entry removes
/// them and the target serves another host, or an order without its key.
#[tokio::test]
async fn connection_cannot_take_the_host_or_the_key() {
    let front = Front::plain().await;
    let named = "POST /card HTTP/1.1\r\nhost: orders\r\nidempotency-key: order-9\r\n\
        shallotfork-caller: bakery\r\n\
        connection: Host, idempotency-key, shallotfork-caller\r\n\r\n";
    let actual = front.ask(named).await;
    for kept in
        ["\nhost: orders\n", "\nidempotency-key: order-9\n", "\nshallotfork-caller: bakery\n"]
    {
        assert!(actual.contains(kept), "{actual}");
    }
}

#[tokio::test]
async fn malformed_requests_get_a_clear_4xx() {
    let front = Front::plain().await;
    let cases = [
        ("no host", "GET / HTTP/1.1\r\n\r\n"),
        ("two hosts", "GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n"),
        ("host is no name", "GET / HTTP/1.1\r\nhost: a b\r\n\r\n"),
        ("empty key", "POST / HTTP/1.1\r\nhost: a\r\nidempotency-key:\r\n\r\n"),
        (
            "two keys",
            "POST / HTTP/1.1\r\nhost: a\r\nidempotency-key: 1\r\nidempotency-key: 2\r\n\r\n",
        ),
        (
            "deadline is no number",
            "GET / HTTP/1.1\r\nhost: a\r\nshallotfork-deadline-ms: -5\r\n\r\n",
        ),
        ("bad caller", "GET / HTTP/1.1\r\nhost: a\r\nshallotfork-caller: x y\r\n\r\n"),
        ("empty session", "GET / HTTP/1.1\r\nhost: a\r\nshallotfork-session:\r\n\r\n"),
        (
            "two lengths",
            "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nx",
        ),
        ("length is no number", "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1x\r\n\r\nx"),
        (
            "bad chunk size",
            "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nx\r\n0\r\n\r\n",
        ),
        (
            "chunk size overflows",
            "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\nx",
        ),
        (
            "chunked is not last",
            "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
        ),
        ("body over the limit", "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1001\r\n\r\n"),
        (
            "wrong digest",
            "POST / HTTP/1.1\r\nhost: a\r\ncontent-digest: sha-256=:AAAA:\r\ncontent-length: 1\r\n\r\nx",
        ),
        (
            "malformed digest",
            "POST / HTTP/1.1\r\nhost: a\r\ncontent-digest: sha-256=:?:\r\ncontent-length: 1\r\n\r\nx",
        ),
        ("connect", "CONNECT a:80 HTTP/1.1\r\nhost: a:80\r\n\r\n"),
        ("no http", "\u{1}\u{2}\u{3}\r\n\r\n"),
    ];
    let mut lines = Vec::new();
    for (name, request) in cases {
        let answer = front.ask(request).await;
        let verdict = answer.lines().find(|line| line.starts_with("shallotfork-verdict"));
        let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
        lines.push(format!("{name}\n  {} {}\n  {body}", status(&answer), verdict.unwrap_or("-")));
    }
    insta::assert_snapshot!(lines.join("\n"));
    assert_eq!("200", status(&front.ask("GET / HTTP/1.1\r\nhost: a\r\n\r\n").await));
}

/// A request gives two lengths, to hide a second request from whichever hop goes by the other
/// one. Here the chunks decide, the length is gone, and the connection ends with the answer
/// (RFC 9112, 6.1), so that what is left over is not read.
#[tokio::test]
async fn a_length_beside_chunks_hides_nothing() {
    let front = Front::plain().await;
    let mut stream = front.connect().await;
    let two = "POST /first HTTP/1.1\r\nhost: a\r\ncontent-length: 40\r\n\
        transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /second HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(two.as_bytes()).await.expect("write");

    let answers = read_to_end(stream).await;

    assert!(answers.contains("POST /first of a\nhost: a\n") && answers.ends_with("\n0 body bytes"));
    assert!(!answers.contains("/second"));
}

/// A caller's connection breaks while it uploads a dossier. A target that saw the first half
/// would store half a dossier.
#[tokio::test]
async fn an_upload_cut_at_any_byte_is_never_whole() {
    let front = Front::plain().await;
    for upload in [
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 7\r\n\r\ndossier",
        "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\ndos\r\n4\r\nsier\r\n0\r\n\r\n",
    ] {
        for cut in 0..upload.len() {
            let answer = front.ask_cut(&upload[..cut]).await;
            assert_ne!("200", status(&answer), "cut at {cut}");
        }
        assert_eq!("200", status(&front.ask(upload).await));
    }
    assert_eq!(Bytes::new(0), front.echo.budget.held());
}

/// A restorer's link stalls in the middle of a dossier. Without an end to the wait, each such
/// link would hold a connection and its memory for ever.
#[tokio::test]
async fn a_body_that_stalls_is_given_up() {
    let echo = Echo::new().with_body_timeout(Duration::from_millis(50));
    let front = Front::start(echo, ServeConfig::default()).await;
    let mut stream = front.connect().await;
    stream
        .write_all(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf")
        .await
        .expect("write");

    let answer = read_to_end(stream).await;

    assert_eq!("408", status(&answer));
    assert!(answer.contains("shallotfork-verdict: not-run"));
    assert_eq!(Bytes::new(0), front.echo.budget.held());
}

/// A restorer sends a dossier with a malformed key, and reads the answer once all is sent, as
/// simple clients do. A connection that is closed with bytes unread is reset by the kernel, and
/// the reset takes the answer with it: the restorer sees a broken connection and tries again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_reaches_a_sender_that_sends_on() {
    let front = Front::start(Echo::new().with_body_max(LARGE), ServeConfig::default()).await;
    let size = LARGE.value();
    let mut stream = front.connect().await;
    let head = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\nidempotency-key: a b\r\n";
    let head = format!("{head}content-length: {size}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("write the head");
    stream.write_all(&vec![b'x'; size as usize]).await.expect("write the body");
    assert_eq!("400", status(&read_to_end(stream).await));
}

/// Many callers upload at once, more than the process has memory for.
#[tokio::test]
async fn bodies_over_the_process_limit_are_told_to_come_back() {
    let front = Front::plain().await;
    let upload = format!(
        "POST /hold HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\n{}",
        "x".repeat(1000)
    );
    let mut holding = Vec::new();
    for _ in 0..8 {
        let mut stream = front.connect().await;
        stream.write_all(upload.as_bytes()).await.expect("write");
        front.echo.held.notified().await;
        holding.push(stream);
    }

    let answer = front.ask(&upload).await;

    assert_eq!("503", status(&answer));
    assert!(answer.contains("retry-after: 1\r\n"));
    front.echo.release.add_permits(holding.len());
}

#[tokio::test]
async fn expect_continue_is_answered_before_the_body() {
    let front = Front::plain().await;
    let mut stream = front.connect().await;
    let head = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 4\r\nexpect: 100-continue\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("write");
    let mut interim = [0; 25];
    tokio::io::AsyncReadExt::read_exact(&mut stream, &mut interim).await.expect("read");
    assert_eq!(b"HTTP/1.1 100 Continue\r\n\r\n", &interim);
    stream.write_all(b"mill").await.expect("write");
    assert!(read_to_end(stream).await.contains("4 body bytes"));
}

static PORT: LazyLock<(Runtime, Front)> = LazyLock::new(|| {
    let runtime = Runtime::new().expect("runtime");
    let front = runtime.block_on(Front::plain());
    (runtime, front)
});

async fn is_answered_or_closed(path: String, body: Vec<u8>) -> bool {
    let mut stream = PORT.1.connect().await;
    let head = format!("POST /{path} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(&body).await;
    let _ = stream.shutdown().await;
    let answer = read_to_end(stream).await;
    answer.is_empty() || answer.starts_with("HTTP/1.1 ")
}

/// Whatever bytes come, each is answered or the connection is closed, and the port serves on.
#[test]
fn no_bytes_stop_the_port() {
    fn property(path: String, body: Vec<u8>) -> bool {
        PORT.0.block_on(is_answered_or_closed(path, body))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(CASES)
        .quickcheck(property as fn(String, Vec<u8>) -> bool);
    let answer = PORT.0.block_on(PORT.1.ask("GET / HTTP/1.1\r\nhost: a\r\n\r\n"));
    assert_eq!("200", status(&answer));
}
