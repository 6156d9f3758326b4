//! The `target` subcommand.

use std::time::Duration;

use anyhow::Context;
use lexopt::{Arg, Parser, ValueExt};
use shallotfork_standin::ready::{Ready, print_ready};
use shallotfork_standin::target::{ServiceTime, TargetConfig, serve_target};
use shallotfork_types::TargetId;
use tokio::signal::unix::{SignalKind, signal};

/// Runs the target stand-in until SIGTERM, then drains it and returns.
///
/// # Errors
/// Returns an error if an option is invalid or a port cannot be bound.
pub async fn run(args: &mut Parser) -> anyhow::Result<()> {
    let config = parse(args)?;
    let mut terminated = signal(SignalKind::terminate())?;
    let running = serve_target(config).await?;
    print_ready(&Ready {
        ready: true,
        address: running.address,
        control: running.control,
        replicas: Vec::new(),
    })?;
    terminated.recv().await;
    running.drain_and_stop().await?;
    Ok(())
}

fn parse(args: &mut Parser) -> anyhow::Result<TargetConfig> {
    let placeholder = TargetId::new("unnamed")?;
    let mut config = TargetConfig::new(placeholder);
    let mut id = None;
    let mut service_time = Duration::from_millis(5);
    let mut is_exponential = false;
    while let Some(arg) = args.next()? {
        match arg {
            Arg::Long("id") => id = Some(args.value()?.parse()?),
            Arg::Long("slots") => config.slots = args.value()?.parse()?,
            Arg::Long("queue-max") => config.queue_max = args.value()?.parse()?,
            Arg::Long("service-us") => service_time = parse_micros(args)?,
            Arg::Long("distribution") => is_exponential = args.value()? == "exponential",
            Arg::Long("connection-us") => config.connection_setup = parse_micros(args)?,
            Arg::Long("probe-us") => config.probe_duration = parse_micros(args)?,
            Arg::Long("grace-ms") => config.grace = Duration::from_millis(args.value()?.parse()?),
            Arg::Long("shed-status") => config.shed_status = args.value()?.parse()?,
            Arg::Long("seed") => config.seed = args.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    config.id = id.context("--id is required")?;
    let exponential = ServiceTime::Exponential(service_time);
    let constant = ServiceTime::Constant(service_time);
    Ok(config.with_service_time(if is_exponential { exponential } else { constant }))
}

fn parse_micros(args: &mut Parser) -> anyhow::Result<Duration> {
    Ok(Duration::from_micros(args.value()?.parse()?))
}
