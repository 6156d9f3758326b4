//! `shallotctl configuration`: shows which configuration each entry has in force, and whether it knows a
//! newer one that is not.

use anyhow::{Context, Result};
use serde::Serialize;
use shallotfork_types::Endpoint;

use super::ConfigurationConfig;
use crate::entries::{EntriesClient, EntryResponse};
use crate::exit::ExitStatus;
use crate::table::Table;

const VERSION: &str = "shallotfork_configuration_version";
const UNUSABLE_ROUTES: &str = "shallotfork_configuration_unusable_routes";
const IGNORED_ELEMENTS: &str = "shallotfork_configuration_ignored_elements";
const NOT_IN_FORCE_VERSION: &str = "shallotfork_configuration_not_in_force_version";
const NOT_IN_FORCE_REVISION: &str = "shallotfork_configuration_not_in_force_revision";

/// What an entry reports about its configuration. In its metrics, a version or revision of 0 stands for
/// none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct ConfigurationReport {
    version: u64,
    unusable_routes: u64,
    ignored_elements: u64,
    not_in_force_version: u64,
    not_in_force_revision: u64,
}

#[derive(Debug, Serialize)]
struct ConfigurationJson {
    entry: Endpoint,
    configuration: Option<ConfigurationReport>,
    error: Option<String>,
}

/// Prints the configuration of every entry. The answer is yes if all have the newest version that any
/// of them has in force, as a whole, and none knows a newer configuration.
///
/// # Errors
/// When the token file cannot be read or the HTTP client cannot be set up.
pub async fn configuration(config: &ConfigurationConfig) -> Result<ExitStatus> {
    let responses = EntriesClient::new(config.entries.clone())?.metrics().await;
    let responses: Vec<EntryResponse<ConfigurationReport>> =
        responses.into_iter().map(read_response).collect();
    let reports: Vec<&ConfigurationReport> =
        responses.iter().filter_map(|response| response.report.as_ref().ok()).collect();
    let exit = if reports.len() < responses.len() {
        ExitStatus::Failure
    } else if are_current(&reports) {
        ExitStatus::Success
    } else {
        ExitStatus::Negative
    };
    if config.json {
        let json: Vec<ConfigurationJson> =
            responses.into_iter().map(ConfigurationJson::from).collect();
        println!("{}", serde_json::to_string_pretty(&json)?);
    } else {
        print!("{}", render(&responses));
    }
    Ok(exit)
}

fn read_response(response: EntryResponse<String>) -> EntryResponse<ConfigurationReport> {
    let report = response.report.and_then(|metrics| ConfigurationReport::parse(&metrics));
    EntryResponse { entry: response.entry, report }
}

fn are_current(reports: &[&ConfigurationReport]) -> bool {
    let newest = reports.iter().map(|report| report.version).max().unwrap_or(0);
    reports.iter().all(|report| report.version == newest && report.is_complete())
}

impl ConfigurationReport {
    /// Reads the report from the metrics of an entry, in Prometheus' text format.
    fn parse(metrics: &str) -> Result<Self> {
        let read = |name: &str| {
            let value = metrics.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
            let value = value.with_context(|| format!("the entry has no metric {name}"))?;
            let number: f64 = value.trim().parse().with_context(|| name.to_owned())?;
            anyhow::Ok(number as u64)
        };
        Ok(Self {
            version: read(VERSION)?,
            unusable_routes: read(UNUSABLE_ROUTES)?,
            ignored_elements: read(IGNORED_ELEMENTS)?,
            not_in_force_version: read(NOT_IN_FORCE_VERSION)?,
            not_in_force_revision: read(NOT_IN_FORCE_REVISION)?,
        })
    }

    fn is_complete(&self) -> bool {
        self.version > 0 && self.ignored_elements == 0 && self.not_in_force_revision == 0
    }

    fn state(&self) -> &'static str {
        match self {
            Self { version: 0, .. } => "none",
            Self { not_in_force_revision: 1.., .. } => "outdated",
            Self { ignored_elements: 1.., .. } => "partial",
            _ => "complete",
        }
    }

    /// Formats the newest known configuration, if it is not in force.
    fn newer(&self) -> String {
        match (self.not_in_force_revision, self.not_in_force_version) {
            (0, _) => "none".to_owned(),
            (revision, 0) => format!("revision {revision}"),
            (revision, version) => format!("{version} (revision {revision})"),
        }
    }
}

fn render(responses: &[EntryResponse<ConfigurationReport>]) -> String {
    let titles = ["ENTRY", "STATE", "IN FORCE", "UNUSABLE ROUTES", "IGNORED", "NOT IN FORCE"];
    let rows = responses.iter().map(|response| match &response.report {
        Ok(report) => vec![
            response.entry.to_string(),
            report.state().to_owned(),
            if report.version == 0 { "none".to_owned() } else { report.version.to_string() },
            report.unusable_routes.to_string(),
            report.ignored_elements.to_string(),
            report.newer(),
        ],
        Err(error) => vec![response.entry.to_string(), format!("no answer: {error:#}")],
    });
    rows.fold(Table::new(&titles), Table::with_row).render()
}

impl From<EntryResponse<ConfigurationReport>> for ConfigurationJson {
    fn from(response: EntryResponse<ConfigurationReport>) -> Self {
        let error = response.report.as_ref().err().map(|error| format!("{error:#}"));
        Self { entry: response.entry, configuration: response.report.ok(), error }
    }
}
