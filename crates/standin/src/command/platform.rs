//! The `platform` subcommand.

use lexopt::{Arg, Parser, ValueExt};
use shallotfork_standin::platform::{PlatformConfig, serve_platform};
use shallotfork_standin::ready::{Ready, print_ready};
use tokio::signal::unix::{SignalKind, signal};

/// Runs the platform stand-in until SIGTERM.
///
/// # Errors
/// Returns an error if an option is invalid or a port cannot be bound.
pub async fn run(args: &mut Parser) -> anyhow::Result<()> {
    let mut config = PlatformConfig::default();
    while let Some(arg) = args.next()? {
        match arg {
            Arg::Long("replicas") => config.replicas = args.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    let mut terminated = signal(SignalKind::terminate())?;
    let running = serve_platform(config).await?;
    let address = *running
        .replicas
        .first()
        .ok_or_else(|| anyhow::anyhow!("the platform needs at least one replica"))?;
    let control = running.control;
    print_ready(&Ready { ready: true, address, control, replicas: running.replicas.clone() })?;
    terminated.recv().await;
    running.stop().await;
    Ok(())
}
