//! The JSON logger.

use std::io;
use std::sync::Mutex;

use slog::{Drain, Logger, o};

/// What every log line carries besides its event.
#[derive(Debug)]
pub struct LogConfig {
    /// Name of the VM.
    pub vm: String,
    /// Incarnation of the process, as text.
    pub incarnation: String,
}

/// Lines kept while standard error is slow; further ones are dropped and counted.
const QUEUE_LINES: usize = 4096;

/// Starts a logger that writes JSON lines to standard error from a thread of its own.
///
/// Traffic threads never wait for the writer: when its queue is full, lines are dropped.
pub fn logger(config: &LogConfig) -> (Logger, slog_async::AsyncGuard) {
    let json = slog_json::Json::default(io::stderr());
    let drain = Mutex::new(json).map(slog::Fuse);
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let fields = o!("vm" => config.vm.clone(), "incarnation" => config.incarnation.clone());
    (Logger::root(drain.fuse(), fields), guard)
}
