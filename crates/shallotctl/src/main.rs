//! `shallotctl`: checks rule lists and shows what the entries do. It changes nothing.

mod args;
mod command;
mod entries;
mod entries_config;
mod exit;
mod help;
mod table;

use std::process::ExitCode;

use args::{Request, args};
use exit::Exit;

fn main() -> ExitCode {
    let request = match args(lexopt::Parser::from_env()) {
        Ok(request) => request,
        Err(error) => {
            eprintln!("shallotctl: {error:#}\nSee shallotctl --help.");
            return Exit::Usage.into();
        }
    };
    match run(request) {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("shallotctl: {error:#}");
            Exit::Failed.into()
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn run(request: Request) -> anyhow::Result<Exit> {
    match request {
        Request::Help(text) => {
            print!("{text}");
            Ok(Exit::Done)
        }
        Request::Version => {
            println!("shallotctl {}", env!("CARGO_PKG_VERSION"));
            Ok(Exit::Done)
        }
        Request::Check(config) => command::check(&config),
        Request::Explain(config) => command::explain(&config).await,
        Request::Status(config) => command::status(&config).await,
        Request::Watch(config) => command::watch(&config).await,
        Request::Audit(config) => command::audit(&config).await,
    }
}
