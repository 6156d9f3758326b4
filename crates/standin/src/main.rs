//! `shallotfork-standin`: the stand-ins as programs of their own.

mod command;

use std::process::ExitCode;

fn main() -> ExitCode {
    match command::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("shallotfork-standin: {error:#}");
            ExitCode::FAILURE
        }
    }
}
