//! Runs a scenario file against real processes and prints a table of the results.
//!
//! `cargo run --release -p shallotfork-bench --example scenario -- FILE [--policies A,B]
//! [--load PERMILLE] [--rounds N] [--length-ms N] [--plot FILE.svg]`
//!
//! A policy is a value of the setting `[balance] policy`; a suffix `@N` sets `entries_per_service`.
//! Every round runs each policy once, with new processes. Build the programs first, with the same
//! profile: `cargo build --release --workspace --bins`.

mod cost;
mod faults;
mod system;

use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, bail};
use lexopt::{Arg, Parser, ValueExt};
use shallotfork_standin::load::{Row, Scenario, arrivals, central_queue, plot, table};
use shallotfork_types::Permille;

use crate::system::{PolicyUnderTest, measure};

const DEFAULT_POLICIES: &str = "least-in-flight,load-aware";
const CENTRAL_QUEUE: &str = "central queue (computed)";

struct Options {
    scenario: Scenario,
    policies: Vec<PolicyUnderTest>,
    plot: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let Options { scenario, policies, plot: plot_path } = parse_options()?;
    let planned = arrivals(&scenario);
    let empty_row = |policy: &PolicyUnderTest| Row {
        name: policy.name.clone(),
        rounds: Vec::new(),
        costs: Vec::new(),
    };
    let mut rows: Vec<Row> = policies.iter().map(empty_row).collect();
    for round in 0..scenario.rounds {
        for (row, policy) in rows.iter_mut().zip(&policies) {
            let (measured, cost) = measure(&scenario, &planned, policy)
                .await
                .with_context(|| format!("round {round} of {}", policy.name))?;
            eprintln!("round {round} {}: p99 {:.1} ms", row.name, measured.quantile_ms(0.99));
            row.rounds.push(measured);
            row.costs.push(cost);
        }
    }
    let central = central_queue(&scenario, &planned)?;
    rows.push(Row { name: CENTRAL_QUEUE.to_owned(), rounds: vec![central], costs: Vec::new() });
    print!("{}", table(&scenario, &rows));
    match plot_path {
        Some(path) => plot(&path, &scenario.name, &rows),
        None => Ok(()),
    }
}

fn parse_options() -> anyhow::Result<Options> {
    let mut args = Parser::from_env();
    let mut file: Option<PathBuf> = None;
    let mut policies = DEFAULT_POLICIES.to_owned();
    let mut plot = None;
    let (mut load, mut rounds, mut length) = (None, None, None);
    while let Some(arg) = args.next()? {
        match arg {
            Arg::Value(path) if file.is_none() => file = Some(path.into()),
            Arg::Long("policies") => policies = args.value()?.string()?,
            Arg::Long("load") => load = Some(Permille::new(args.value()?.parse()?)),
            Arg::Long("rounds") => rounds = Some(args.value()?.parse()?),
            Arg::Long("length-ms") => {
                length = Some(Duration::from_millis(args.value()?.parse()?));
            }
            Arg::Long("plot") => plot = Some(args.value()?.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    let Some(file) = file else { bail!("no scenario file given") };
    let text = std::fs::read_to_string(&file).with_context(|| file.display().to_string())?;
    let mut scenario: Scenario = text.parse().with_context(|| file.display().to_string())?;
    scenario.service.load = load.unwrap_or(scenario.service.load);
    scenario.rounds = rounds.unwrap_or(scenario.rounds);
    scenario.length = length.unwrap_or(scenario.length);
    let policies = policies.split(',').map(str::parse).collect::<anyhow::Result<_>>()?;
    Ok(Options { scenario, policies, plot })
}
