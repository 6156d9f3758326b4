//! The platform stand-in over HTTP.
#![expect(clippy::unwrap_used, reason = "a failed helper fails its test")]

use std::time::Duration;

use http::StatusCode;
use shallotfork_standin::caller::plain_client;
use shallotfork_standin::platform::{
    CallCounts, Changes, Fault, PlatformConfig, PlatformControl, PublishDelay, ReplicaFault,
    ReplicaMode, Rollback, RunningPlatform, serve_platform,
};
use shallotfork_types::{Endpoint, Revision};

/// A test's view of a running platform.
struct Bench {
    platform: RunningPlatform,
    http: reqwest::Client,
}

impl Bench {
    async fn start(replicas: usize) -> Self {
        let platform = serve_platform(PlatformConfig { replicas }).await.unwrap();
        Self { platform, http: plain_client(Duration::from_secs(5)).unwrap() }
    }

    async fn publish(&self, name: &str, content: &str, expected: Option<u64>) -> StatusCode {
        let url = format!("http://{}/v1/values/{name}", self.platform.control);
        let mut request = self.http.put(url).body(content.to_owned());
        if let Some(expected) = expected {
            request = request.header("if-match", format!("\"{expected}\""));
        }
        request.send().await.unwrap().status()
    }

    async fn control(&self, message: PlatformControl) {
        let url = format!("http://{}/control", self.platform.control);
        self.http.post(url).json(&message).send().await.unwrap().error_for_status().unwrap();
    }

    async fn fault(&self, replica: Option<usize>, fault: Fault) {
        self.control(PlatformControl::Fault(ReplicaFault { replica, fault })).await;
    }

    async fn try_changes(
        &self,
        replica: usize,
        after: u64,
        wait_ms: u64,
    ) -> Result<Changes, reqwest::Error> {
        let address: Endpoint = self.platform.replicas[replica];
        let url = format!("http://{address}/v1/changes?after={after}&wait_ms={wait_ms}");
        self.http.get(url).send().await?.json().await
    }

    async fn contents(&self, replica: usize, after: u64) -> Vec<String> {
        let changes = self.try_changes(replica, after, 0).await.unwrap();
        changes.values.into_iter().map(|value| value.content).collect()
    }

    async fn counts(&self) -> CallCounts {
        let url = format!("http://{}/counts", self.platform.control);
        self.http.get(url).send().await.unwrap().json().await.unwrap()
    }
}

#[tokio::test]
async fn publishes_only_over_the_expected_revision() {
    let bench = Bench::start(1).await;

    let first = bench.publish("rules", "a", Some(0)).await;
    let stale = bench.publish("rules", "b", Some(0)).await;
    let second = bench.publish("rules", "c", Some(1)).await;

    assert_eq!(
        [StatusCode::OK, StatusCode::PRECONDITION_FAILED, StatusCode::OK],
        [first, stale, second]
    );
    assert_eq!(vec!["c".to_owned()], bench.contents(0, 0).await);
}

#[tokio::test]
async fn answers_a_waiting_reader_when_something_is_published() {
    let bench = Bench::start(1).await;
    bench.publish("rules", "a", None).await;

    let (changes, _) =
        tokio::join!(bench.try_changes(0, 1, 5000), bench.publish("vms", "list", None));

    let changes = changes.unwrap();
    assert_eq!(Revision::new(2), changes.revision);
    assert_eq!("vms", changes.values[0].name);
    assert_eq!(1, bench.counts().await.total);
}

#[tokio::test]
async fn answers_304_to_a_reader_that_has_the_value() {
    let bench = Bench::start(1).await;
    bench.publish("rules", "a", None).await;
    let url = format!("http://{}/v1/values/rules", bench.platform.replicas[0]);

    let fresh = bench.http.get(&url).send().await.unwrap();
    let tag = fresh.headers()["etag"].clone();
    let again = bench.http.get(&url).header("if-none-match", tag).send().await.unwrap();

    assert_eq!("1", fresh.headers()["shallotfork-revision"]);
    assert_eq!(StatusCode::NOT_MODIFIED, again.status());
}

#[tokio::test]
async fn replicas_misbehave_one_by_one() {
    let bench = Bench::start(4).await;
    bench.publish("rules", "old", None).await;
    bench.publish("rules", "new", None).await;
    let old = ReplicaMode::Stale { revision: Revision::new(1) };
    let other = Fault::Conflict { name: "rules".to_owned(), content: "other".to_owned() };

    bench.fault(Some(0), Fault::Mode(old)).await;
    bench.fault(Some(1), other).await;
    bench.fault(Some(2), Fault::Mode(ReplicaMode::Down)).await;

    assert_eq!(vec!["old".to_owned()], bench.contents(0, 0).await);
    assert_eq!(vec!["other".to_owned()], bench.contents(1, 0).await);
    assert!(bench.try_changes(2, 0, 0).await.is_err());
    assert_eq!(vec!["new".to_owned()], bench.contents(3, 0).await);
}

#[tokio::test]
async fn hangs_until_the_fault_is_lifted() {
    let bench = Bench::start(1).await;
    bench.publish("rules", "a", None).await;
    bench.fault(None, Fault::Mode(ReplicaMode::Hanging)).await;

    let hanging = bench.try_changes(0, 0, 0);
    let early = tokio::time::timeout(Duration::from_millis(100), hanging).await;
    bench.fault(None, Fault::Mode(ReplicaMode::Serving)).await;

    assert!(early.is_err());
    assert_eq!(vec!["a".to_owned()], bench.contents(0, 0).await);
}

#[tokio::test]
async fn gives_revisions_out_again_after_a_roll_back() {
    let bench = Bench::start(1).await;
    bench.publish("rules", "a", None).await;
    bench.publish("rules", "b", None).await;

    bench.control(PlatformControl::RollBack(Rollback { revision: Revision::new(1) })).await;
    let rolled_back = bench.contents(0, 0).await;
    bench.publish("rules", "c", None).await;

    assert_eq!(vec!["a".to_owned()], rolled_back);
    let changes = bench.try_changes(0, 1, 0).await.unwrap();
    assert_eq!(Revision::new(2), changes.revision);
    assert_eq!("c", changes.values[0].content);
}

#[tokio::test]
async fn a_delayed_value_is_seen_later() {
    let bench = Bench::start(1).await;
    let delay = PublishDelay { name: "vms".to_owned(), delay_ms: 100 };
    bench.control(PlatformControl::Delay(delay)).await;

    let status = bench.publish("vms", "list", None).await;
    let at_once = bench.contents(0, 0).await;
    let later = bench.try_changes(0, 0, 5000).await.unwrap();

    assert_eq!(StatusCode::ACCEPTED, status);
    assert_eq!(Vec::<String>::new(), at_once);
    assert_eq!("list", later.values[0].content);
}

#[tokio::test]
async fn a_stopping_platform_lets_waiting_readers_go_whole() {
    let bench = Bench::start(1).await;
    let address = bench.platform.replicas[0];
    let http = bench.http.clone();
    let waiting = tokio::spawn(async move {
        let url = format!("http://{address}/v1/changes?after=0&wait_ms=30000");
        let response = http.get(url).send().await?;
        response.json::<Changes>().await
    });
    while bench.counts().await.watches == 0 {
        tokio::task::yield_now().await;
    }

    bench.platform.stop().await;

    assert_eq!(Vec::<String>::new(), names(waiting.await.unwrap().unwrap()));
}

fn names(changes: Changes) -> Vec<String> {
    changes.values.into_iter().map(|value| value.name).collect()
}
