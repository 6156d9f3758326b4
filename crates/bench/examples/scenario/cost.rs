//! Cost of a scenario run, read from the processes of the system.

use std::time::Duration;

use shallotfork_bench::cpu_time;
use shallotfork_standin::load::{Measured, Scenario, SystemCost};
use shallotfork_tests::Running;

/// Time that a target spends on one probe, in seconds.
const PROBE_DURATION_S: f64 = 0.006;

/// Processor time that the entries have used up to a moment.
pub struct EntryCpuTime {
    used: Duration,
}

impl EntryCpuTime {
    /// Sums the processor time of the running entries; killed entries count as zero.
    pub fn read(running: &Running) -> Self {
        let pids = running.entries.iter().filter_map(|entry| entry.program.pid());
        Self { used: pids.filter_map(|pid| cpu_time(pid).ok()).sum() }
    }
}

/// Computes the costs of a run. The targets' counters must have been reset after the warm-up.
pub async fn system_cost(
    scenario: &Scenario,
    running: &Running,
    before: &EntryCpuTime,
    measured: &Measured,
    requests: usize,
) -> anyhow::Result<SystemCost> {
    let used = EntryCpuTime::read(running).used.saturating_sub(before.used);
    let records = running.records().await?;
    let arrived: u64 = records.iter().map(|records| records.arrived).sum();
    let probes = records.iter().map(|records| records.probes).max().unwrap_or(0);
    let target_time_s = scenario.service.slots as f64 * measured.length.as_secs_f64();
    let served = (measured.requests - measured.refused).max(1) as f64;
    Ok(SystemCost {
        extra_share: arrived as f64 / served - 1.0,
        probe_share_max: probes as f64 * PROBE_DURATION_S / target_time_s,
        cpu_us_per_request: used.as_micros() as f64 / requests.max(1) as f64,
    })
}
