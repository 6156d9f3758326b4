//! Tests of the target stand-in over HTTP.
#![expect(clippy::unwrap_used, reason = "a failed helper fails its test")]

use std::time::{Duration, Instant};

use http::StatusCode;
use shallotfork_standin::caller::plain_client;
use shallotfork_standin::digest::content_digest;
use shallotfork_standin::net::ConnectionFaults;
use shallotfork_standin::target::{
    LOAD_HEADER, MARK_HEADER, ReportFault, RunningTarget, SERVICE_US_HEADER, SIZE_HEADER,
    TargetConfig, TargetFaults, WorkAnswer, serve_target,
};
use shallotfork_types::TargetId;

struct TestTarget {
    target: RunningTarget,
    http: reqwest::Client,
}

impl TestTarget {
    async fn start() -> Self {
        let config = TargetConfig::new(TargetId::new("t1").unwrap());
        Self::start_with(TargetConfig { grace: Duration::from_millis(200), ..config }).await
    }

    async fn start_with(config: TargetConfig) -> Self {
        let target = serve_target(config).await.unwrap();
        Self { target, http: plain_client(Duration::from_secs(5)).unwrap() }
    }

    fn get(&self) -> reqwest::RequestBuilder {
        self.http.get(format!("http://{}/card", self.target.address)).header(MARK_HEADER, "m1")
    }

    async fn reset_records(&self) {
        let url = format!("http://{}/records/reset", self.target.control);
        self.http.post(url).send().await.unwrap().error_for_status().unwrap();
    }
}

#[tokio::test]
async fn answer_carries_mark_digest_and_load_report() {
    let test = TestTarget::start().await;

    let answer = test.get().header(SIZE_HEADER, "1000").send().await.unwrap();
    let headers = answer.headers().clone();
    let body = answer.bytes().await.unwrap();

    let work: WorkAnswer = serde_json::from_slice(&body).unwrap();
    assert_eq!(Some("m1".to_owned()), work.mark);
    assert_eq!(1000, work.filler.len());
    assert_eq!(content_digest(&body), headers["content-digest"].to_str().unwrap());
    let load = headers[LOAD_HEADER].to_str().unwrap();
    assert!(load.starts_with("TEXT cpu_utilization=0.000, rps_fractional=1.0"), "{load}");
}

#[tokio::test]
async fn counts_runs_by_key_and_digests_request_bodies() {
    let test = TestTarget::start().await;
    let url = format!("http://{}/orders", test.target.address);

    for _ in 0..2 {
        let request = test.http.post(&url).header("idempotency-key", "k1").body("two drums");
        let work: WorkAnswer = request.send().await.unwrap().json().await.unwrap();
        assert_eq!(content_digest(b"two drums"), work.received_digest);
    }

    assert_eq!(2, test.target.records().runs_of_key("k1"));
}

#[tokio::test]
async fn slots_limit_concurrent_requests() {
    let test = TestTarget::start().await;
    let begin = Instant::now();

    let request = || test.get().header(SERVICE_US_HEADER, "100000").send();
    let answers = futures::future::join_all((0..4).map(|_| request())).await;

    assert!(answers.iter().all(Result::is_ok));
    assert!(begin.elapsed() >= Duration::from_millis(200));
}

#[tokio::test]
async fn shed_and_failed_requests_do_not_run() {
    let test = TestTarget::start().await;

    test.target.set_faults(TargetFaults { shed: true, ..TargetFaults::default() });
    let shed = test.get().send().await.unwrap().status();
    test.target.set_faults(TargetFaults { fail_status: Some(500), ..TargetFaults::default() });
    let failed = test.get().send().await.unwrap().status();

    assert_eq!(StatusCode::SERVICE_UNAVAILABLE, shed);
    assert_eq!(StatusCode::INTERNAL_SERVER_ERROR, failed);
    assert_eq!(0, test.target.records().runs);
}

#[tokio::test]
async fn answer_is_cut_at_configured_byte() {
    let test = TestTarget::start().await;
    let whole = raw_answer(&test).await;
    assert!(whole.ends_with(b"}"));

    for cut_at in [0, 1, 20, whole.len() as u64 - 1] {
        let connections =
            ConnectionFaults { cut_answer_at_bytes: Some(cut_at), ..ConnectionFaults::default() };
        test.target.set_faults(TargetFaults { connections, ..TargetFaults::default() });
        let cut = raw_answer(&test).await;
        assert_eq!(cut_at, cut.len() as u64);
    }
}

/// Returns the bytes received on a new connection until the target closes it.
async fn raw_answer(test: &TestTarget) -> Vec<u8> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let address = test.target.address.address();
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let request = "GET /card HTTP/1.1\r\nhost: recipe-desk\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    // A cut may show as a connection reset after the last byte.
    let _ = stream.read_to_end(&mut received).await;
    received
}

#[tokio::test]
async fn request_does_not_run_if_connection_closes_during_read() {
    let test = TestTarget::start().await;
    let connections =
        ConnectionFaults { close_after_read_bytes: Some(10), ..ConnectionFaults::default() };
    test.target.set_faults(TargetFaults { connections, ..TargetFaults::default() });

    let answer = test.get().send().await;

    assert!(answer.is_err());
    assert_eq!(0, test.target.records().runs);
}

#[tokio::test]
async fn load_report_shows_utilization_of_fault() {
    let test = TestTarget::start().await;
    let report = ReportFault { utilization_permille: Some(10), ..ReportFault::default() };
    test.target.set_faults(TargetFaults { report, ..TargetFaults::default() });

    let answer = test.get().send().await.unwrap();

    let load = answer.headers()[LOAD_HEADER].to_str().unwrap();
    assert!(load.starts_with("TEXT cpu_utilization=0.010"), "{load}");
}

#[tokio::test]
async fn counts_probes_and_connections() {
    let test = TestTarget::start().await;
    for _ in 0..3 {
        let url = format!("http://{}/load", test.target.address);
        test.http.get(url).send().await.unwrap().bytes().await.unwrap();
    }

    let records = test.target.records();

    assert_eq!(3, records.probes);
    assert_eq!(1, records.connections.opened);
    assert_eq!(0, records.arrived);
}

#[tokio::test]
async fn drain_finishes_requests_in_flight() {
    let test = TestTarget::start().await;
    let request = test.get().header(SERVICE_US_HEADER, "400000").send();
    let request = tokio::spawn(request);
    while test.target.records().runs == 0 {
        tokio::task::yield_now().await;
    }

    test.target.drain_and_stop().await.unwrap();

    assert_eq!(StatusCode::OK, request.await.unwrap().unwrap().status());
}

#[tokio::test]
async fn records_arrivals_after_draining_began() {
    let test = TestTarget::start().await;
    test.target.set_faults(TargetFaults { draining: true, ..TargetFaults::default() });

    test.get().send().await.unwrap();
    let drained = test.target.records();
    test.reset_records().await;

    assert_eq!(1, drained.arrived_after_drain_ms.len());
    assert_eq!(0, test.target.records().arrived);
}
