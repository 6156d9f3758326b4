//! The life cycle of the process: starting, serving, leaving, stopped.
//!
//! Each state is a type, so that for example nothing can be announced as serving before a list
//! is in force, and nothing can go back from leaving to serving.

use shallotfork_events::{LEAVING, SERVING, STARTED, STOPPED, event, slog::Logger};
use tokio::sync::watch;

/// The state as seen by the parts of the process that only watch it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Nothing published is in force yet.
    Starting,
    /// Callers are served.
    Serving,
    /// Requests are still served, but no answer names this VM any more.
    Leaving,
    /// Nothing is in flight; the process ends.
    Stopped,
}

impl Phase {
    /// The text used in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Stopped => "stopped",
        }
    }
}

/// State of a process that knows nothing published yet.
#[derive(Debug)]
pub struct Starting;

/// State of a process that serves callers.
#[derive(Debug)]
pub struct Serving;

/// State of a process that was told to stop.
#[derive(Debug)]
pub struct Leaving;

/// The process in one state of its life cycle.
#[derive(Debug)]
pub struct Process<S> {
    log: Logger,
    phase: watch::Sender<Phase>,
    _state: S,
}

impl Process<Starting> {
    /// Starts the life cycle.
    pub fn new(log: Logger) -> Self {
        event!(log, STARTED);
        let (phase, _) = watch::channel(Phase::Starting);
        Self { log, phase, _state: Starting }
    }

    /// What is published is in force: callers may be served.
    pub fn serve(self) -> Process<Serving> {
        event!(self.log, SERVING);
        self.enter(Phase::Serving, Serving)
    }
}

impl Process<Serving> {
    /// The process was told to stop.
    pub fn leave(self) -> Process<Leaving> {
        event!(self.log, LEAVING);
        self.enter(Phase::Leaving, Leaving)
    }
}

impl Process<Leaving> {
    /// Nothing is in flight any more.
    pub fn stop(self) {
        event!(self.log, STOPPED);
        self.phase.send_replace(Phase::Stopped);
    }
}

impl<S> Process<S> {
    /// Watches the state.
    pub fn watch(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    fn enter<T>(self, phase: Phase, state: T) -> Process<T> {
        self.phase.send_replace(phase);
        Process { log: self.log, phase: self.phase, _state: state }
    }
}
