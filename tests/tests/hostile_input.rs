//! Hostile input on the ports of a real entry.

use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::{Method, StatusCode};
use shallotfork_standin::caller::Call;
use shallotfork_standin::target::SERVICE_US_HEADER;
use shallotfork_tests::{Case, Running, wait_until};
use shallotfork_types::{ServiceName, Verdict};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const SERVICE: &str = "recipe-desk";
const HEADER_TIMEOUT_MS: &str = "1000";
const BODY_TIMEOUT_MS: &str = "1000";
const STALLED: usize = 200;
const BODY_KIB: usize = 4096;
const UPLOADS: usize = 40;
/// Run time of an upload; long enough that all bodies would be held at once.
const SLOW_US: &str = "300000";

async fn start() -> anyhow::Result<Running> {
    Case::new().with_service(SERVICE, 2).start().await
}

async fn start_with_short_timeouts() -> anyhow::Result<Running> {
    Case::new()
        .with_service(SERVICE, 2)
        .with_setting("callers", "header_timeout_ms", HEADER_TIMEOUT_MS)
        .with_setting("callers", "body_timeout_ms", BODY_TIMEOUT_MS)
        .start()
        .await
}

async fn start_with_little_memory() -> anyhow::Result<Running> {
    Case::new()
        .with_service(SERVICE, 2)
        .with_setting("callers", "body_max", "4MiB")
        .with_setting("callers", "bodies_total_max", "8MiB")
        .start()
        .await
}

async fn connect(running: &Running) -> anyhow::Result<TcpStream> {
    Ok(TcpStream::connect(running.caller_addresses()[0].address()).await?)
}

async fn is_served(running: &Running, mark: &str) -> anyhow::Result<bool> {
    let call = Call::get(SERVICE.parse()?, "/card").with_mark(mark);
    let report = running.caller()?.send_to(running.caller_addresses()[0], &call).await;
    Ok(report.success().is_some_and(|answer| answer.mark.as_deref() == Some(mark)))
}

/// Returns the peak resident memory of the entry so far.
async fn peak_kib(running: &Running) -> anyhow::Result<u64> {
    let pid = running.entries[0].program.pid().context("a process")?;
    let status = tokio::fs::read_to_string(format!("/proc/{pid}/status")).await?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).context("VmHWM")?;
    Ok(line.trim().trim_end_matches(" kB").trim().parse()?)
}

/// Guards against hundreds of stalled connections that send nothing, half a head or half a body.
/// Other callers must be served meanwhile, and the entry must close the connections.
#[tokio::test]
async fn stalled_connections_are_closed() -> anyhow::Result<()> {
    let running = start_with_short_timeouts().await?;
    let beginnings = [
        "",
        "GET /card HTTP/1.1\r\nhost: rec",
        "POST /card HTTP/1.1\r\nhost: recipe-desk\r\ncontent-length: 60000\r\n\r\nhalf",
        "POST /card HTTP/1.1\r\nhost: recipe-desk\r\ntransfer-encoding: chunked\r\n\r\nffff\r\nhalf",
    ];
    let mut stalled = Vec::new();
    for number in 0..STALLED {
        let mut stream = connect(&running).await?;
        stream.write_all(beginnings[number % beginnings.len()].as_bytes()).await?;
        stalled.push(stream);
        if number % 20 == 0 {
            assert!(is_served(&running, &format!("beside-{number}")).await?);
        }
    }
    for mut stream in stalled {
        let mut rest = Vec::new();
        let ended = stream.read_to_end(&mut rest);
        let _ = tokio::time::timeout(Duration::from_secs(90), ended).await?;
    }
    assert!(is_served(&running, "after").await?);
    Ok(())
}

/// Guards against unbounded memory when more large bodies arrive at once than the process may hold.
/// It rejects some of them and asks their callers to retry later.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn body_memory_is_bounded() -> anyhow::Result<()> {
    let running = start_with_little_memory().await?;
    assert!(is_served(&running, "before").await?);
    let before_kib = peak_kib(&running).await?;
    let caller = running.caller()?;
    let entry = running.caller_addresses()[0];
    let body = Bytes::from(vec![b'x'; BODY_KIB * 1024]);
    let service: ServiceName = SERVICE.parse()?;
    let calls = (0..UPLOADS).map(|_| {
        let call = Call::new(service.clone(), Method::PUT, "/dossiers/7", body.clone())
            .with_header(SERVICE_US_HEADER, SLOW_US);
        let caller = &caller;
        async move { caller.send_to(entry, &call).await }
    });

    let reports = futures::future::join_all(calls).await;

    let after_kib = peak_kib(&running).await?;
    for report in &reports {
        let answer = report.answer.as_ref().with_context(|| format!("{report:?}"))?;
        assert!(answer.is_success() || answer.verdict.is_some(), "{report:?}");
    }
    let offered_kib = (UPLOADS * BODY_KIB) as u64;
    let grown_kib = after_kib.saturating_sub(before_kib);
    assert!(grown_kib < offered_kib / 2, "{grown_kib} KiB more for {offered_kib} KiB offered");
    let oversized = Bytes::from(vec![b'x'; 2 * BODY_KIB * 1024]);
    let call = Call::new(service, Method::PUT, "/dossiers/7", oversized);
    let report = caller.send_to(entry, &call).await;
    assert_eq!(Some(413), report.answer.map(|answer| answer.status));
    assert!(is_served(&running, "after").await?);
    Ok(())
}

