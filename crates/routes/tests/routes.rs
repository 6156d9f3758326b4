//! Tests of route tables, their versions, and the distribution of requests among services.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::{QuickCheck, TestResult};
use shallotfork_routes::{
    AnswerSize, CallerLimits, OfferOutcome, Priority, RepeatPolicy, Route, RouteLookup, RouteName,
    RouteTable, ServiceSpec, Splitter, TableInForce, TableVersion, UnusableRoute, WeightedService,
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

fn unusable(name: &str, prefix: &str) -> UnusableRoute {
    UnusableRoute {
        name: name.to_owned(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        reason: "kind is missing".to_owned(),
    }
}

fn limits(body_max: Bytes) -> CallerLimits {
    CallerLimits { body_max, ..CallerLimits::default() }
}

fn table(version: u64, routes: Vec<Route>, unusable: Vec<UnusableRoute>) -> RouteTable {
    let spec =
        || ServiceSpec { health_path: "/health".to_owned(), connections_max: 200, warmup: None };
    let services = BTreeMap::from([(service("a"), spec()), (service("b"), spec())]);
    RouteTable::new(TableVersion::new(version))
        .with_services(services)
        .with_routes(routes, unusable)
        .with_limits(limits(Bytes::from_mib(64)))
}

fn name<'a>(found: RouteLookup<'a>) -> Option<&'a str> {
    match found {
        RouteLookup::Usable(route) => Some(route.name.as_str()),
        RouteLookup::Unusable(_) | RouteLookup::NotFound => None,
    }
}

fn reasons(table: &RouteTable) -> Vec<String> {
    table.unusable_routes().map(|route| format!("{}: {}", route.name, route.reason)).collect()
}

#[test]
fn longest_prefix_wins() {
    let routes = vec![
        route("all", "/", &[("a", 1)]),
        route("orders", "/orders/", &[("a", 1)]),
        route("express", "/orders/express/", &[("b", 1)]),
    ];
    let table = table(1, routes, Vec::new());
    assert_eq!(name(table.find("shop.example", "/orders/express/7")), Some("express"));
    assert_eq!(name(table.find("shop.example", "/orders/7")), Some("orders"));
    assert_eq!(name(table.find("shop.example", "/orders")), Some("all"));
    assert_eq!(table.find("other.example", "/orders/7"), RouteLookup::NotFound);
}

/// Guards against using a route that is not valid, and against losing any of its errors. The table
/// used to be rejected as a whole with these errors.
#[test]
fn invalid_routes_are_unusable_with_all_errors() {
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
        route("sound", "/sound/", &[("a", 1)]),
    ];
    let table = table(1, routes, Vec::new());
    assert_eq!(
        reasons(&table),
        [
            "hasty: the timeout is zero",
            "never: no service has a weight; no attempt is allowed",
            "twice: another route has the same name; another route has the same host and prefix",
            "twice: another route has the same name; another route has the same host and prefix",
            "open: service gone is unknown or not valid; the prefix does not start and end with a slash",
        ]
    );
    let usable: Vec<&str> = table.routes().map(|route| route.name.as_str()).collect();
    assert_eq!(usable, ["sound"]);
}

/// Guards against handling the requests of an unusable route by a route with a shorter prefix, and
/// against rejecting those of one with a longer prefix.
#[test]
fn unusable_route_covers_its_requests() {
    let routes =
        vec![route("all", "/", &[("a", 1)]), route("express", "/orders/express/", &[("b", 1)])];
    let table = table(1, routes, vec![unusable("orders", "/orders/"), unusable("open", "/open")]);
    let is_unusable = |path: &str| match table.find("shop.example", path) {
        RouteLookup::Unusable(route) => Some(route.name.as_str()),
        RouteLookup::Usable(_) | RouteLookup::NotFound => None,
    };
    assert_eq!(is_unusable("/orders/7"), Some("orders"));
    assert_eq!(is_unusable("/open"), Some("open"));
    assert_eq!(is_unusable("/open/7"), Some("open"));
    assert_eq!(name(table.find("shop.example", "/orders/express/7")), Some("express"));
    assert_eq!(name(table.find("shop.example", "/opening")), Some("all"));
}

/// Guards against a choice between a valid and an undecodable route with the same host and prefix,
/// either of which may be the one that the operator wants.
#[test]
fn route_with_the_match_of_an_unusable_one_is_unusable() {
    let table = table(1, vec![route("r", "/a/", &[("a", 1)])], vec![unusable("other", "/a/")]);
    assert_eq!(table.routes().count(), 0);
    assert_eq!(table.unusable_routes().count(), 2);
}

/// Guards against rejecting large bodies that the last valid limits allow, because a later table has
/// no valid limits.
#[test]
fn table_without_limits_adopts_the_last_ones() {
    let without = |version| RouteTable::new(TableVersion::new(version));
    let mut in_force = TableInForce::new();
    let body_max = |in_force: &TableInForce| in_force.table().map(|table| table.limits().body_max);
    in_force.offer(without(1));
    assert_eq!(body_max(&in_force), Some(CallerLimits::default().body_max));
    in_force.offer(without(2).with_limits(limits(Bytes::from_mib(64))));
    in_force.offer(without(3));
    in_force.offer(without(4));
    assert_eq!(body_max(&in_force), Some(Bytes::from_mib(64)));
    assert_eq!(in_force.offer(without(4)), OfferOutcome::AlreadyInForce);
    let changed = without(4).with_limits(limits(Bytes::from_mib(1)));
    assert_eq!(in_force.offer(changed), OfferOutcome::SameVersion);
}

/// Guards against requests to the previous service of a route when a full read that is seconds old
/// returns the table from before an operator's change.
#[test]
fn older_table_never_replaces_a_later_one() {
    let mut in_force = TableInForce::new();
    let table_with_version =
        |version| table(version, vec![route("r", "/", &[("a", 1)])], Vec::new());
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

/// Guards against rejecting the requests of a route because its latency objective exceeds its
/// timeout.
#[test]
fn latency_objective_may_exceed_the_timeout() {
    let mut route = route("patient", "/", &[("a", 1)]);
    route.latency_objective = route.timeout * 2;
    assert_eq!(table(1, vec![route], Vec::new()).routes().count(), 1);
}
