//! `shallotctl watch`: waits until a revision is in force everywhere.

use std::collections::BTreeSet;
use std::time::Instant;

use anyhow::Result;
use serde::Serialize;
use shallotfork_types::report::{ListStatus, StatusReport};
use shallotfork_types::{Endpoint, Revision};

use super::WatchConfig;
use crate::entries::{Answer, Entries};
use crate::exit::Exit;

/// How far one entry is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
enum Progress {
    /// The revision, or a higher one, is in force.
    InForce { revision: Revision, digest: String },
    /// A lower one is in force.
    Waiting { revision: Revision },
    /// The entry refused it.
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

/// What the entries together amount to.
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

/// Asks every entry in rounds until the revision is in force everywhere, refused, or time is up.
///
/// # Errors
/// When the token cannot be read.
pub async fn watch(config: &WatchConfig) -> Result<Exit> {
    let entries = Entries::new(config.entries.clone())?;
    let begun = Instant::now();
    let mut last = None;
    loop {
        let round = Round::new(config, entries.status().await);
        let over = begun.elapsed() >= config.wait;
        if last.as_ref() != Some(&round) {
            print_round(config, &round)?;
        }
        match round.state {
            RoundState::InForce => return Ok(Exit::Done),
            RoundState::Refused => return Ok(Exit::No),
            RoundState::Unanswered if over => return Ok(Exit::Failed),
            _ if over => return Ok(Exit::No),
            _ => {}
        }
        last = Some(round);
        tokio::time::sleep(config.interval).await;
    }
}

impl Round {
    fn new(config: &WatchConfig, answers: Vec<Answer<StatusReport>>) -> Self {
        let progress = |answer: Answer<StatusReport>| EntryProgress {
            entry: answer.entry,
            progress: Progress::of(config, &answer.report),
        };
        let entries: Vec<EntryProgress> = answers.into_iter().map(progress).collect();
        Self { state: state_of(&entries), entries }
    }
}

impl Progress {
    fn of(config: &WatchConfig, report: &Result<StatusReport>) -> Self {
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

    /// Whether the revision asked for is in force, rather than a higher one or none.
    fn is_exactly(&self, asked: Revision) -> bool {
        matches!(self, Self::InForce { revision, .. } if *revision == asked)
    }
}

/// Entries that have different contents under one revision have not settled yet.
fn in_conflict(entries: &[EntryProgress]) -> bool {
    let mut versions = BTreeSet::new();
    for entry in entries {
        if let Progress::InForce { revision, digest } = &entry.progress {
            versions.insert((*revision, digest));
        }
    }
    let revisions: BTreeSet<Revision> = versions.iter().map(|(revision, _)| *revision).collect();
    revisions.len() < versions.len()
}

fn state_of(entries: &[EntryProgress]) -> RoundState {
    let any = |wanted: fn(&Progress) -> bool| entries.iter().any(|entry| wanted(&entry.progress));
    if any(|progress| matches!(progress, Progress::Refused { .. })) {
        return RoundState::Refused;
    }
    if any(|progress| matches!(progress, Progress::Unanswered { .. })) {
        return RoundState::Unanswered;
    }
    if any(|progress| matches!(progress, Progress::Waiting { .. })) {
        return RoundState::Waiting;
    }
    if in_conflict(entries) { RoundState::Conflict } else { RoundState::InForce }
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
        println!("  {}: {}", entry.entry, shown(&entry.progress));
    }
    if round.state == RoundState::Conflict {
        println!("  two contents under one revision; publish a higher revision");
    }
    Ok(())
}

fn shown(progress: &Progress) -> String {
    match progress {
        Progress::InForce { revision, .. } => format!("revision {revision} in force"),
        Progress::Waiting { revision: Revision::NONE } => "none in force".to_owned(),
        Progress::Waiting { revision } => format!("revision {revision} in force"),
        Progress::Refused { revision } => format!("revision {revision} refused: not valid"),
        Progress::Unanswered { error } => format!("no answer: {error}"),
    }
}
