//! The record of a run: what was sent, answered and run, with times in milliseconds.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { started_at: Instant::now(), file: Mutex::new(file) }
    }

    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn write(&self, line: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {line}", self.now_ms());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, line: &str) {
        self.write(line);
        // Whoever started the script may have stopped reading; its exit status still counts.
        let _ = writeln!(io::stdout(), "{line}");
    }
}
