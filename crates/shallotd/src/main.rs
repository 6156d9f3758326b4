//! Entry point of the program `shallotd`.

use std::process::ExitCode;

use anyhow::Result;
use shallotd::args::{Command, HELP, parse_args};

const EXIT_FAILURE: u8 = 1;
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let command = match parse_args(lexopt::Parser::from_env()) {
        Ok(command) => command,
        Err(error) => return report_error(EXIT_USAGE, &error),
    };
    match command {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("shallotd {}", env!("CARGO_PKG_VERSION")),
        Command::Check(path) => match shallotd::load_settings(&path) {
            Ok(_) => println!("{}: valid", path.display()),
            Err(error) => return report_error(EXIT_USAGE, &error),
        },
        Command::Run(path) => match shallotd::load_settings(&path) {
            Ok(settings) => return exit_code(shallotd::run(settings)),
            Err(error) => return report_error(EXIT_USAGE, &error),
        },
    }
    ExitCode::SUCCESS
}

fn exit_code(result: Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(EXIT_FAILURE, &error),
    }
}

fn report_error(code: u8, error: &anyhow::Error) -> ExitCode {
    eprintln!("shallotd: {error:#}");
    ExitCode::from(code)
}
