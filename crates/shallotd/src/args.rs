//! The command line of `shallotd`.

use std::path::PathBuf;

use anyhow::{Result, bail};
use lexopt::prelude::{Long, Short};

/// Text of `--help`.
pub const HELP: &str = "\
shallotd: the load balancer's daemon

Usage:
  shallotd --settings FILE    run with the settings in FILE
  shallotd --check FILE       check FILE, list every error, and exit
  shallotd --help | --version

The first line on standard output is a JSON object with the bound addresses.
Log lines go to standard error as JSON. SIGTERM and SIGINT stop gracefully.

Exit codes: 0 stopped as asked, 1 failed while running, 2 wrong command line or settings.
";

/// What the command line asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Request {
    /// Run the daemon.
    Run(PathBuf),
    /// Check a settings file.
    Check(PathBuf),
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
}

/// Reads the command line.
///
/// # Errors
/// When an option is unknown, lacks its value, or none is given.
pub fn args(mut parser: lexopt::Parser) -> Result<Request> {
    let Some(option) = parser.next()? else {
        bail!("no option given; see --help");
    };
    let request = match option {
        Long("settings") => Request::Run(parser.value()?.into()),
        Long("check") => Request::Check(parser.value()?.into()),
        Long("help") | Short('h') => Request::Help,
        Long("version") | Short('V') => Request::Version,
        other => return Err(other.unexpected().into()),
    };
    if let Some(extra) = parser.next()? {
        return Err(extra.unexpected().into());
    }
    Ok(request)
}
