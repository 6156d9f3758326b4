//! `shallotctl status`: shows the current state of each entry.

use anyhow::Result;
use serde::Serialize;
use shallotfork_types::report::{ListStatus, StatusReport, TargetStatus};
use shallotfork_types::{Endpoint, ListName, Revision};

use super::StatusConfig;
use crate::entries::{EntriesClient, EntryResponse};
use crate::exit::ExitStatus;
use crate::table::Table;

#[derive(Debug, Serialize)]
struct StatusJson {
    entry: Endpoint,
    status: Option<StatusReport>,
    error: Option<String>,
}

/// Prints the status report of every entry.
///
/// # Errors
/// When the token file cannot be read or the HTTP client cannot be set up.
pub async fn status(config: &StatusConfig) -> Result<ExitStatus> {
    let responses = EntriesClient::new(config.entries.clone())?.status().await;
    let complete = responses.iter().all(|response| response.report.is_ok());
    if config.json {
        let json: Vec<StatusJson> = responses.into_iter().map(StatusJson::from).collect();
        println!("{}", serde_json::to_string_pretty(&json)?);
    } else {
        print!("{}", render(&responses));
    }
    Ok(if complete { ExitStatus::Success } else { ExitStatus::Failure })
}

fn render(responses: &[EntryResponse<StatusReport>]) -> String {
    let mut entries = Table::new(&[
        "ENTRY", "VM", "STATE", "RULES", "PLATFORM", "SESSIONS", "LEDGER", "RETRIES", "HEDGES",
        "PROBES", "SEES",
    ]);
    let mut targets = Table::new(&["VM", "SERVICE", "TARGET", "STATE", "IN FLIGHT"]);
    for response in responses {
        match &response.report {
            Ok(report) => {
                entries = entries.with_row(entry_row(response.entry, report));
                targets = report
                    .targets
                    .iter()
                    .fold(targets, |table, target| table.with_row(target_row(report, target)));
            }
            Err(error) => {
                let state = format!("no answer: {error:#}");
                entries = entries.with_row(vec![response.entry.to_string(), "?".into(), state]);
            }
        }
    }
    format!("{}\n{}", entries.render(), targets.render())
}

fn entry_row(entry: Endpoint, report: &StatusReport) -> Vec<String> {
    let live = report.entries.iter().filter(|entry| entry.state == "live").count();
    vec![
        entry.to_string(),
        report.vm.to_string(),
        state_name(report),
        rules_revision(&report.lists),
        report.synced_revision.to_string(),
        report.sessions.issued.to_string(),
        report.sessions.operations.to_string(),
        report.budgets.retries.to_string(),
        report.budgets.hedges.to_string(),
        report.budgets.probes.to_string(),
        format!("{live}/{}", report.entries.len()),
    ]
}

fn state_name(report: &StatusReport) -> String {
    format!("{:?}", report.state).to_lowercase()
}

/// Formats the revision of the rules in force, followed by `!` and the refused revision, if any.
fn rules_revision(lists: &[ListStatus]) -> String {
    let Some(rules) = lists.iter().find(|list| list.name == ListName::Rules) else {
        return "none".to_owned();
    };
    match rules.refused_revision {
        Some(refused) => format!("{} !{refused}", format_revision(rules.revision)),
        None => format_revision(rules.revision),
    }
}

fn format_revision(revision: Revision) -> String {
    if revision == Revision::NONE { "none".to_owned() } else { revision.to_string() }
}

fn target_row(report: &StatusReport, target: &TargetStatus) -> Vec<String> {
    vec![
        report.vm.to_string(),
        target.service.to_string(),
        target.id.to_string(),
        target.state.clone(),
        target.in_flight.to_string(),
    ]
}

impl From<EntryResponse<StatusReport>> for StatusJson {
    fn from(response: EntryResponse<StatusReport>) -> Self {
        let error = response.report.as_ref().err().map(|error| format!("{error:#}"));
        Self { entry: response.entry, status: response.report.ok(), error }
    }
}
