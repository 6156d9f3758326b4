//! Subcommands of the program.

mod caller;
mod platform;
mod target;

use anyhow::bail;
use lexopt::Arg;
use lexopt::ValueExt;

const HELP: &str = "\
Small stand-ins for tests and the demo.

Usage:
  shallotfork-standin platform [--replicas N]
  shallotfork-standin target --id ID [--slots N] [--queue-max N] [--service-us N]
      [--distribution constant|exponential] [--connection-us N] [--probe-us N]
      [--grace-ms N] [--shed-status N] [--seed N]
  shallotfork-standin caller --entries IP:PORT,... --service NAME [--method M] [--path P]
      [--key KEY] [--session TEXT] [--body TEXT] [--mark TEXT] [--through IP:PORT] [--times N]

platform and target print one JSON line with their addresses, then serve until SIGTERM.
caller prints one JSON line for each call; it fails if any call ends without success.

Exit codes: 0 success, 1 failure.
";

/// Runs the subcommand given on the command line.
///
/// # Errors
/// Returns an error if the command line is invalid or the subcommand fails.
pub fn run() -> anyhow::Result<()> {
    let mut args = lexopt::Parser::from_env();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    match args.next()? {
        Some(Arg::Value(name)) => match name.string()?.as_str() {
            "platform" => runtime.block_on(platform::run(&mut args)),
            "target" => runtime.block_on(target::run(&mut args)),
            "caller" => runtime.block_on(caller::run(&mut args)),
            other => bail!("unknown subcommand {other:?}; see --help"),
        },
        Some(Arg::Long("help") | Arg::Short('h')) | None => {
            print!("{HELP}");
            Ok(())
        }
        Some(other) => Err(other.unexpected().into()),
    }
}

/// Worker threads of the runtime; few, because many stand-ins share one machine.
const WORKER_THREADS: usize = 2;
