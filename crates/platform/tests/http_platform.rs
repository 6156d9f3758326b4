//! Calls to replicas with valid answers, invalid answers or none.

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

/// Returns the error of a call for changes.
async fn changes_error(config: HttpPlatformConfig) -> PlatformErrorKind {
    let changes = platform(config).changes(Revision::NONE, Duration::ZERO).await;
    changes.expect_err("failure").kind
}

fn list(name: ListName, revision: u64, content: &str) -> PublishedList {
    PublishedList { name, revision: Revision::new(revision), content: content.to_owned() }
}

#[tokio::test]
async fn changes_skip_lists_of_unknown_kinds() {
    let replica = FakeReplica::with_body("200 OK", CHANGES).await;
    let changes = platform(config(&[&replica])).changes(Revision::NONE, Duration::ZERO).await;
    let changes = changes.unwrap();
    let expected = vec![
        list(ListName::Rules, 7, "[all]\n"),
        list("targets.recipes".parse().unwrap(), 9, "{}"),
    ];
    assert_eq!(expected, changes.lists);
    assert_eq!(
        (Revision::new(9), replica.endpoint),
        (changes.position.revision(), changes.replica)
    );
}

#[tokio::test]
async fn read_returns_list_with_revision() {
    let answer = "HTTP/1.1 200 OK\r\nShallotfork-Revision: 7\r\nContent-Length: 2\r\n\r\n{}";
    let replica = FakeReplica::with_answer(answer.to_owned()).await;
    let actual = platform(config(&[&replica])).read(&ListName::Vms).await.unwrap();
    assert_eq!(Some(list(ListName::Vms, 7, "{}")), actual);
    let missing = FakeReplica::with_body("404 Not Found", "").await;
    let actual = platform(config(&[&missing])).read(&ListName::Vms).await.unwrap();
    assert_eq!(None, actual);
}

/// Guards against missing changes while one replica of the platform is broken: the error must name
/// the replica, which is called only once, and the next call must go to the next replica.
#[tokio::test]
async fn failed_call_switches_to_next_replica() {
    let broken = [
        FakeReplica::with_body("500 Oh No", "").await,
        FakeReplica::with_body("200 OK", "{").await,
        FakeReplica::with_body("200 OK", &CHANGES.replace("\"revision\":9", "\"revision\":1"))
            .await,
        FakeReplica::with_answer("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{".into()).await,
        FakeReplica::with_answer("onions".into()).await,
    ];
    for replica in &broken {
        let healthy = FakeReplica::with_body("200 OK", CHANGES).await;
        let platform = platform(config(&[replica, &healthy]));
        let error = platform.changes(Revision::NONE, Duration::ZERO).await.unwrap_err();
        assert_eq!((replica.endpoint, 1), (error.replica, replica.request_count()));
        let changes = platform.changes(Revision::NONE, Duration::ZERO).await.unwrap();
        assert_eq!((healthy.endpoint, 1), (changes.replica, replica.request_count()));
    }
}

/// Guards against following a redirect, which would bypass the limit on calls and contact a host
/// that the settings do not name.
#[tokio::test]
async fn redirects_are_not_followed() {
    let other = FakeReplica::with_body("200 OK", CHANGES).await;
    let location = format!("http://{}/v1/changes", other.endpoint);
    let answer = format!("HTTP/1.1 302 Found\r\nLocation: {location}\r\nContent-Length: 0\r\n\r\n");
    let replica = FakeReplica::with_answer(answer).await;
    let actual = changes_error(config(&[&replica])).await;
    assert_eq!((PlatformErrorKind::Status(302), 0), (actual, other.request_count()));
}

#[tokio::test]
async fn silent_replica_times_out() {
    let replica = FakeReplica::with_answer(String::new()).await;
    let config = config(&[&replica]).with_timeout(Duration::from_millis(50));
    assert_eq!(PlatformErrorKind::Timeout, changes_error(config).await);
}

#[tokio::test]
async fn closed_port_is_unreachable() {
    let closed_port: Endpoint = "127.0.0.1:1".parse().unwrap();
    let actual = changes_error(HttpPlatformConfig::new(vec![closed_port])).await;
    assert!(matches!(actual, PlatformErrorKind::Unreachable(_)), "{actual}");
}

/// Guards against running out of memory when a replica sends more than the limit.
#[tokio::test]
async fn answers_over_limits_are_rejected() {
    let replica = FakeReplica::with_body("200 OK", CHANGES).await;
    let limit = Bytes::new(16);
    let answer = config(&[&replica]).with_answer_max(limit);
    assert_eq!(PlatformErrorKind::TooLarge(limit), changes_error(answer).await);
    let limit = Bytes::new(5);
    let value = config(&[&replica]).with_list_max(limit);
    assert_eq!(PlatformErrorKind::TooLarge(limit), changes_error(value).await);
}

/// Guards against overloading the platform after an outage, when every entry has calls to make:
/// calls must stay spaced.
#[tokio::test]
async fn calls_are_spaced() {
    let replica = FakeReplica::with_body("200 OK", CHANGES).await;
    let platform = platform(config(&[&replica]).with_calls_per_second(PerSecond::new(100)));
    let started_at = Instant::now();
    for _ in 0..11 {
        platform.changes(Revision::NONE, Duration::ZERO).await.unwrap();
    }
    let min_duration = Duration::from_millis(95);
    assert!(started_at.elapsed() >= min_duration, "{:?}", started_at.elapsed());
}
