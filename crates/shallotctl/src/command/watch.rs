//! `shallotctl watch`: waits until a revision is in force everywhere.

use std::collections::BTreeSet;
use std::time::Instant;

use anyhow::Result;
use serde::Serialize;
use shallotfork_types::report::{ListStatus, StatusReport};
use shallotfork_types::{Endpoint, Revision};

use super::WatchConfig;
use crate::entries::{EntriesClient, EntryResponse};
use crate::exit::ExitStatus;

/// State of one entry relative to the expected revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
enum Progress {
    /// The revision, or a higher one, is in force.
    InForce { revision: Revision, digest: String },
    /// A lower revision, or none, is in force.
    Waiting { revision: Revision },
    /// The entry refused the revision, or a higher one.
    Refused { revision: Revision },
    /// The entry did not answer.
    Unanswered { error: String },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct EntryProgress {
    entry: Endpoint,
    #[serde(flatten)]
    progress: Progress,
}

/// Combined state of all entries in one round.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum RoundState {
    InForce,
    Waiting,
    Refused,
    Conflict,
    Unanswered,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct Round {
    state: RoundState,
    entries: Vec<EntryProgress>,
}

/// Polls all entries in rounds until the revision is in force everywhere, it is refused, or the
/// timeout has passed.
///
/// # Errors
/// When the token file cannot be read or the HTTP client cannot be set up.
pub async fn watch(config: &WatchConfig) -> Result<ExitStatus> {
    let entries = EntriesClient::new(config.entries.clone())?;
    let started_at = Instant::now();
    let mut previous = None;
    loop {
        let round = Round::new(config, entries.status().await);
        let is_timed_out = started_at.elapsed() >= config.timeout;
        if previous.as_ref() != Some(&round) {
            print_round(config, &round)?;
        }
        match round.state {
            RoundState::InForce => return Ok(ExitStatus::Success),
            RoundState::Refused => return Ok(ExitStatus::Negative),
            RoundState::Unanswered if is_timed_out => return Ok(ExitStatus::Failure),
            _ if is_timed_out => return Ok(ExitStatus::Negative),
            _ => {}
        }
        previous = Some(round);
        tokio::time::sleep(config.poll_interval).await;
    }
}

impl Round {
    fn new(config: &WatchConfig, responses: Vec<EntryResponse<StatusReport>>) -> Self {
        let progress = |response: EntryResponse<StatusReport>| EntryProgress {
            entry: response.entry,
            progress: Progress::from_report(config, &response.report),
        };
        let entries: Vec<EntryProgress> = responses.into_iter().map(progress).collect();
        Self { state: combined_state(&entries), entries }
    }
}

impl Progress {
    fn from_report(config: &WatchConfig, report: &Result<StatusReport>) -> Self {
        let lists = match report {
            Ok(report) => &report.lists,
            Err(error) => return Self::Unanswered { error: format!("{error:#}") },
        };
        let Some(list) = lists.iter().find(|list| list.name == config.list) else {
            return Self::Waiting { revision: Revision::NONE };
        };
        let ListStatus { revision, digest, refused_revision, .. } = list.clone();
        if revision >= config.revision {
            return Self::InForce { revision, digest };
        }
        match refused_revision {
            Some(refused) if refused >= config.revision => Self::Refused { revision: refused },
            _ => Self::Waiting { revision },
        }
    }

    /// Returns whether exactly the expected revision is in force, not a higher one or none.
    fn is_exactly(&self, expected: Revision) -> bool {
        matches!(self, Self::InForce { revision, .. } if *revision == expected)
    }
}

/// Returns whether entries have different contents in force under the same revision.
///
/// The entries have not settled such a conflict yet.
fn has_conflict(entries: &[EntryProgress]) -> bool {
    let mut versions = BTreeSet::new();
    for entry in entries {
        if let Progress::InForce { revision, digest } = &entry.progress {
            versions.insert((*revision, digest));
        }
    }
    let revisions: BTreeSet<Revision> = versions.iter().map(|(revision, _)| *revision).collect();
    revisions.len() < versions.len()
}

fn combined_state(entries: &[EntryProgress]) -> RoundState {
    let any =
        |predicate: fn(&Progress) -> bool| entries.iter().any(|entry| predicate(&entry.progress));
    if any(|progress| matches!(progress, Progress::Refused { .. })) {
        return RoundState::Refused;
    }
    if any(|progress| matches!(progress, Progress::Unanswered { .. })) {
        return RoundState::Unanswered;
    }
    if any(|progress| matches!(progress, Progress::Waiting { .. })) {
        return RoundState::Waiting;
    }
    if has_conflict(entries) { RoundState::Conflict } else { RoundState::InForce }
}

fn print_round(config: &WatchConfig, round: &Round) -> Result<()> {
    if config.json {
        println!("{}", serde_json::to_string(round)?);
        return Ok(());
    }
    let in_force = |entry: &&EntryProgress| matches!(entry.progress, Progress::InForce { .. });
    let done = round.entries.iter().filter(in_force).count();
    let all = round.entries.len();
    println!("{} revision {}: in force on {done} of {all} entries", config.list, config.revision);
    let exact = Progress::is_exactly;
    for entry in round.entries.iter().filter(|entry| !exact(&entry.progress, config.revision)) {
        println!("  {}: {}", entry.entry, render(&entry.progress));
    }
    if round.state == RoundState::Conflict {
        println!("  two contents under one revision; publish a higher revision");
    }
    Ok(())
}

fn render(progress: &Progress) -> String {
    match progress {
        Progress::InForce { revision, .. } => format!("revision {revision} in force"),
        Progress::Waiting { revision: Revision::NONE } => "none in force".to_owned(),
        Progress::Waiting { revision } => format!("revision {revision} in force"),
        Progress::Refused { revision } => format!("revision {revision} refused: not valid"),
        Progress::Unanswered { error } => format!("no answer: {error}"),
    }
}
