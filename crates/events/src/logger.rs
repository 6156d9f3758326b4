//! Logger that writes JSON lines.

use std::io::{self, Write};
use std::sync::Mutex;

use slog::{Drain, Logger, o};

/// Destination of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogOutput {
    /// Standard error, for programs that write something else to standard output.
    #[default]
    StandardError,
    /// Standard output.
    StandardOutput,
}

/// Fields that every log line carries besides its event, and the destination of the lines.
#[derive(Debug)]
pub struct LogConfig {
    /// Name of the VM.
    pub vm: String,
    /// Incarnation of the process, as text.
    pub incarnation: String,
    /// Destination of the lines.
    pub output: LogOutput,
}

/// Log lines queued while the output is slow; further lines are dropped and counted.
const QUEUE_CAPACITY: usize = 4096;

/// Starts a logger that writes JSON lines on a separate thread.
///
/// Logging never blocks a traffic thread: when the queue of the writer is full, lines are dropped.
pub fn logger(config: &LogConfig) -> (Logger, slog_async::AsyncGuard) {
    let output: Box<dyn Write + Send> = match config.output {
        LogOutput::StandardError => Box::new(io::stderr()),
        LogOutput::StandardOutput => Box::new(io::stdout()),
    };
    let json = slog_json::Json::default(output);
    let drain = Mutex::new(json).map(slog::Fuse);
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(QUEUE_CAPACITY)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let fields = o!("vm" => config.vm.clone(), "incarnation" => config.incarnation.clone());
    (Logger::root(drain.fuse(), fields), guard)
}
