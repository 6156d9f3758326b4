//! Switches faults on and off at their times.

use shallotfork_standin::load::{Fault, FaultKind, Scenario};
use shallotfork_standin::platform::ReplicaMode;
use shallotfork_standin::target::{Noise, TargetFaults};
use shallotfork_tests::Running;
use tokio::time::Instant;

/// Length of each quiet and of each noisy turn.
const NOISE_TURN_MS: u64 = 20;
const FAIL_STATUS: u16 = 500;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// Targets forget what they counted during the warm-up.
    WarmedUp,
    On(usize),
    Off(usize),
}

/// Plays the scenario's faults until its end.
pub async fn play(
    scenario: &Scenario,
    running: &mut Running,
    begin: Instant,
) -> anyhow::Result<()> {
    let mut steps = vec![(scenario.warm_up, Step::WarmedUp)];
    for (number, fault) in scenario.faults.iter().enumerate() {
        steps.push((fault.from, Step::On(number)));
        steps.push((fault.from + fault.lasts, Step::Off(number)));
    }
    steps.sort();
    let mut active = vec![false; scenario.faults.len()];
    for (at, step) in steps.into_iter().filter(|(at, _)| *at < scenario.length) {
        tokio::time::sleep_until(begin + at).await;
        match step {
            Step::WarmedUp => forget(running).await?,
            Step::On(number) => {
                active[number] = true;
                change(scenario, running, &active, number).await?;
            }
            Step::Off(number) => {
                active[number] = false;
                change(scenario, running, &active, number).await?;
            }
        }
    }
    resume_all(scenario, running, &active)
}

async fn forget(running: &Running) -> anyhow::Result<()> {
    for target in &running.targets {
        target.reset_records().await?;
    }
    Ok(())
}

async fn change(
    scenario: &Scenario,
    running: &mut Running,
    active: &[bool],
    number: usize,
) -> anyhow::Result<()> {
    let fault = &scenario.faults[number];
    match fault.kind {
        FaultKind::KillEntry if active[number] => {
            for entry in &fault.hits {
                running.entries[*entry].program.kill().await?;
            }
            Ok(())
        }
        FaultKind::KillEntry => Ok(()),
        FaultKind::PauseEntry => pause(running, fault, active[number]),
        FaultKind::PlatformDown => {
            let mode = if active[number] { ReplicaMode::Down } else { ReplicaMode::Serving };
            running.platform.set_mode(mode).await
        }
        FaultKind::Drain => {
            for target in &fault.hits {
                running.targets[*target].published_draining = active[number];
            }
            running.publish_targets(&scenario.service.name).await
        }
        _ => set_target_faults(scenario, running, active, fault).await,
    }
}

fn pause(running: &Running, fault: &Fault, on: bool) -> anyhow::Result<()> {
    for entry in &fault.hits {
        let program = &running.entries[*entry].program;
        if on { program.pause()? } else { program.resume()? }
    }
    Ok(())
}

fn resume_all(scenario: &Scenario, running: &Running, active: &[bool]) -> anyhow::Result<()> {
    let paused = scenario.faults.iter().zip(active);
    for (fault, _) in paused.filter(|(fault, on)| **on && fault.kind == FaultKind::PauseEntry) {
        pause(running, fault, false)?;
    }
    Ok(())
}

/// A target has one set of faults: all that are active for it, together.
async fn set_target_faults(
    scenario: &Scenario,
    running: &Running,
    active: &[bool],
    changed: &Fault,
) -> anyhow::Result<()> {
    for target in &changed.hits {
        let mut faults = TargetFaults::default();
        let of_target = scenario.faults.iter().zip(active);
        for (fault, _) in of_target.filter(|(fault, on)| **on && fault.hits.contains(target)) {
            add(&mut faults, fault.kind);
        }
        running.targets[*target].set_faults(faults).await?;
    }
    Ok(())
}

fn add(faults: &mut TargetFaults, kind: FaultKind) {
    match kind {
        FaultKind::Straggler(permille) => faults.slowdown_permille = permille,
        FaultKind::Noise(slowdown_permille) => {
            faults.noise = Some(Noise { turn_ms: NOISE_TURN_MS, slowdown_permille });
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
