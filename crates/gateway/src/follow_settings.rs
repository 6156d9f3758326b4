//! Takes changed settings into force while the process runs.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use shallotfork_events::{RELOADED, SETTINGS_BAD, event};
use tokio::signal::unix::{SignalKind, signal};

use crate::context::Context;
use crate::control::ControlHandle;
use crate::run::ReloadFn;

/// How often the settings are read without a signal; the platform may change them silently.
const LOOK: Duration = Duration::from_secs(2);

/// From now on SIGHUP does not end the process. To be called first of all: the settings of a process
/// that starts may change as well, and it reads them later.
///
/// # Errors
/// When the signal can't be watched.
pub fn ignore_sighup() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build()?;
    let _entered = runtime.enter();
    // What tokio does at the first watch of a signal holds until the process ends.
    let _watch = signal(SignalKind::hangup())?;
    Ok(())
}

/// Reads the settings again at SIGHUP and at regular intervals. SIGHUP's own effect, the end of the
/// process, would cut off every request.
///
/// What can change while the process runs are the seeds; ports and names hold until the next start.
///
/// # Errors
/// When the signal can't be watched.
pub fn follow_settings(
    context: Arc<Context>,
    control: ControlHandle,
    reload: ReloadFn,
) -> Result<impl Future<Output = ()> + use<>> {
    let mut hangup = signal(SignalKind::hangup())?;
    Ok(async move {
        let mut in_force = context.settings.clone();
        let mut readable = true;
        loop {
            let signalled = tokio::select! {
                _ = hangup.recv() => true,
                () = tokio::time::sleep(LOOK) => false,
            };
            match reload() {
                Ok(settings) => {
                    if signalled || settings != in_force {
                        event!(context.log, RELOADED, "seeds" => settings.seeds.len());
                        control.set_seeds(settings.seeds.clone());
                        in_force = settings;
                    }
                    readable = true;
                }
                Err(error) => {
                    if signalled || readable {
                        event!(context.log, SETTINGS_BAD, "reason" => format!("{error:#}"));
                    }
                    readable = false;
                }
            }
        }
    })
}
