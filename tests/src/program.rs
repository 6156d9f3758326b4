//! One started program.

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

const READY_LIMIT: Duration = Duration::from_secs(20);
const EXIT_LIMIT: Duration = Duration::from_secs(60);
const STOP_LIMIT: Duration = Duration::from_secs(20);
/// Time between two looks at whether a process stands still.
const STOP_LOOK: Duration = Duration::from_millis(1);
/// State of a thread that a signal has stopped, in `/proc/PID/task/TID/stat`.
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
    /// Its errors and logs go to `log`.
    ///
    /// # Errors
    /// When the program can't be started or prints no ready line in time.
    pub async fn start<R: DeserializeOwned>(
        name: &str,
        args: &[String],
        log: &Path,
    ) -> anyhow::Result<(Self, R)> {
        let path = program_path(name)?;
        let log_file = File::create(log).with_context(|| format!("making {}", log.display()))?;
        let mut child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_file)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("starting {}; run ./test.sh to build it", path.display()))?;
        let stdout = child.stdout.take().context("no standard output")?;
        let mut lines = BufReader::new(stdout).lines();
        let ready = timeout(READY_LIMIT, read_ready(&mut lines)).await;
        let ready = ready.with_context(|| format!("{name} is not ready, see {}", log.display()))?;
        let ready = ready.with_context(|| format!("{name}, see {}", log.display()))?;
        // A full pipe would block the program.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok((Self { name: name.to_owned(), child }, ready))
    }

    /// The process id; nothing once the process has ended.
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Ends the process at once with SIGKILL.
    ///
    /// # Errors
    /// When the signal can't be sent.
    pub async fn kill(&mut self) -> anyhow::Result<()> {
        self.child.kill().await.with_context(|| format!("killing {}", self.name))
    }

    /// Pauses the process with SIGSTOP and waits until all its threads stand still. On a busy machine
    /// they go on for milliseconds after the signal was sent, and answer what arrives meanwhile.
    ///
    /// # Errors
    /// When the process has ended, or does not stop.
    pub fn pause(&self) -> anyhow::Result<()> {
        self.signal(Signal::STOP)?;
        let pid = self.pid().with_context(|| format!("{} has ended", self.name))?;
        let began = Instant::now();
        while !all_threads_stopped(pid)? {
            ensure!(began.elapsed() < STOP_LIMIT, "{} does not stop", self.name);
            thread::sleep(STOP_LOOK);
        }
        Ok(())
    }

    /// Wakes the process with SIGCONT.
    ///
    /// # Errors
    /// When the process has ended.
    pub fn resume(&self) -> anyhow::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to stop gracefully with SIGTERM.
    ///
    /// # Errors
    /// When the process has ended.
    pub fn terminate(&self) -> anyhow::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process has ended.
    ///
    /// # Errors
    /// When it still runs after a minute.
    pub async fn wait_exit(&mut self) -> anyhow::Result<ExitStatus> {
        let status = timeout(EXIT_LIMIT, self.child.wait()).await;
        let status = status.with_context(|| format!("{} does not end", self.name))?;
        Ok(status?)
    }

    fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = self.child.id().with_context(|| format!("{} has ended", self.name))?;
        let pid = Pid::from_raw(i32::try_from(pid)?).context("not a process id")?;
        kill_process(pid, signal).with_context(|| format!("signalling {}", self.name))
    }
}

/// Programs stand beside the directory of the test that runs.
fn program_path(name: &str) -> anyhow::Result<PathBuf> {
    let test = env::current_exe()?;
    let directory = test.parent().and_then(Path::parent).context("no target directory")?;
    let path = directory.join(name);
    // Cargo builds the programs of other packages for no test.
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
    bail!("ended before it was ready");
}

fn all_threads_stopped(pid: u32) -> anyhow::Result<bool> {
    for task in fs::read_dir(format!("/proc/{pid}/task"))? {
        // A thread may have ended since the folder was read.
        let Ok(stat) = fs::read_to_string(task?.path().join("stat")) else { continue };
        // The name in brackets may hold anything; the state follows it.
        let state = stat.rsplit_once(')').and_then(|(_, rest)| rest.split_whitespace().next());
        if state != Some(STOPPED) {
            return Ok(false);
        }
    }
    Ok(true)
}
