//! What a scenario file says: one service, its load, and faults during the run.

use std::str::FromStr;
use std::time::Duration;

use anyhow::{Context, bail};
use ini::{Ini, Properties};
use shallotfork_types::{Permille, ServiceName};

const SCENARIO: &str = "scenario";
const SERVICE: &str = "service";
const FAULT_PREFIX: &str = "fault.";

/// One service and how it is asked.
#[derive(Debug, Clone)]
pub struct ServiceLoad {
    /// The service.
    pub name: ServiceName,
    /// How many targets it has.
    pub targets: usize,
    /// Requests that a target runs at once.
    pub slots: usize,
    /// Mean time that a request holds a slot.
    pub work: Duration,
    /// Spread of that time: standard deviation of its logarithm; zero makes it exponential.
    pub spread: f64,
    /// Arrivals as a share of what all slots can serve.
    pub load: Permille,
}

impl ServiceLoad {
    /// Requests a second that all slots together can serve.
    pub fn capacity_a_second(&self) -> f64 {
        (self.targets * self.slots) as f64 / self.work.as_secs_f64()
    }

    /// Arrivals a second.
    pub fn rate_a_second(&self) -> f64 {
        self.capacity_a_second() * f64::from(self.load.value()) / 1000.0
    }
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// A target's work takes this many thousandths of the usual time.
    Straggler(u64),
    /// A neighbour slows a target to this many thousandths in turns of 20 ms.
    Noise(u64),
    /// A target fails every request at once.
    FailFast,
    /// A target takes requests and does nothing until the fault ends.
    Frozen,
    /// A target's load reports describe its load this many milliseconds ago.
    StaleReports(u64),
    /// A target sends no load reports.
    NoReports,
    /// A target is published as draining.
    Drain,
    /// An entry's process is killed; it does not come back.
    KillEntry,
    /// An entry's process is stopped until the fault ends.
    PauseEntry,
    /// The platform refuses connections.
    PlatformDown,
}

/// One fault and when it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// Numbers of the targets or entries that it hits.
    pub hits: Vec<usize>,
    /// From the start of the run.
    pub from: Duration,
    /// How long it holds.
    pub lasts: Duration,
}

/// A named experiment; the same seed gives the same arrivals, work and faults.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Its name, used for files.
    pub name: String,
    /// Seed of arrivals and work.
    pub seed: u64,
    /// Entry processes.
    pub entries: usize,
    /// Callers, each with its own kept answer which entries to use.
    pub callers: usize,
    /// Arrivals in this time are not measured.
    pub warm_up: Duration,
    /// Length of the run, warm-up included.
    pub length: Duration,
    /// Systems started per policy.
    pub rounds: usize,
    /// How long a caller waits.
    pub deadline: Duration,
    /// The load.
    pub service: ServiceLoad,
    /// The faults.
    pub faults: Vec<Fault>,
}

impl FromStr for Scenario {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        let ini = Ini::load_from_str(text)?;
        let scenario = ini.section(Some(SCENARIO)).context("no [scenario]")?;
        let service = ini.section(Some(SERVICE)).context("no [service]")?;
        let named = ini.iter().filter_map(|(name, section)| Some((name?, section)));
        let faults = named.filter(|(name, _)| name.starts_with(FAULT_PREFIX));
        Ok(Self {
            name: required(scenario, "name")?,
            seed: required(scenario, "seed")?,
            entries: required(scenario, "entries")?,
            callers: required(scenario, "callers")?,
            warm_up: millis(scenario, "warm_up_ms")?,
            length: millis(scenario, "length_ms")?,
            rounds: required(scenario, "rounds")?,
            deadline: millis(scenario, "deadline_ms")?,
            service: service_load(service)?,
            faults: faults
                .map(|(name, section)| fault(section).with_context(|| name.to_owned()))
                .collect::<anyhow::Result<_>>()?,
        })
    }
}

fn service_load(section: &Properties) -> anyhow::Result<ServiceLoad> {
    Ok(ServiceLoad {
        name: required::<String>(section, "name")?.parse()?,
        targets: required(section, "targets")?,
        slots: required(section, "slots")?,
        work: Duration::from_micros(required(section, "work_us")?),
        spread: required(section, "spread")?,
        load: Permille::new(required(section, "load_permille")?),
    })
}

fn fault(section: &Properties) -> anyhow::Result<Fault> {
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
        other => bail!("unknown kind {other:?}"),
    };
    let hits = section.get("hits").unwrap_or("");
    let hits = hits.split(',').map(str::trim).filter(|number| !number.is_empty());
    Ok(Fault {
        kind,
        hits: hits.map(str::parse).collect::<Result<_, _>>()?,
        from: millis(section, "from_ms")?,
        lasts: millis(section, "lasts_ms")?,
    })
}

fn required<T: FromStr>(section: &Properties, key: &str) -> anyhow::Result<T>
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let text = section.get(key).with_context(|| format!("no key {key}"))?;
    text.trim().parse().with_context(|| format!("{key} = {text}"))
}

fn millis(section: &Properties, key: &str) -> anyhow::Result<Duration> {
    Ok(Duration::from_millis(required(section, key)?))
}
