//! Compares the metrics catalogue with `docs/metrics.md`.

use shallotd::metrics_catalogue::METRICS;

const PAGE: &str = include_str!("../../../docs/metrics.md");

#[test]
fn docs_list_every_metric_in_order() {
    let expected: Vec<String> = METRICS
        .iter()
        .map(|metric| format!("| {} | {:?} | {} |", metric.name, metric.kind, metric.help))
        .collect();

    let actual: Vec<&str> = PAGE.lines().filter(|line| line.starts_with("| shallotd_")).collect();

    assert_eq!(expected, actual);
}
