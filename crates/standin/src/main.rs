//! The `shallotfork-standin` program, which runs each stand-in as a process.

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
