//! Processor time and memory of a process, as proc(5) gives them.

use std::fs;
use std::path::Path;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use shallotfork_types::Bytes;

/// One clock tick of `/proc/PID/stat`; a hundred a second on Linux.
const TICK: Duration = Duration::from_millis(10);

/// Place of the user time after the closing bracket of the command's name; the system time follows.
const USER_TIME_FIELD: usize = 11;

/// Name of the thread that holds the control state of `shallotd`.
const CONTROL_THREAD: &str = "control";

const PAGE_BYTES: u64 = 4096;

/// User and system time that a process has used, all threads together.
///
/// # Errors
/// When the process does not run.
pub fn cpu_time(pid: u32) -> Result<Duration> {
    time_of(Path::new(&format!("/proc/{pid}/stat")))
}

/// User and system time of the control thread of a `shallotd`.
///
/// # Errors
/// When the process does not run or has no such thread.
pub fn control_thread_cpu_time(pid: u32) -> Result<Duration> {
    for task in fs::read_dir(format!("/proc/{pid}/task"))? {
        let path = task?.path();
        if fs::read_to_string(path.join("comm"))?.trim() == CONTROL_THREAD {
            return time_of(&path.join("stat"));
        }
    }
    bail!("process {pid} has no control thread");
}

/// Memory of a process that is resident.
///
/// # Errors
/// When the process does not run.
pub fn resident_memory(pid: u32) -> Result<Bytes> {
    let account = fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let pages = account.split_whitespace().nth(1).context("statm has a second field")?;
    Ok(Bytes::new(pages.parse::<u64>()? * PAGE_BYTES))
}

/// The command's name stands in brackets and may hold blanks, so fields count from behind it.
fn time_of(stat: &Path) -> Result<Duration> {
    let text = fs::read_to_string(stat)?;
    let (_, fields) = text.rsplit_once(')').context("stat names the command")?;
    let mut ticks = 0;
    for field in fields.split_whitespace().skip(USER_TIME_FIELD).take(2) {
        ticks += field.parse::<u32>()?;
    }
    Ok(TICK * ticks)
}
