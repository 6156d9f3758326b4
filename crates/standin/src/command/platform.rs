//! The platform stand-in as a program.

use lexopt::{Arg, Parser, ValueExt};
use shallotfork_standin::platform::{PlatformConfig, serve_platform};
use shallotfork_standin::ready::{Ready, print_ready};
use tokio::signal::unix::{SignalKind, signal};

/// Serves until SIGTERM.
///
/// # Errors
/// When an option is wrong or a port can't be bound.
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
    let address = *running.replicas.first().ok_or_else(|| anyhow::anyhow!("no replica"))?;
    let control = running.control;
    print_ready(&Ready { ready: true, address, control, replicas: running.replicas.clone() })?;
    terminated.recv().await;
    running.stop().await;
    Ok(())
}