/// Guards against requests with invalid sessions, keys, deadlines or caller names that reach a
/// target.
#[tokio::test]
async fn invalid_control_headers_are_rejected() -> anyhow::Result<()> {
    let running = start().await?;
    let long = "s".repeat(5000);
    let cases = [
        ("shallotfork-session", "nonsense"),
        ("shallotfork-session", ".."),
        ("shallotfork-session", long.as_str()),
        ("idempotency-key", "with space"),
        ("idempotency-key", long.as_str()),
        ("shallotfork-deadline-ms", "soon"),
        ("shallotfork-deadline-ms", "-1"),
        ("shallotfork-caller", "who?"),
    ];
    for (name, value) in cases {
        let call = Call::new(SERVICE.parse()?, Method::POST, "/orders", Bytes::new())
            .with_mark("bad")
            .with_header("idempotency-key", "order-1")
            .with_header(name, value);
        let report = running.caller()?.send_to(running.caller_addresses()[0], &call).await;
        let answer = report.answer.with_context(|| format!("{name}: {value}"))?;
        assert_eq!(StatusCode::BAD_REQUEST.as_u16(), answer.status, "{name}: {value}");
        assert_eq!(Some(Verdict::NotRun), answer.verdict, "{name}: {value}");
    }
    assert_eq!(0, running.runs_of_mark("bad").await?);
    Ok(())
}

/// Guards against an entry that fails on bytes that are not HTTP, or on oversized heads, on its
/// caller, peer and operator ports.
#[tokio::test]
async fn malformed_input_closes_only_its_connection() -> anyhow::Result<()> {
    let running = start().await?;
    let ready = &running.entries[0].ready;
    let mut endless = b"GET / HTTP/1.1\r\nhost: recipe-desk\r\nendless: ".to_vec();
    endless.resize(1 << 20, b'x');
    let many = format!("GET / HTTP/1.1\r\nhost: recipe-desk\r\n{}\r\n", "a: b\r\n".repeat(5000));
    let inputs = [vec![0; 70_000], vec![0xff; 70_000], endless, many.into_bytes()];
    for port in [ready.callers, ready.peers, ready.operators] {
        for input in &inputs {
            let mut stream = TcpStream::connect(port.address()).await?;
            let _closed_early = stream.write_all(input).await;
            let _closed_early = stream.shutdown().await;
            let mut answer = Vec::new();
            let reading = stream.read_to_end(&mut answer);
            let _reset = tokio::time::timeout(Duration::from_secs(60), reading).await?;
        }
    }
    assert!(is_served(&running, "after").await?);
    wait_until("the entry is ready", async || running.entries[0].is_ready().await).await
}

/// Guards against callers who read status, audit or metrics: the operator pages are requested on
/// the caller port, with the host of the entry itself, its operator port, `localhost` and a
/// service.
#[tokio::test]
async fn operator_pages_are_unreachable_from_caller_port() -> anyhow::Result<()> {
    let running = start().await?;
    let entry = running.caller_addresses()[0];
    let http = reqwest::Client::new();
    for path in [
        "/v1/status",
        "/v1/audit",
        "/v1/lists/rules",
        "/v1/ready",
        "/metrics",
        "/v1/entries/../status",
    ] {
        let with_own_host = http.get(format!("http://{entry}{path}")).send().await?;
        assert_eq!(StatusCode::NOT_FOUND, with_own_host.status(), "{path}");
        assert_eq!("not-run", with_own_host.headers()["shallotfork-verdict"], "{path}");

        let operators = running.entries[0].ready.operators;
        for host in [operators.to_string(), "localhost".to_owned(), SERVICE.to_owned()] {
            let answer =
                http.get(format!("http://{entry}{path}")).header("host", &host).send().await?;
            let body = answer.text().await?;
            assert!(
                !body.contains("\"lists\"") && !body.contains("# TYPE"),
                "{host}{path}: {body}"
            );
        }
    }
    Ok(())
}
