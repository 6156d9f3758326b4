//! Tests of route tables, their versions, and the distribution of requests among services.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use quickcheck::{QuickCheck, TestResult};
use shallotfork_routes::{
    AnswerSize, CallerLimits, OfferOutcome, Priority, RepeatPolicy, Route, RouteName, RouteTable,
    ServiceSpec, Splitter, TableError, TableInForce, TableVersion, WeightedService,
};
use shallotfork_types::{Bytes, ServiceName};

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).unwrap()
}

fn route(name: &str, prefix: &str, weighted_services: &[(&str, u32)]) -> Route {
    let weighted_service =
        |(name, weight): &(&str, u32)| WeightedService { service: service(name), weight: *weight };
    Route {
        name: RouteName::new(name).unwrap(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        repeat_policy: RepeatPolicy::Idempotent,
        timeout: Duration::from_secs(2),
        latency_objective: Duration::from_millis(400),
        priority: Priority::new(1),
        answer_size: AnswerSize::Ordinary,
        attempts_max: 2,
        services: weighted_services.iter().map(weighted_service).collect(),
    }
}

fn table(version: u64, routes: Vec<Route>) -> Result<RouteTable, Vec<TableError>> {
    let spec =
        || ServiceSpec { health_path: "/health".to_owned(), connections_max: 200, warmup: None };
    let services = BTreeMap::from([(service("a"), spec()), (service("b"), spec())]);
    let limits = CallerLimits {
        header_max: Bytes::from_kib(16),
        body_max: Bytes::from_mib(64),
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    RouteTable::new(TableVersion::new(version), routes, services, limits)
}

fn name(found: Option<&Arc<Route>>) -> Option<&str> {
    found.map(|route| route.name.as_str())
}

#[test]
fn longest_prefix_wins() {
    let routes = vec![
        route("all", "/", &[("a", 1)]),
        route("orders", "/orders/", &[("a", 1)]),
        route("express", "/orders/express/", &[("b", 1)]),
    ];
    let table = table(1, routes).unwrap();
    assert_eq!(name(table.find("shop.example", "/orders/express/7")), Some("express"));
    assert_eq!(name(table.find("shop.example", "/orders/7")), Some("orders"));
    assert_eq!(name(table.find("shop.example", "/orders")), Some("all"));
    assert_eq!(name(table.find("other.example", "/orders/7")), None);
}

#[test]
fn invalid_table_is_rejected_with_all_errors() {
    let mut without_timeout = route("hasty", "/hasty/", &[("a", 1)]);
    without_timeout.timeout = Duration::ZERO;
    let mut without_attempts = route("never", "/never/", &[("a", 0)]);
    without_attempts.attempts_max = 0;
    let routes = vec![
        without_timeout,
        without_attempts,
        route("open", "/open", &[("gone", 1)]),
        route("twice", "/same/", &[("a", 1)]),
        route("twice", "/same/", &[("a", 1)]),
    ];
    let errors = table(1, routes).unwrap_err();
    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
    assert_eq!(
        texts,
        [
            "route hasty: the timeout is zero",
            "route never: no service with a weight",
            "route never: no attempt is allowed",
            "route open: unknown service gone",
            "route open: the prefix does not start and end with a slash",
            "route twice occurs twice",
            "routes twice and twice cover the same requests",
        ]
    );
}

/// Guards against requests to the previous service of a route when a full read that is seconds old
/// returns the table from before an operator's change.
#[test]
fn older_table_never_replaces_a_later_one() {
    let mut in_force = TableInForce::new();
    let table_with_version = |version| table(version, vec![route("r", "/", &[("a", 1)])]).unwrap();
    assert_eq!(in_force.offer(table_with_version(5)), OfferOutcome::Accepted);
    assert_eq!(in_force.offer(table_with_version(9)), OfferOutcome::Accepted);
    assert_eq!(
        in_force.offer(table_with_version(5)),
        OfferOutcome::Older { in_force: TableVersion::new(9) }
    );
    assert_eq!(in_force.offer(table_with_version(9)), OfferOutcome::AlreadyInForce);
    assert_eq!(in_force.table().map(|table| table.version()), Some(TableVersion::new(9)));
}

/// Guards against shares that drift: for any number of requests, the count of each service differs
/// from its share by at most the number of services.
#[test]
fn shares_match_the_weights_at_any_time() {
    fn property(weights: Vec<u8>, requests: u8) -> TestResult {
        let total: u32 = weights.iter().map(|weight| u32::from(*weight)).sum();
        if total == 0 || weights.len() < 2 {
            return TestResult::discard();
        }
        let names: Vec<String> = (0..weights.len()).map(|index| format!("s{index}")).collect();
        let weighted_services: Vec<(&str, u32)> =
            names.iter().map(String::as_str).zip(weights.iter().map(|w| u32::from(*w))).collect();
        let route = route("split", "/", &weighted_services);
        let mut splitter = Splitter::new();
        let mut counts: BTreeMap<ServiceName, u32> = BTreeMap::new();
        for _ in 0..requests {
            *counts.entry(splitter.next(&route)).or_default() += 1;
        }
        let is_within_bounds = weighted_services.iter().all(|(name, weight)| {
            let count = counts.get(&service(name)).copied().unwrap_or(0);
            let expected = f64::from(requests) * f64::from(*weight) / f64::from(total);
            (f64::from(count) - expected).abs() <= weighted_services.len() as f64
        });
        TestResult::from_bool(is_within_bounds)
    }
    QuickCheck::new().tests(500).quickcheck(property as fn(Vec<u8>, u8) -> TestResult);
}

#[test]
fn changed_weights_apply_from_the_next_request() {
    let mut splitter = Splitter::new();
    let even = route("split", "/", &[("a", 1), ("b", 1)]);
    splitter.next(&even);
    let only_b = route("split", "/", &[("a", 0), ("b", 7)]);
    assert!((0..20).all(|_| splitter.next(&only_b) == service("b")));
}

/// Guards against rejecting a whole table, with all its other changes, because the latency
/// objective of one route exceeds its timeout.
#[test]
fn latency_objective_may_exceed_the_timeout() {
    let mut route = route("patient", "/", &[("a", 1)]);
    route.latency_objective = route.timeout * 2;
    assert!(table(1, vec![route]).is_ok());
}
