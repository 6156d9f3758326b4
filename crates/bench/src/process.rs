//! Processor time and memory of a process, read from proc(5).

use std::fs;
use std::path::Path;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use shallotfork_types::Bytes;

/// Duration of one clock tick of `/proc/PID/stat`; Linux has 100 ticks per second.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// Index of the user time among the fields after the command name; the system time follows it.
const USER_TIME_INDEX: usize = 11;

/// Name of the `shallotd` thread that owns the control state.
const CONTROL_THREAD: &str = "control";

const PAGE_BYTES: u64 = 4096;

/// Returns the user and system time used by all threads of a process.
///
/// # Errors
/// When the process is not running.
pub fn cpu_time(pid: u32) -> Result<Duration> {
    read_cpu_time(Path::new(&format!("/proc/{pid}/stat")))
}

/// Returns the user and system time used by the control thread of a `shallotd` process.
///
/// # Errors
/// When the process is not running or has no such thread.
pub fn control_thread_cpu_time(pid: u32) -> Result<Duration> {
    for task in fs::read_dir(format!("/proc/{pid}/task"))? {
        let path = task?.path();
        if fs::read_to_string(path.join("comm"))?.trim() == CONTROL_THREAD {
            return read_cpu_time(&path.join("stat"));
        }
    }
    bail!("process {pid} has no control thread");
}

/// Returns the resident memory of a process.
///
/// # Errors
/// When the process is not running.
pub fn resident_memory(pid: u32) -> Result<Bytes> {
    let statm = fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let pages = statm.split_whitespace().nth(1).context("statm has no second field")?;
    Ok(Bytes::new(pages.parse::<u64>()? * PAGE_BYTES))
}

/// Reads user and system time from a `stat` file.
///
/// Fields are counted from the end of the bracketed command name, which may contain spaces.
fn read_cpu_time(stat: &Path) -> Result<Duration> {
    let text = fs::read_to_string(stat)?;
    let (_, fields) = text.rsplit_once(')').context("stat has no command name")?;
    let mut ticks = 0;
    for field in fields.split_whitespace().skip(USER_TIME_INDEX).take(2) {
        ticks += field.parse::<u32>()?;
    }
    Ok(CLOCK_TICK * ticks)
}
