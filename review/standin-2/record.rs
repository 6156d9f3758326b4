//! What was sent, answered and run, as clients and servers saw it.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Statuses which promise that a request has not run and will not run.
pub const PROMISES: [u16; 4] = [408, 421, 429, 503];

#[derive(Debug, Clone)]
pub struct Answered {
    pub status: u16,
    pub signed: bool,
    pub at_ms: u128,
}

#[derive(Default)]
struct Entries {
    lines: Vec<String>,
    answers: BTreeMap<String, Answered>,
    runs: BTreeMap<String, Vec<(String, u128)>>,
}

/// Events of one case with their times since its start.
pub struct Record {
    started_at: Instant,
    entries: Mutex<Entries>,
}

impl Record {
    pub fn new() -> Self {
        Self { started_at: Instant::now(), entries: Mutex::default() }
    }

    pub fn now_ms(&self) -> u128 {
        self.started_at.elapsed().as_millis()
    }

    pub fn note(&self, line: &str) {
        let at_ms = self.now_ms();
        self.entries.lock().unwrap().lines.push(format!("{at_ms:>7} ms  {line}"));
    }

    pub fn answered(&self, id: &str, status: u16, signed: bool) {
        let at_ms = self.now_ms();
        let mut entries = self.entries.lock().unwrap();
        let signature = if signed { "with" } else { "without" };
        entries
            .lines
            .push(format!("{at_ms:>7} ms  client gets {status} for {id}, {signature} signature"));
        entries.answers.insert(id.to_owned(), Answered { status, signed, at_ms });
    }

    pub fn run(&self, id: &str, server: &str) {
        let at_ms = self.now_ms();
        let mut entries = self.entries.lock().unwrap();
        entries.lines.push(format!("{at_ms:>7} ms  server {server} begins to work on {id}"));
        entries.runs.entry(id.to_owned()).or_default().push((server.to_owned(), at_ms));
    }

    pub fn answers(&self) -> BTreeMap<String, Answered> {
        self.entries.lock().unwrap().answers.clone()
    }

    pub fn runs(&self) -> BTreeMap<String, Vec<(String, u128)>> {
        self.entries.lock().unwrap().runs.clone()
    }

    /// Writes the findings, then all events, to a file.
    pub fn write(&self, path: &Path, findings: &[String]) {
        let entries = self.entries.lock().unwrap();
        let text = format!("{}\n\n{}\n", findings.join("\n"), entries.lines.join("\n"));
        if let Err(error) = fs::write(path, text) {
            eprintln!("cannot write {}: {error}", path.display());
        }
    }
}
