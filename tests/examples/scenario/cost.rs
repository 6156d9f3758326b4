//! What a run cost the system, from its processes.

use std::fs;

use anyhow::Context;
use shallotfork_standin::load::{Measured, Scenario, SystemCost};
use shallotfork_tests::Running;

/// Target time that one probe takes, as the users measured.
const PROBE_S: f64 = 0.006;
/// Clock ticks of `/proc/PID/stat`, in microseconds; a hundred a second on Linux.
const TICK_US: f64 = 10_000.0;
/// Place of the user time after the command's closing parenthesis (proc(5), fields 14 and 15).
const USER_TIME_FIELD: usize = 11;

/// Processor time that the entries have used up to a moment.
pub struct CpuReading {
    ticks: u64,
}

impl CpuReading {
    /// Sums over the entries that run; those that were killed count as none.
    pub fn of_entries(running: &Running) -> Self {
        let pids = running.entries.iter().filter_map(|entry| entry.program.pid());
        Self { ticks: pids.filter_map(|pid| ticks(pid).ok()).sum() }
    }
}

fn ticks(pid: u32) -> anyhow::Result<u64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = stat.rsplit_once(')').context("no command name")?;
    let times = fields.split_whitespace().skip(USER_TIME_FIELD).take(2);
    let times: Result<Vec<u64>, _> = times.map(str::parse).collect();
    Ok(times?.into_iter().sum())
}

/// Costs of a run whose targets forgot their counts after the warm-up.
pub async fn system_cost(
    scenario: &Scenario,
    running: &Running,
    before: &CpuReading,
    measured: &Measured,
    requests: usize,
) -> anyhow::Result<SystemCost> {
    let used = CpuReading::of_entries(running).ticks.saturating_sub(before.ticks);
    let records = running.records().await?;
    let arrived: u64 = records.iter().map(|records| records.arrived).sum();
    let probes = records.iter().map(|records| records.probes).max().unwrap_or(0);
    let target_time_s = scenario.service.slots as f64 * measured.length.as_secs_f64();
    let served = (measured.requests - measured.refused).max(1) as f64;
    Ok(SystemCost {
        extra_share: arrived as f64 / served - 1.0,
        probe_share_max: probes as f64 * PROBE_S / target_time_s,
        cpu_us_per_request: used as f64 * TICK_US / requests.max(1) as f64,
    })
}
