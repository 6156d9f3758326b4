//! Result table of a comparison.

use std::fmt::Write as _;

use super::outcome::{Measured, SystemCost};
use super::scenario::Scenario;

/// Results of all rounds of one policy.
#[derive(Debug, Clone)]
pub struct Row {
    /// Name of the policy or of a computed baseline.
    pub name: String,
    /// Measurements, one for each round.
    pub rounds: Vec<Measured>,
    /// Costs, one for each round; empty for a computed baseline.
    pub costs: Vec<SystemCost>,
}

/// Formats the medians over the rounds, with the lowest and highest p99 as spread.
pub fn table(scenario: &Scenario, rows: &[Row]) -> String {
    let mut text = format!(
        "{}: {} entries, {} targets x {} slots, {} of capacity, {} rounds\n\n",
        scenario.name,
        scenario.entries,
        scenario.service.targets,
        scenario.service.slots,
        scenario.service.load,
        scenario.rounds,
    );
    text.push_str("| policy | p50 ms | p99 ms | p99 lowest to highest | p99.9 ms | goodput | refused | failed | extra | probes | CPU us/request | send lag ms |\n");
    text.push_str("| --- | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: |\n");
    for row in rows {
        write_row(&mut text, scenario, row);
    }
    text
}

fn write_row(text: &mut String, scenario: &Scenario, row: &Row) {
    let capacity = scenario.service.capacity_per_second();
    let per_round =
        |value: &dyn Fn(&Measured) -> f64| row.rounds.iter().map(value).collect::<Vec<_>>();
    let p99s = per_round(&|round| round.quantile_ms(0.99));
    let share = |count: u64, round: &Measured| count as f64 / round.requests.max(1) as f64 * 100.0;
    let cost = |value: &dyn Fn(&SystemCost) -> f64| {
        median(row.costs.iter().map(value).collect()).map_or("-".to_owned(), |v| format!("{v:.2}"))
    };
    let median_or_nan = |values: Vec<f64>| median(values).unwrap_or(f64::NAN);
    let lowest = p99s.iter().copied().fold(f64::INFINITY, f64::min);
    let highest = p99s.iter().copied().fold(0.0, f64::max);
    // Writing to a `String` cannot fail.
    let _ = writeln!(
        text,
        "| {} | {:.1} | {:.1} | {lowest:.1} to {highest:.1} | {:.1} | {:.1}% | {:.2}% | {:.2}% | {}% | {}% | {} | {:.1} |",
        row.name,
        median_or_nan(per_round(&|round| round.quantile_ms(0.5))),
        median_or_nan(p99s.clone()),
        median_or_nan(per_round(&|round| round.quantile_ms(0.999))),
        median_or_nan(per_round(&|round| round.goodput(capacity) * 100.0)),
        median_or_nan(per_round(&|round| share(round.refused, round))),
        median_or_nan(per_round(&|round| share(round.failed, round))),
        cost(&|cost| cost.extra_share * 100.0),
        cost(&|cost| cost.probe_share_max * 100.0),
        cost(&|cost| cost.cpu_us_per_request),
        median_or_nan(per_round(&|round| round.send_lag_max_us as f64 / 1000.0)),
    );
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
