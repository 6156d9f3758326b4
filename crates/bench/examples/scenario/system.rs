//! One run of a scenario against a system of real processes.

use std::str::FromStr;
use std::sync::Arc;

use anyhow::Context;
use shallotfork_standin::caller::{Caller, CallerConfig};
use shallotfork_standin::load::{
    Arrival, Fault, FaultKind, Measured, Scenario, SystemCost, open_loop,
};
use shallotfork_tests::{Case, Running};
use tokio::time::Instant;

use crate::cost::{CpuReading, system_cost};
use crate::faults::play;

/// Sends of a request where entries fail.
const SENDS_MAX: usize = 2;

/// What one row of the table stands for.
#[derive(Debug, Clone)]
pub struct PolicyUnderTest {
    /// As given.
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

/// Starts a system, plays the scenario and reads what it cost.
pub async fn measure(
    scenario: &Scenario,
    planned: &[Arrival],
    policy: &PolicyUnderTest,
) -> anyhow::Result<(Measured, SystemCost)> {
    let mut running = case(scenario, policy).start().await?;
    let callers = callers(scenario, &running)?;
    for caller in &callers {
        caller.entries(&scenario.service.name).await.context("which entries to use")?;
    }
    let before = CpuReading::of_entries(&running);
    let begin = Instant::now();
    let load = open_loop(scenario, planned, &callers, begin);
    let faults = play(scenario, &mut running, begin);
    let (measured, faults) = futures::future::join(load, faults).await;
    faults.context("a fault")?;
    let measured = measured?;
    let cost = system_cost(scenario, &running, &before, &measured, planned.len()).await?;
    Ok((measured, cost))
}

fn case(scenario: &Scenario, policy: &PolicyUnderTest) -> Case {
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

/// A refused request counts as refused; a resend would hide that.
fn sends_max(scenario: &Scenario) -> usize {
    let of_entries =
        |fault: &Fault| matches!(fault.kind, FaultKind::KillEntry | FaultKind::PauseEntry);
    if scenario.faults.iter().any(of_entries) { SENDS_MAX } else { 1 }
}

/// Each caller knows all entries, starting with another one.
fn callers(scenario: &Scenario, running: &Running) -> anyhow::Result<Vec<Arc<Caller>>> {
    let mut entries = running.caller_addresses();
    let mut callers = Vec::new();
    for _ in 0..scenario.callers {
        entries.rotate_left(1);
        let config = CallerConfig::new(entries.clone())
            .with_attempts_max(sends_max(scenario))
            .with_timeout(scenario.deadline * 2);
        callers.push(Arc::new(Caller::new(config)?));
    }
    Ok(callers)
}
