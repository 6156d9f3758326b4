//! Scenario files: one service, its load, and the faults during the run.

use std::str::FromStr;
use std::time::Duration;

use anyhow::{Context, bail};
use ini::{Ini, Properties};
use shallotfork_types::{Permille, ServiceName};

const SCENARIO: &str = "scenario";
const SERVICE: &str = "service";
const FAULT_PREFIX: &str = "fault.";

/// A service and its load.
#[derive(Debug, Clone)]
pub struct ServiceLoad {
    /// Name of the service.
    pub name: ServiceName,
    /// Number of targets of the service.
    pub targets: usize,
    /// Number of requests that a target runs concurrently.
    pub slots: usize,
    /// Mean time that a request holds a slot.
    pub work: Duration,
    /// Spread of `work`: standard deviation of its logarithm; zero selects an exponential
    /// distribution.
    pub spread: f64,
    /// Arrival rate as a share of the capacity of all slots.
    pub load: Permille,
}

impl ServiceLoad {
    /// Returns the requests per second that all slots together can serve.
    pub fn capacity_per_second(&self) -> f64 {
        (self.targets * self.slots) as f64 / self.work.as_secs_f64()
    }

    /// Returns the number of arrivals per second.
    pub fn arrivals_per_second(&self) -> f64 {
        self.capacity_per_second() * f64::from(self.load.value()) / 1000.0
    }
}

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// Work at a target takes this many thousandths of its usual time.
    Straggler(u64),
    /// A noisy neighbour makes work at a target take this many thousandths of its usual time, in
    /// turns of 20 ms.
    Noise(u64),
    /// A target fails every request immediately.
    FailFast,
    /// A target accepts requests but does not process them until the fault ends.
    Frozen,
    /// The load reports of a target describe its load as it was this many milliseconds ago.
    StaleReports(u64),
    /// A target sends no load reports.
    NoReports,
    /// A target is published as draining.
    Drain,
    /// The process of an entry is killed and not restarted.
    KillEntry,
    /// The process of an entry is paused until the fault ends.
    PauseEntry,
    /// The platform refuses connections.
    PlatformDown,
}

/// A fault and the time during which it is active.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Indices of the affected targets or entries.
    pub hits: Vec<usize>,
    /// Time at which the fault begins, from the start of the run.
    pub from: Duration,
    /// Duration of the fault.
    pub lasts: Duration,
}

/// A named benchmark scenario; the same seed gives the same arrivals, work and faults.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name of the scenario, used for file names.
    pub name: String,
    /// Seed of the random arrivals and work.
    pub seed: u64,
    /// Number of entry processes.
    pub entries: usize,
    /// Number of callers, each with its own cached list of entries.
    pub callers: usize,
    /// Length of the warm-up; requests that arrive in it are not measured.
    pub warm_up: Duration,
    /// Length of the run, including the warm-up.
    pub length: Duration,
    /// Number of rounds per policy, each with a newly started system.
    pub rounds: usize,
    /// Deadline of each request, from its arrival.
    pub deadline: Duration,
    /// Service and its load.
    pub service: ServiceLoad,
    /// Faults during the run.
    pub faults: Vec<Fault>,
}

impl FromStr for Scenario {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        let ini = Ini::load_from_str(text)?;
        let scenario = ini.section(Some(SCENARIO)).context("section [scenario] is missing")?;
        let service = ini.section(Some(SERVICE)).context("section [service] is missing")?;
        let sections = ini.iter().filter_map(|(name, section)| Some((name?, section)));
        let faults = sections.filter(|(name, _)| name.starts_with(FAULT_PREFIX));
        Ok(Self {
            name: required(scenario, "name")?,
            seed: required(scenario, "seed")?,
            entries: required(scenario, "entries")?,
            callers: required(scenario, "callers")?,
            warm_up: required_millis(scenario, "warm_up_ms")?,
            length: required_millis(scenario, "length_ms")?,
            rounds: required(scenario, "rounds")?,
            deadline: required_millis(scenario, "deadline_ms")?,
            service: parse_service_load(service)?,
            faults: faults
                .map(|(name, section)| parse_fault(section).with_context(|| name.to_owned()))
                .collect::<anyhow::Result<_>>()?,
        })
    }
}

fn parse_service_load(section: &Properties) -> anyhow::Result<ServiceLoad> {
    Ok(ServiceLoad {
        name: required::<String>(section, "name")?.parse()?,
        targets: required(section, "targets")?,
        slots: required(section, "slots")?,
        work: Duration::from_micros(required(section, "work_us")?),
        spread: required(section, "spread")?,
        load: Permille::new(required(section, "load_permille")?),
    })
}

fn parse_fault(section: &Properties) -> anyhow::Result<Fault> {
    let amount = || required::<u64>(section, "amount");
    let kind = match required::<String>(section, "kind")?.as_str() {
        "straggler" => FaultKind::Straggler(amount()?),
        "noise" => FaultKind::Noise(amount()?),
        "fail-fast" => FaultKind::FailFast,
        "frozen" => FaultKind::Frozen,
        "stale-reports" => FaultKind::StaleReports(amount()?),
        "no-reports" => FaultKind::NoReports,
        "drain" => FaultKind::Drain,
        "kill-entry" => FaultKind::KillEntry,
        "pause-entry" => FaultKind::PauseEntry,
        "platform-down" => FaultKind::PlatformDown,
        other => bail!("unknown fault kind {other:?}"),
    };
    let hits = section.get("hits").unwrap_or("");
    let hits = hits.split(',').map(str::trim).filter(|number| !number.is_empty());
    Ok(Fault {
        kind,
        hits: hits.map(str::parse).collect::<Result<_, _>>()?,
        from: required_millis(section, "from_ms")?,
        lasts: required_millis(section, "lasts_ms")?,
    })
}

fn required<T: FromStr>(section: &Properties, key: &str) -> anyhow::Result<T>
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let text = section.get(key).with_context(|| format!("key {key} is missing"))?;
    text.trim().parse().with_context(|| format!("invalid value: {key} = {text}"))
}

fn required_millis(section: &Properties, key: &str) -> anyhow::Result<Duration> {
    Ok(Duration::from_millis(required(section, key)?))
}
