//! Tests of the platform stand-in over HTTP.
#![expect(clippy::unwrap_used, reason = "a failed helper fails its test")]

use std::time::Duration;

use http::StatusCode;
use shallotfork_standin::caller::plain_client;
use shallotfork_standin::platform::{
    CallCounts, Changes, Fault, PlatformConfig, PlatformControl, PublishDelay, ReplicaFault,
    ReplicaMode, Rollback, RunningPlatform, serve_platform,
};
use shallotfork_types::{Endpoint, Revision};

/// A running platform with an HTTP client.
struct TestPlatform {
    platform: RunningPlatform,
    http: reqwest::Client,
}

impl TestPlatform {
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

    async fn send_control(&self, message: PlatformControl) {
        let url = format!("http://{}/control", self.platform.control);
        self.http.post(url).json(&message).send().await.unwrap().error_for_status().unwrap();
    }

    async fn set_fault(&self, replica: Option<usize>, fault: Fault) {
        self.send_control(PlatformControl::Fault(ReplicaFault { replica, fault })).await;
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
async fn publish_requires_expected_revision() {
    let test = TestPlatform::start(1).await;

    let first = test.publish("rules", "a", Some(0)).await;
    let stale = test.publish("rules", "b", Some(0)).await;
    let second = test.publish("rules", "c", Some(1)).await;

    assert_eq!(
        [StatusCode::OK, StatusCode::PRECONDITION_FAILED, StatusCode::OK],
        [first, stale, second]
    );
    assert_eq!(vec!["c".to_owned()], test.contents(0, 0).await);
}

#[tokio::test]
async fn long_poll_returns_on_publish() {
    let test = TestPlatform::start(1).await;
    test.publish("rules", "a", None).await;

    let (changes, _) =
        tokio::join!(test.try_changes(0, 1, 5000), test.publish("vms", "list", None));

    let changes = changes.unwrap();
    assert_eq!(Revision::new(2), changes.revision);
    assert_eq!("vms", changes.values[0].name);
    assert_eq!(1, test.counts().await.total);
}

#[tokio::test]
async fn current_etag_returns_304() {
    let test = TestPlatform::start(1).await;
    test.publish("rules", "a", None).await;
    let url = format!("http://{}/v1/values/rules", test.platform.replicas[0]);

    let fresh = test.http.get(&url).send().await.unwrap();
    let tag = fresh.headers()["etag"].clone();
    let again = test.http.get(&url).header("if-none-match", tag).send().await.unwrap();

    assert_eq!("1", fresh.headers()["shallotfork-revision"]);
    assert_eq!(StatusCode::NOT_MODIFIED, again.status());
}

#[tokio::test]
async fn faults_apply_to_single_replicas() {
    let test = TestPlatform::start(4).await;
    test.publish("rules", "old", None).await;
    test.publish("rules", "new", None).await;
    let stale = ReplicaMode::Stale { revision: Revision::new(1) };
    let conflict = Fault::Conflict { name: "rules".to_owned(), content: "other".to_owned() };

    test.set_fault(Some(0), Fault::Mode(stale)).await;
    test.set_fault(Some(1), conflict).await;
    test.set_fault(Some(2), Fault::Mode(ReplicaMode::Down)).await;

    assert_eq!(vec!["old".to_owned()], test.contents(0, 0).await);
    assert_eq!(vec!["other".to_owned()], test.contents(1, 0).await);
    assert!(test.try_changes(2, 0, 0).await.is_err());
    assert_eq!(vec!["new".to_owned()], test.contents(3, 0).await);
}

#[tokio::test]
async fn hanging_replica_answers_after_fault_is_cleared() {
    let test = TestPlatform::start(1).await;
    test.publish("rules", "a", None).await;
    test.set_fault(None, Fault::Mode(ReplicaMode::Hanging)).await;

    let hanging = test.try_changes(0, 0, 0);
    let early = tokio::time::timeout(Duration::from_millis(100), hanging).await;
    test.set_fault(None, Fault::Mode(ReplicaMode::Serving)).await;

    assert!(early.is_err());
    assert_eq!(vec!["a".to_owned()], test.contents(0, 0).await);
}

#[tokio::test]
async fn roll_back_reuses_revisions() {
    let test = TestPlatform::start(1).await;
    test.publish("rules", "a", None).await;
    test.publish("rules", "b", None).await;

    test.send_control(PlatformControl::RollBack(Rollback { revision: Revision::new(1) })).await;
    let rolled_back = test.contents(0, 0).await;
    test.publish("rules", "c", None).await;

    assert_eq!(vec!["a".to_owned()], rolled_back);
    let changes = test.try_changes(0, 1, 0).await.unwrap();
    assert_eq!(Revision::new(2), changes.revision);
    assert_eq!("c", changes.values[0].content);
}

#[tokio::test]
async fn delayed_value_becomes_visible_later() {
    let test = TestPlatform::start(1).await;
    let delay = PublishDelay { name: "vms".to_owned(), delay_ms: 100 };
    test.send_control(PlatformControl::Delay(delay)).await;

    let status = test.publish("vms", "list", None).await;
    let immediate = test.contents(0, 0).await;
    let later = test.try_changes(0, 0, 5000).await.unwrap();

    assert_eq!(StatusCode::ACCEPTED, status);
    assert_eq!(Vec::<String>::new(), immediate);
    assert_eq!("list", later.values[0].content);
}

#[tokio::test]
async fn stop_completes_waiting_long_polls() {
    let test = TestPlatform::start(1).await;
    let address = test.platform.replicas[0];
    let http = test.http.clone();
    let waiting = tokio::spawn(async move {
        let url = format!("http://{address}/v1/changes?after=0&wait_ms=30000");
        let response = http.get(url).send().await?;
        response.json::<Changes>().await
    });
    while test.counts().await.watches == 0 {
        tokio::task::yield_now().await;
    }

    test.platform.stop().await;

    assert_eq!(Vec::<String>::new(), names(waiting.await.unwrap().unwrap()));
}

fn names(changes: Changes) -> Vec<String> {
    changes.values.into_iter().map(|value| value.name).collect()
}
