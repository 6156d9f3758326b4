//! The target stand-in over HTTP.
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

struct Bench {
    target: RunningTarget,
    http: reqwest::Client,
}

impl Bench {
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
async fn answers_with_mark_digest_and_load() {
    let bench = Bench::start().await;

    let answer = bench.get().header(SIZE_HEADER, "1000").send().await.unwrap();
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
async fn counts_runs_by_key_and_digests_uploads() {
    let bench = Bench::start().await;
    let url = format!("http://{}/orders", bench.target.address);

    for _ in 0..2 {
        let request = bench.http.post(&url).header("idempotency-key", "k1").body("two drums");
        let work: WorkAnswer = request.send().await.unwrap().json().await.unwrap();
        assert_eq!(content_digest(b"two drums"), work.received_digest);
    }

    assert_eq!(2, bench.target.records().runs_of_key("k1"));
}

#[tokio::test]
async fn two_slots_serve_four_requests_in_two_turns() {
    let bench = Bench::start().await;
    let begin = Instant::now();

    let request = || bench.get().header(SERVICE_US_HEADER, "100000").send();
    let answers = futures::future::join_all((0..4).map(|_| request())).await;

    assert!(answers.iter().all(Result::is_ok));
    assert!(begin.elapsed() >= Duration::from_millis(200));
}

#[tokio::test]
async fn a_shed_or_failed_request_is_not_run() {
    let bench = Bench::start().await;

    bench.target.set_faults(TargetFaults { shed: true, ..TargetFaults::default() });
    let shed = bench.get().send().await.unwrap().status();
    bench.target.set_faults(TargetFaults { fail_status: Some(500), ..TargetFaults::default() });
    let failed = bench.get().send().await.unwrap().status();

    assert_eq!(StatusCode::SERVICE_UNAVAILABLE, shed);
    assert_eq!(StatusCode::INTERNAL_SERVER_ERROR, failed);
    assert_eq!(0, bench.target.records().runs);
}

#[tokio::test]
async fn a_cut_answer_is_an_error_at_every_byte() {
    let bench = Bench::start().await;
    let whole = raw_answer(&bench).await;
    assert!(whole.ends_with(b"}"));

    for cut_at in [0, 1, 20, whole.len() as u64 - 1] {
        let connections =
            ConnectionFaults { cut_answer_at_bytes: Some(cut_at), ..ConnectionFaults::default() };
        bench.target.set_faults(TargetFaults { connections, ..TargetFaults::default() });
        let cut = raw_answer(&bench).await;
        assert_eq!(cut_at, cut.len() as u64);
    }
}

/// What arrives on a connection of its own until the target ends it.
async fn raw_answer(bench: &Bench) -> Vec<u8> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let address = bench.target.address.address();
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let request = "GET /card HTTP/1.1\r\nhost: recipe-desk\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    // A reset after the last byte is one of the ways in which a cut shows.
    let _ = stream.read_to_end(&mut received).await;
    received
}

#[tokio::test]
async fn a_connection_closed_while_the_request_is_read_runs_nothing() {
    let bench = Bench::start().await;
    let connections =
        ConnectionFaults { close_after_read_bytes: Some(10), ..ConnectionFaults::default() };
    bench.target.set_faults(TargetFaults { connections, ..TargetFaults::default() });

    let answer = bench.get().send().await;

    assert!(answer.is_err());
    assert_eq!(0, bench.target.records().runs);
}

#[tokio::test]
async fn reports_lie_when_told_to() {
    let bench = Bench::start().await;
    let report = ReportFault { utilization_permille: Some(10), ..ReportFault::default() };
    bench.target.set_faults(TargetFaults { report, ..TargetFaults::default() });

    let answer = bench.get().send().await.unwrap();

    let load = answer.headers()[LOAD_HEADER].to_str().unwrap();
    assert!(load.starts_with("TEXT cpu_utilization=0.010"), "{load}");
}

#[tokio::test]
async fn probes_and_connections_are_counted() {
    let bench = Bench::start().await;
    for _ in 0..3 {
        let url = format!("http://{}/load", bench.target.address);
        bench.http.get(url).send().await.unwrap().bytes().await.unwrap();
    }

    let records = bench.target.records();

    assert_eq!(3, records.probes);
    assert_eq!(1, records.connections.opened);
    assert_eq!(0, records.arrived);
}

#[tokio::test]
async fn a_leaving_target_finishes_what_is_in_flight() {
    let bench = Bench::start().await;
    let request = bench.get().header(SERVICE_US_HEADER, "400000").send();
    let request = tokio::spawn(request);
    while bench.target.records().runs == 0 {
        tokio::task::yield_now().await;
    }

    bench.target.leave().await.unwrap();

    assert_eq!(StatusCode::OK, request.await.unwrap().unwrap().status());
}

#[tokio::test]
async fn records_when_requests_came_after_draining_began() {
    let bench = Bench::start().await;
    bench.target.set_faults(TargetFaults { draining: true, ..TargetFaults::default() });

    bench.get().send().await.unwrap();
    let drained = bench.target.records();
    bench.reset_records().await;

    assert_eq!(1, drained.arrived_after_drain_ms.len());
    assert_eq!(0, bench.target.records().arrived);
}
