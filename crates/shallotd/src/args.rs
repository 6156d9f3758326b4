//! Command line of `shallotd`.

use std::path::PathBuf;

use anyhow::{Result, bail};
use lexopt::prelude::{Long, Short};

/// Text printed by `--help`.
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

/// Command given on the command line.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Run the daemon with this settings file.
    Run(PathBuf),
    /// Check this settings file.
    Check(PathBuf),
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
}

/// Parses the command line.
///
/// # Errors
/// Returns an error if an option is unknown or lacks its value, or if no option is given.
pub fn parse_args(mut parser: lexopt::Parser) -> Result<Command> {
    let Some(option) = parser.next()? else {
        bail!("no option given; see --help");
    };
    let command = match option {
        Long("settings") => Command::Run(parser.value()?.into()),
        Long("check") => Command::Check(parser.value()?.into()),
        Long("help") | Short('h') => Command::Help,
        Long("version") | Short('V') => Command::Version,
        other => return Err(other.unexpected().into()),
    };
    if let Some(extra) = parser.next()? {
        return Err(extra.unexpected().into());
    }
    Ok(command)
}
