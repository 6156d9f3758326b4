//! `shallotctl`: read-only operator tool that checks rule lists and shows the state of entries.

mod args;
mod command;
mod entries;
mod entries_config;
mod exit;
mod help;
mod table;

use std::process::ExitCode;

use args::{Invocation, parse_args};
use exit::ExitStatus;

fn main() -> ExitCode {
    let invocation = match parse_args(lexopt::Parser::from_env()) {
        Ok(invocation) => invocation,
        Err(error) => {
            eprintln!("shallotctl: {error:#}\nSee shallotctl --help.");
            return ExitStatus::UsageError.into();
        }
    };
    match run(invocation) {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("shallotctl: {error:#}");
            ExitStatus::Failure.into()
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn run(invocation: Invocation) -> anyhow::Result<ExitStatus> {
    match invocation {
        Invocation::Help(text) => {
            print!("{text}");
            Ok(ExitStatus::Success)
        }
        Invocation::Version => {
            println!("shallotctl {}", env!("CARGO_PKG_VERSION"));
            Ok(ExitStatus::Success)
        }
        Invocation::Check(config) => command::check(&config),
        Invocation::Explain(config) => command::explain(&config).await,
        Invocation::Status(config) => command::status(&config).await,
        Invocation::Watch(config) => command::watch(&config).await,
        Invocation::Configuration(config) => command::configuration(&config).await,
        Invocation::Audit(config) => command::audit(&config).await,
    }
}
