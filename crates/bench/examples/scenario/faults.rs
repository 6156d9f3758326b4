//! Starts and ends the faults of a scenario at their scheduled times.

use shallotfork_standin::load::{Fault, FaultKind, Scenario};
use shallotfork_standin::platform::ReplicaMode;
use shallotfork_standin::target::{Noise, TargetFaults};
use shallotfork_tests::Running;
use tokio::time::Instant;

/// Duration of each quiet and each noisy phase of a target with noise, in milliseconds.
const NOISE_PHASE_MS: u64 = 20;
const FAIL_STATUS: u16 = 500;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The warm-up is over; the targets' counters are reset.
    WarmUpEnded,
    FaultStarted(usize),
    FaultEnded(usize),
}

/// Applies the faults of the scenario until its end.
pub async fn run_faults(
    scenario: &Scenario,
    running: &mut Running,
    started_at: Instant,
) -> anyhow::Result<()> {
    let mut events = vec![(scenario.warm_up, Event::WarmUpEnded)];
    for (index, fault) in scenario.faults.iter().enumerate() {
        events.push((fault.from, Event::FaultStarted(index)));
        events.push((fault.from + fault.lasts, Event::FaultEnded(index)));
    }
    events.sort();
    let mut active = vec![false; scenario.faults.len()];
    for (at, event) in events.into_iter().filter(|(at, _)| *at < scenario.length) {
        tokio::time::sleep_until(started_at + at).await;
        match event {
            Event::WarmUpEnded => reset_target_records(running).await?,
            Event::FaultStarted(index) => {
                active[index] = true;
                apply_fault(scenario, running, &active, index).await?;
            }
            Event::FaultEnded(index) => {
                active[index] = false;
                apply_fault(scenario, running, &active, index).await?;
            }
        }
    }
    resume_paused_entries(scenario, running, &active)
}

async fn reset_target_records(running: &Running) -> anyhow::Result<()> {
    for target in &running.targets {
        target.reset_records().await?;
    }
    Ok(())
}

async fn apply_fault(
    scenario: &Scenario,
    running: &mut Running,
    active: &[bool],
    index: usize,
) -> anyhow::Result<()> {
    let fault = &scenario.faults[index];
    match fault.kind {
        FaultKind::KillEntry if active[index] => {
            for entry in &fault.hits {
                running.entries[*entry].program.kill().await?;
            }
            Ok(())
        }
        FaultKind::KillEntry => Ok(()),
        FaultKind::PauseEntry => set_paused(running, fault, active[index]),
        FaultKind::PlatformDown => {
            let mode = if active[index] { ReplicaMode::Down } else { ReplicaMode::Serving };
            running.platform.set_mode(mode).await
        }
        FaultKind::Drain => {
            for target in &fault.hits {
                running.targets[*target].published_draining = active[index];
            }
            running.publish_targets(&scenario.service.name).await
        }
        _ => set_target_faults(scenario, running, active, fault).await,
    }
}

fn set_paused(running: &Running, fault: &Fault, is_paused: bool) -> anyhow::Result<()> {
    for entry in &fault.hits {
        let program = &running.entries[*entry].program;
        if is_paused { program.pause()? } else { program.resume()? }
    }
    Ok(())
}

fn resume_paused_entries(
    scenario: &Scenario,
    running: &Running,
    active: &[bool],
) -> anyhow::Result<()> {
    let faults = scenario.faults.iter().zip(active);
    for (fault, _) in
        faults.filter(|(fault, is_active)| **is_active && fault.kind == FaultKind::PauseEntry)
    {
        set_paused(running, fault, false)?;
    }
    Ok(())
}

/// Sets the faults of the targets hit by `changed`.
///
/// Setting faults replaces the earlier ones, so all active faults of a target are sent together.
async fn set_target_faults(
    scenario: &Scenario,
    running: &Running,
    active: &[bool],
    changed: &Fault,
) -> anyhow::Result<()> {
    for target in &changed.hits {
        let mut faults = TargetFaults::default();
        let candidates = scenario.faults.iter().zip(active);
        for (fault, _) in
            candidates.filter(|(fault, is_active)| **is_active && fault.hits.contains(target))
        {
            add_fault(&mut faults, fault.kind);
        }
        running.targets[*target].set_faults(faults).await?;
    }
    Ok(())
}

fn add_fault(faults: &mut TargetFaults, kind: FaultKind) {
    match kind {
        FaultKind::Straggler(permille) => faults.slowdown_permille = permille,
        FaultKind::Noise(slowdown_permille) => {
            faults.noise = Some(Noise { turn_ms: NOISE_PHASE_MS, slowdown_permille });
        }
        FaultKind::FailFast => faults.fail_status = Some(FAIL_STATUS),
        FaultKind::Frozen => faults.frozen = true,
        FaultKind::StaleReports(lag_ms) => faults.report.lag_ms = lag_ms,
        FaultKind::NoReports => faults.report.missing = true,
        FaultKind::Drain
        | FaultKind::KillEntry
        | FaultKind::PauseEntry
        | FaultKind::PlatformDown => {}
    }
}
