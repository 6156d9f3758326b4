//! A directory for settings, keys and logs of one test.

use std::path::{Path, PathBuf};
use std::{env, fs, process};

use anyhow::Context;

/// Set to keep the logs of tests that end well or return an error.
const KEEP_VARIABLE: &str = "SHALLOTFORK_KEEP_LOGS";

/// A directory that is removed with its content when the test ends, unless it panics.
#[derive(Debug)]
pub struct Scratch {
    path: PathBuf,
}

impl Scratch {
    /// Makes a new, empty directory.
    ///
    /// # Errors
    /// When the directory can't be made.
    pub fn new() -> anyhow::Result<Self> {
        let name = format!("shallotfork-{}-{:08x}", process::id(), rand::random::<u32>());
        let path = env::temp_dir().join(name);
        fs::create_dir(&path).with_context(|| format!("making {}", path.display()))?;
        Ok(Self { path })
    }

    /// The directory.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes a file and gives its path.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn write(&self, name: &str, content: &str) -> anyhow::Result<PathBuf> {
        let path = self.path.join(name);
        fs::write(&path, content).with_context(|| format!("writing {}", path.display()))?;
        Ok(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let keeps = std::thread::panicking() || env::var_os(KEEP_VARIABLE).is_some();
        if keeps {
            eprintln!("logs are in {}", self.path.display());
        } else {
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}
