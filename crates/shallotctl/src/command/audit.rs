//! `shallotctl audit`: shows which list changes entries accepted or refused, and when.

use anyhow::Result;
use serde::Serialize;
use shallotfork_types::report::{AuditChange, AuditOutcome, AuditReport};
use shallotfork_types::{Endpoint, Revision, VmId};

use super::AuditConfig;
use crate::entries::{EntriesClient, EntryResponse};
use crate::exit::ExitStatus;
use crate::table::Table;

/// Number of digest digits shown in the table.
const SHOWN_DIGEST_DIGITS: usize = 12;

#[derive(Debug, Serialize)]
struct AuditJson {
    changes: Vec<ChangeJson>,
    unanswered: Vec<UnansweredJson>,
}

#[derive(Debug, Serialize)]
struct ChangeJson {
    vm: VmId,
    #[serde(flatten)]
    change: AuditChange,
}

#[derive(Debug, Serialize)]
struct UnansweredJson {
    entry: Endpoint,
    error: String,
}

/// Prints the changes of all entries, oldest first.
///
/// # Errors
/// When the token file cannot be read or the HTTP client cannot be set up.
pub async fn audit(config: &AuditConfig) -> Result<ExitStatus> {
    let responses = EntriesClient::new(config.entries.clone())?.audit().await;
    let trail = AuditJson::from(responses);
    if config.json {
        println!("{}", serde_json::to_string_pretty(&trail)?);
    } else {
        print!("{}", render(&trail));
    }
    Ok(if trail.unanswered.is_empty() { ExitStatus::Success } else { ExitStatus::Failure })
}

impl From<Vec<EntryResponse<AuditReport>>> for AuditJson {
    fn from(responses: Vec<EntryResponse<AuditReport>>) -> Self {
        let mut trail = Self { changes: Vec::new(), unanswered: Vec::new() };
        for EntryResponse { entry, report } in responses {
            match report {
                Ok(report) => trail.add(report),
                Err(error) => {
                    let error = format!("{error:#}");
                    trail.unanswered.push(UnansweredJson { entry, error });
                }
            }
        }
        trail.changes.sort_by(|left, right| left.change.at.cmp(&right.change.at));
        trail
    }
}

impl AuditJson {
    fn add(&mut self, report: AuditReport) {
        let AuditReport { vm, changes } = report;
        let changes = changes.into_iter().map(|change| ChangeJson { vm: vm.clone(), change });
        self.changes.extend(changes);
    }
}

fn render(trail: &AuditJson) -> String {
    let titles = ["AT", "VM", "LIST", "FROM", "TO", "OUTCOME", "SOURCE", "DIGEST"];
    let table =
        trail.changes.iter().fold(Table::new(&titles), |table, ChangeJson { vm, change }| {
            table.with_row(vec![
                change.at.clone(),
                vm.to_string(),
                change.list.to_string(),
                change
                    .from_revision
                    .map_or("none".to_owned(), |revision: Revision| revision.to_string()),
                change.to_revision.to_string(),
                outcome_name(change.outcome).to_owned(),
                change.source.clone(),
                change.digest.chars().take(SHOWN_DIGEST_DIGITS).collect(),
            ])
        });
    let unanswered = trail.unanswered.iter();
    let errors: String =
        unanswered.map(|entry| format!("{}: no answer: {}\n", entry.entry, entry.error)).collect();
    table.render() + &errors
}

fn outcome_name(outcome: AuditOutcome) -> &'static str {
    match outcome {
        AuditOutcome::Accepted => "in force",
        AuditOutcome::Invalid => "refused: not valid",
        AuditOutcome::Lower => "refused: lower",
        AuditOutcome::ConflictAccepted => "conflict: in force",
        AuditOutcome::ConflictRefused => "conflict: refused",
    }
}
