//! The program `shallotd`.

use std::process::ExitCode;

use anyhow::Result;
use shallotd::args::{HELP, Request, args};

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let request = match args(lexopt::Parser::from_env()) {
        Ok(request) => request,
        Err(error) => return fail(EXIT_USAGE, &error),
    };
    match request {
        Request::Help => print!("{HELP}"),
        Request::Version => println!("shallotd {}", env!("CARGO_PKG_VERSION")),
        Request::Check(path) => match shallotd::load_settings(&path) {
            Ok(_) => println!("{}: valid", path.display()),
            Err(error) => return fail(EXIT_USAGE, &error),
        },
        Request::Run(path) => match shallotd::load_settings(&path) {
            Ok(settings) => return finish(shallotd::run(settings)),
            Err(error) => return fail(EXIT_USAGE, &error),
        },
    }
    ExitCode::SUCCESS
}

fn finish(result: Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(EXIT_FAILED, &error),
    }
}

fn fail(code: u8, error: &anyhow::Error) -> ExitCode {
    eprintln!("shallotd: {error:#}");
    ExitCode::from(code)
}
