//! `shallotctl status`: what each entry does now.

use anyhow::Result;
use serde::Serialize;
use shallotfork_types::report::{ListStatus, StatusReport, TargetStatus};
use shallotfork_types::{Endpoint, ListName, Revision};

use super::StatusConfig;
use crate::entries::{Answer, Entries};
use crate::exit::Exit;
use crate::table::Table;

#[derive(Debug, Serialize)]
struct StatusJson {
    entry: Endpoint,
    status: Option<StatusReport>,
    error: Option<String>,
}

/// Prints what every entry answers.
///
/// # Errors
/// When the token cannot be read.
pub async fn status(config: &StatusConfig) -> Result<Exit> {
    let answers = Entries::new(config.entries.clone())?.status().await;
    let complete = answers.iter().all(|answer| answer.report.is_ok());
    if config.json {
        let json: Vec<StatusJson> = answers.into_iter().map(StatusJson::from).collect();
        println!("{}", serde_json::to_string_pretty(&json)?);
    } else {
        print!("{}", shown(&answers));
    }
    Ok(if complete { Exit::Done } else { Exit::Failed })
}

fn shown(answers: &[Answer<StatusReport>]) -> String {
    let mut entries = Table::new(&[
        "ENTRY", "VM", "STATE", "RULES", "PLATFORM", "SESSIONS", "LEDGER", "RETRIES", "HEDGES",
        "PROBES", "SEES",
    ]);
    let mut targets = Table::new(&["VM", "SERVICE", "TARGET", "STATE", "IN FLIGHT"]);
    for answer in answers {
        match &answer.report {
            Ok(report) => {
                entries = entries.with_row(entry_row(answer.entry, report));
                targets = report
                    .targets
                    .iter()
                    .fold(targets, |table, target| table.with_row(target_row(report, target)));
            }
            Err(error) => {
                let state = format!("no answer: {error:#}");
                entries = entries.with_row(vec![answer.entry.to_string(), "?".into(), state]);
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

/// The revision in force, and the refused one behind an exclamation mark.
fn rules_revision(lists: &[ListStatus]) -> String {
    let Some(rules) = lists.iter().find(|list| list.name == ListName::Rules) else {
        return "none".to_owned();
    };
    match rules.refused_revision {
        Some(refused) => format!("{} !{refused}", shown_revision(rules.revision)),
        None => shown_revision(rules.revision),
    }
}

fn shown_revision(revision: Revision) -> String {
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

impl From<Answer<StatusReport>> for StatusJson {
    fn from(answer: Answer<StatusReport>) -> Self {
        let error = answer.report.as_ref().err().map(|error| format!("{error:#}"));
        Self { entry: answer.entry, status: answer.report.ok(), error }
    }
}
