//! `shallotctl audit`: which changes took effect, when and where.

use anyhow::Result;
use serde::Serialize;
use shallotfork_types::report::{AuditChange, AuditOutcome, AuditReport};
use shallotfork_types::{Endpoint, Revision, VmId};

use super::AuditConfig;
use crate::entries::{Answer, Entries};
use crate::exit::Exit;
use crate::table::Table;

/// Digits of a digest that are shown to people.
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
/// When the token cannot be read.
pub async fn audit(config: &AuditConfig) -> Result<Exit> {
    let answers = Entries::new(config.entries.clone())?.audit().await;
    let trail = AuditJson::from(answers);
    if config.json {
        println!("{}", serde_json::to_string_pretty(&trail)?);
    } else {
        print!("{}", shown(&trail));
    }
    Ok(if trail.unanswered.is_empty() { Exit::Done } else { Exit::Failed })
}

impl From<Vec<Answer<AuditReport>>> for AuditJson {
    fn from(answers: Vec<Answer<AuditReport>>) -> Self {
        let mut trail = Self { changes: Vec::new(), unanswered: Vec::new() };
        for Answer { entry, report } in answers {
            match report {
                Ok(report) => trail.add(report),
                Err(error) => {
                    let error = format!("{error:#}");
                    trail.unanswered.push(UnansweredJson { entry, error });
                }
            }
        }
        trail.changes.sort_by(|one, other| one.change.at.cmp(&other.change.at));
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

fn shown(trail: &AuditJson) -> String {
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
    let missing: String =
        unanswered.map(|entry| format!("{}: no answer: {}\n", entry.entry, entry.error)).collect();
    table.render() + &missing
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
