//! A program run as a child process.

use std::env;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, bail, ensure};
use rustix::process::{Pid, Signal, kill_process};
use serde::de::DeserializeOwned;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::timeout;

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const EXIT_TIMEOUT: Duration = Duration::from_secs(60);
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// Polling period while waiting for the threads of a process to stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// State of a thread stopped by a signal, in `/proc/PID/task/TID/stat`.
const STOPPED: &str = "T";

/// A child process that is killed when this value is dropped.
#[derive(Debug)]
pub struct Program {
    name: String,
    child: Child,
}

impl Program {
    /// Starts a program of this workspace and reads its ready line.
    ///
    /// Standard error goes to the file `log`.
    ///
    /// # Errors
    /// Returns an error if the program can't be started or prints no ready line in time.
    pub async fn start<R: DeserializeOwned>(
        name: &str,
        args: &[String],
        log: &Path,
    ) -> anyhow::Result<(Self, R)> {
        let path = program_path(name)?;
        let log_file =
            File::create(log).with_context(|| format!("failed to create {}", log.display()))?;
        let mut child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_file)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| {
                format!("failed to start {}; build it with ./test.sh", path.display())
            })?;
        let stdout = child.stdout.take().context("standard output is not captured")?;
        let mut lines = BufReader::new(stdout).lines();
        let ready = timeout(READY_TIMEOUT, read_ready(&mut lines)).await;
        let ready =
            ready.with_context(|| format!("{name} is not ready in time, see {}", log.display()))?;
        let ready =
            ready.with_context(|| format!("{name} failed to start, see {}", log.display()))?;
        // Drains standard output, since a full pipe would block the program.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok((Self { name: name.to_owned(), child }, ready))
    }

    /// Returns the process id, or `None` once the process has been reaped.
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Kills the process with SIGKILL.
    ///
    /// # Errors
    /// Returns an error if the signal can't be sent.
    pub async fn kill(&mut self) -> anyhow::Result<()> {
        self.child.kill().await.with_context(|| format!("failed to kill {}", self.name))
    }

    /// Pauses the process with SIGSTOP and waits until all its threads have stopped. On a busy
    /// machine they run on for milliseconds after the signal and answer what arrives meanwhile.
    ///
    /// # Errors
    /// Returns an error if the process has ended, or does not stop.
    pub fn pause(&self) -> anyhow::Result<()> {
        self.signal(Signal::STOP)?;
        let pid = self.pid().with_context(|| format!("{} has ended", self.name))?;
        let began = Instant::now();
        while !all_threads_stopped(pid)? {
            ensure!(began.elapsed() < STOP_TIMEOUT, "{} did not stop in time", self.name);
            thread::sleep(STOP_POLL_INTERVAL);
        }
        Ok(())
    }

    /// Resumes the process with SIGCONT.
    ///
    /// # Errors
    /// Returns an error if the process has ended.
    pub fn resume(&self) -> anyhow::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Requests a graceful stop with SIGTERM.
    ///
    /// # Errors
    /// Returns an error if the process has ended.
    pub fn terminate(&self) -> anyhow::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the process to exit.
    ///
    /// # Errors
    /// Returns an error if it is still running after 60 s.
    pub async fn wait_exit(&mut self) -> anyhow::Result<ExitStatus> {
        let status = timeout(EXIT_TIMEOUT, self.child.wait()).await;
        let status = status.with_context(|| format!("{} did not exit in time", self.name))?;
        Ok(status?)
    }

    fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = self.child.id().with_context(|| format!("{} has ended", self.name))?;
        let pid = Pid::from_raw(i32::try_from(pid)?).context("invalid process id")?;
        kill_process(pid, signal).with_context(|| format!("failed to signal {}", self.name))
    }
}

/// Returns the path of a program: Cargo puts it one directory above the test executable.
fn program_path(name: &str) -> anyhow::Result<PathBuf> {
    let test = env::current_exe()?;
    let directory = test.parent().and_then(Path::parent).context("no target directory")?;
    let path = directory.join(name);
    // Cargo does not build the programs of other packages for a test.
    ensure!(path.exists(), "{} is not built: run `cargo build --workspace --bins`", path.display());
    Ok(path)
}

async fn read_ready<R: DeserializeOwned>(
    lines: &mut Lines<BufReader<ChildStdout>>,
) -> anyhow::Result<R> {
    while let Some(line) = lines.next_line().await? {
        if line.contains("\"ready\"") {
            return Ok(serde_json::from_str(&line)?);
        }
    }
    bail!("the process exited before it was ready");
}

fn all_threads_stopped(pid: u32) -> anyhow::Result<bool> {
    for task in fs::read_dir(format!("/proc/{pid}/task"))? {
        // A thread may have ended since the directory was read.
        let Ok(stat) = fs::read_to_string(task?.path().join("stat")) else { continue };
        // The thread name in parentheses may contain any character; the state follows it.
        let state = stat.rsplit_once(')').and_then(|(_, rest)| rest.split_whitespace().next());
        if state != Some(STOPPED) {
            return Ok(false);
        }
    }
    Ok(true)
}
