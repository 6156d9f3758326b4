//! A temporary directory for the settings, keys and logs of one test.

use std::path::{Path, PathBuf};
use std::{env, fs, process};

use anyhow::Context;

/// Environment variable that keeps the logs of tests that pass or return an error.
const KEEP_VARIABLE: &str = "SHALLOTFORK_KEEP_LOGS";

/// A temporary directory, removed with its content on drop unless the test panics.
#[derive(Debug)]
pub struct Scratch {
    path: PathBuf,
}

impl Scratch {
    /// Creates a new, empty directory.
    ///
    /// # Errors
    /// Returns an error if the directory can't be created.
    pub fn new() -> anyhow::Result<Self> {
        let name = format!("shallotfork-{}-{:08x}", process::id(), rand::random::<u32>());
        let path = env::temp_dir().join(name);
        fs::create_dir(&path).with_context(|| format!("failed to create {}", path.display()))?;
        Ok(Self { path })
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes a file and returns its path.
    ///
    /// # Errors
    /// Returns an error if the file can't be written.
    pub fn write(&self, name: &str, content: &str) -> anyhow::Result<PathBuf> {
        let path = self.path.join(name);
        fs::write(&path, content).with_context(|| format!("failed to write {}", path.display()))?;
        Ok(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let keep_logs = std::thread::panicking() || env::var_os(KEEP_VARIABLE).is_some();
        if keep_logs {
            eprintln!("logs are in {}", self.path.display());
        } else {
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}
