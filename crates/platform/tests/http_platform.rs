//! Calls to replicas that answer well, badly or not at all.

mod support;

use std::time::{Duration, Instant};

use shallotfork_platform::{
    HttpPlatform, HttpPlatformConfig, Platform, PlatformErrorKind, PublishedList,
};
use shallotfork_types::{Bytes, Endpoint, ListName, PerSecond, Revision};
use support::FakeReplica;

const CHANGES: &str = r#"{"revision":9,"values":[
    {"name":"rules","revision":7,"content":"[all]\n"},
    {"name":"weather","revision":8,"content":"?"},
    {"name":"targets.recipes","revision":9,"content":"{}"}]}"#;

fn config(replicas: &[&FakeReplica]) -> HttpPlatformConfig {
    let endpoints = replicas.iter().map(|replica| replica.endpoint).collect();
    HttpPlatformConfig::new(endpoints)
        .with_calls_per_second(PerSecond::new(1000))
        .with_timeout(Duration::from_secs(5))
}

fn platform(config: HttpPlatformConfig) -> HttpPlatform {
    HttpPlatform::new(config).expect("client")
}

/// The error of one call for changes.
async fn failure(config: HttpPlatformConfig) -> PlatformErrorKind {
    let changes = platform(config).changes(Revision::NONE, Duration::ZERO).await;
    changes.expect_err("failure").kind
}

fn list(name: ListName, revision: u64, content: &str) -> PublishedList {
    PublishedList { name, revision: Revision::new(revision), content: content.to_owned() }
}

#[tokio::test]
async fn changes_leave_out_lists_of_unknown_kinds() {
    let replica = FakeReplica::with_body("200 OK", CHANGES).await;
    let changes = platform(config(&[&replica])).changes(Revision::NONE, Duration::ZERO).await;
    let changes = changes.unwrap();
    let expected = vec![
        list(ListName::Rules, 7, "[all]\n"),
        list("targets.recipes".parse().unwrap(), 9, "{}"),
    ];
    assert_eq!(expected, changes.lists);
    assert_eq!((Revision::new(9), replica.endpoint), (changes.revision, changes.replica));
}

#[tokio::test]
async fn one_list_is_read_with_its_revision() {
    let answer = "HTTP/1.1 200 OK\r\nShallotfork-Revision: 7\r\nContent-Length: 2\r\n\r\n{}";
    let replica = FakeReplica::with_answer(answer.to_owned()).await;
    let actual = platform(config(&[&replica])).read(&ListName::Vms).await.unwrap();
    assert_eq!(Some(list(ListName::Vms, 7, "{}")), actual);
    let missing = FakeReplica::with_body("404 Not Found", "").await;
    let actual = platform(config(&[&missing])).read(&ListName::Vms).await.unwrap();
    assert_eq!(None, actual);
}

/// One replica of the platform is broken in one of several ways. The entry must say how, ask it
/// once only, and ask the next replica the next time; it would otherwise miss changes for as long
/// as the one replica is broken.
#[tokio::test]
async fn broken_replica_is_asked_once_and_then_the_next_one() {
    let broken = [
        FakeReplica::with_body("500 Oh No", "").await,
        FakeReplica::with_body("200 OK", "{").await,
        FakeReplica::with_body("200 OK", &CHANGES.replace("\"revision\":9", "\"revision\":1"))
            .await,
        FakeReplica::with_answer("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{".into()).await,
        FakeReplica::with_answer("onions".into()).await,
    ];
    for replica in &broken {
        let good = FakeReplica::with_body("200 OK", CHANGES).await;
        let platform = platform(config(&[replica, &good]));
        let error = platform.changes(Revision::NONE, Duration::ZERO).await.unwrap_err();
        assert_eq!((replica.endpoint, 1), (error.replica, replica.requests()));
        let changes = platform.changes(Revision::NONE, Duration::ZERO).await.unwrap();
        assert_eq!((good.endpoint, 1), (changes.replica, replica.requests()));
    }
}

/// A replica answers with a redirect to another address. The library would follow it, past the
/// cap on calls and to a machine that the settings do not name.
#[tokio::test]
async fn redirects_are_not_followed() {
    let other = FakeReplica::with_body("200 OK", CHANGES).await;
    let location = format!("http://{}/v1/changes", other.endpoint);
    let answer = format!("HTTP/1.1 302 Found\r\nLocation: {location}\r\nContent-Length: 0\r\n\r\n");
    let replica = FakeReplica::with_answer(answer).await;
    let actual = failure(config(&[&replica])).await;
    assert_eq!((PlatformErrorKind::Status(302), 0), (actual, other.requests()));
}

#[tokio::test]
async fn silent_replica_times_out() {
    let replica = FakeReplica::with_answer(String::new()).await;
    let config = config(&[&replica]).with_timeout(Duration::from_millis(50));
    assert_eq!(PlatformErrorKind::Timeout, failure(config).await);
}

#[tokio::test]
async fn replica_that_is_gone_is_unreachable() {
    let gone: Endpoint = "127.0.0.1:1".parse().unwrap();
    let actual = failure(HttpPlatformConfig::new(vec![gone])).await;
    assert!(matches!(actual, PlatformErrorKind::Unreachable(_)), "{actual}");
}

/// A replica sends more than an entry can hold. The entry must stop reading at the limit.
#[tokio::test]
async fn answers_over_the_limits_are_refused() {
    let replica = FakeReplica::with_body("200 OK", CHANGES).await;
    let limit = Bytes::new(16);
    let answer = config(&[&replica]).with_answer_max(limit);
    assert_eq!(PlatformErrorKind::TooLarge(limit), failure(answer).await);
    let limit = Bytes::new(5);
    let value = config(&[&replica]).with_list_max(limit);
    assert_eq!(PlatformErrorKind::TooLarge(limit), failure(value).await);
}

/// The platform is back after an outage and every entry has calls to make. Calls must stay spaced,
/// or the entries together pass what the platform can answer.
#[tokio::test]
async fn calls_are_spaced() {
    let replica = FakeReplica::with_body("200 OK", CHANGES).await;
    let platform = platform(config(&[&replica]).with_calls_per_second(PerSecond::new(100)));
    let begun = Instant::now();
    for _ in 0..11 {
        platform.changes(Revision::NONE, Duration::ZERO).await.unwrap();
    }
    let least = Duration::from_millis(95);
    assert!(begun.elapsed() >= least, "{:?}", begun.elapsed());
}
