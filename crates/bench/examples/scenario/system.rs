//! Runs a scenario once against a system of real processes.

use std::str::FromStr;
use std::sync::Arc;

use anyhow::Context;
use shallotfork_standin::caller::{Caller, CallerConfig};
use shallotfork_standin::load::{
    Arrival, Fault, FaultKind, Measured, Scenario, SystemCost, open_loop,
};
use shallotfork_tests::{Case, Running};
use tokio::time::Instant;

use crate::cost::{EntryCpuTime, system_cost};
use crate::faults::run_faults;

/// Limit on how often a caller sends a request in a scenario whose faults hit entries.
const CALLER_SENDS_MAX: usize = 2;

/// Balancing policy measured in one row of the table.
#[derive(Debug, Clone)]
pub struct PolicyUnderTest {
    /// Name as given on the command line.
    pub name: String,
    policy: String,
    entries_per_service: Option<String>,
}

impl FromStr for PolicyUnderTest {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        let (policy, entries) = match text.split_once('@') {
            Some((policy, entries)) => (policy, Some(entries.to_owned())),
            None => (text, None),
        };
        let policy = policy.to_owned();
        Ok(Self { name: text.to_owned(), policy, entries_per_service: entries })
    }
}

/// Starts a system, runs the scenario on it and reads its cost.
pub async fn measure(
    scenario: &Scenario,
    planned: &[Arrival],
    policy: &PolicyUnderTest,
) -> anyhow::Result<(Measured, SystemCost)> {
    let mut running = build_case(scenario, policy).start().await?;
    let callers = build_callers(scenario, &running)?;
    for caller in &callers {
        caller
            .entries(&scenario.service.name)
            .await
            .context("cannot read the advertised entries")?;
    }
    let before = EntryCpuTime::read(&running);
    let started_at = Instant::now();
    let load = open_loop(scenario, planned, &callers, started_at);
    let faults = run_faults(scenario, &mut running, started_at);
    let (measured, faults) = futures::future::join(load, faults).await;
    faults.context("cannot apply a fault")?;
    let measured = measured?;
    let cost = system_cost(scenario, &running, &before, &measured, planned.len()).await?;
    Ok((measured, cost))
}

fn build_case(scenario: &Scenario, policy: &PolicyUnderTest) -> Case {
    let service = &scenario.service;
    let deadline_ms = scenario.deadline.as_millis();
    let rules = format!("[all]\nthen.deadline_ms = {deadline_ms}\nthen.hedge = yes\n");
    let case = Case::new()
        .with_entries(scenario.entries)
        .with_service(service.name.as_str(), service.targets)
        .with_rules(&rules)
        .with_target_option("--slots", &service.slots.to_string())
        .with_target_option("--queue-max", "100000")
        .with_setting("vm", "probe_shares", &scenario.entries.to_string())
        .with_setting("balance", "policy", &policy.policy);
    match &policy.entries_per_service {
        Some(entries) => case.with_setting("balance", "entries_per_service", entries),
        None => case,
    }
}

/// Returns how often a caller may send a request.
///
/// It is once, unless faults hit entries: a resend would hide rejected requests from the results.
fn caller_sends_max(scenario: &Scenario) -> usize {
    let hits_entries =
        |fault: &Fault| matches!(fault.kind, FaultKind::KillEntry | FaultKind::PauseEntry);
    if scenario.faults.iter().any(hits_entries) { CALLER_SENDS_MAX } else { 1 }
}

/// Creates callers that know all entries, each starting with a different one.
fn build_callers(scenario: &Scenario, running: &Running) -> anyhow::Result<Vec<Arc<Caller>>> {
    let mut entries = running.caller_addresses();
    let mut callers = Vec::new();
    for _ in 0..scenario.callers {
        entries.rotate_left(1);
        let config = CallerConfig::new(entries.clone())
            .with_attempts_max(caller_sends_max(scenario))
            .with_timeout(scenario.deadline * 2);
        callers.push(Arc::new(Caller::new(config)?));
    }
    Ok(callers)
}
