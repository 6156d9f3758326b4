//! Reloads the settings while the process runs.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use shallotfork_events::{RELOADED, SETTINGS_INVALID, event};
use tokio::signal::unix::{SignalKind, signal};

use crate::context::Context;
use crate::control::ControlHandle;
use crate::run::ReloadFn;

/// Interval at which the settings are read without a signal, because the platform may change them
/// without sending one.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Keeps SIGHUP from terminating the process. Must be called before anything else: the platform may
/// also change the settings of a starting process, which reads them later.
///
/// # Errors
/// Returns an error if the signal handler can't be installed.
pub fn ignore_sighup() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build()?;
    let _entered = runtime.enter();
    // The handler that tokio installs on first use stays until the process ends.
    let _watch = signal(SignalKind::hangup())?;
    Ok(())
}

/// Reloads the settings on SIGHUP and at regular intervals. The default action of SIGHUP, which
/// terminates the process, would cut off every request.
///
/// Only the seeds can change while the process runs; ports and names stay until the next start.
///
/// # Errors
/// Returns an error if the signal handler can't be installed.
pub fn watch_settings(
    context: Arc<Context>,
    control: ControlHandle,
    reload: ReloadFn,
) -> Result<impl Future<Output = ()> + use<>> {
    let mut hangup = signal(SignalKind::hangup())?;
    Ok(async move {
        let mut in_force = context.settings.clone();
        let mut is_readable = true;
        loop {
            let is_signalled = tokio::select! {
                _ = hangup.recv() => true,
                () = tokio::time::sleep(RELOAD_INTERVAL) => false,
            };
            match reload() {
                Ok(settings) => {
                    if is_signalled || settings != in_force {
                        event!(context.log, RELOADED, "seeds" => settings.seeds.len());
                        control.set_seeds(settings.seeds.clone());
                        in_force = settings;
                    }
                    is_readable = true;
                }
                Err(error) => {
                    if is_signalled || is_readable {
                        event!(context.log, SETTINGS_INVALID, "reason" => format!("{error:#}"));
                    }
                    is_readable = false;
                }
            }
        }
    })
}
