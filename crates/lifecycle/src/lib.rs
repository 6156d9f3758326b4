//! Life cycle of a process: starting, serving, leaving, stopped.
//!
//! Each state is a type, so that invalid transitions do not compile: for example, a process cannot
//! serve before a list is in force, nor return from leaving to serving.

use shallotfork_events::{LEAVING, SERVING, STARTED, STOPPED, event, slog::Logger};
use tokio::sync::watch;

/// Life cycle state, for parts of the process that only observe it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No published list is in force yet.
    Starting,
    /// Callers are served.
    Serving,
    /// Requests are still served, but this VM is no longer advertised to callers.
    Leaving,
    /// No request is in flight; the process ends.
    Stopped,
}

impl Phase {
    /// Returns the name used in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Stopped => "stopped",
        }
    }
}

/// State of a process without published lists.
#[derive(Debug)]
pub struct Starting;

/// State of a process that serves callers.
#[derive(Debug)]
pub struct Serving;

/// State of a process that is being stopped.
#[derive(Debug)]
pub struct Leaving;

/// A process in the life cycle state `S`.
#[derive(Debug)]
pub struct Process<S> {
    log: Logger,
    phase: watch::Sender<Phase>,
    _state: S,
}

impl Process<Starting> {
    /// Creates a process in the starting state.
    pub fn new(log: Logger) -> Self {
        event!(log, STARTED);
        let (phase, _) = watch::channel(Phase::Starting);
        Self { log, phase, _state: Starting }
    }

    /// Changes to serving, once the published lists are in force.
    pub fn serve(self) -> Process<Serving> {
        event!(self.log, SERVING);
        self.enter(Phase::Serving, Serving)
    }
}

impl Process<Serving> {
    /// Changes to leaving, when the process is asked to stop.
    pub fn leave(self) -> Process<Leaving> {
        event!(self.log, LEAVING);
        self.enter(Phase::Leaving, Leaving)
    }
}

impl Process<Leaving> {
    /// Changes to stopped, once no request is in flight.
    pub fn stop(self) {
        event!(self.log, STOPPED);
        self.phase.send_replace(Phase::Stopped);
    }
}

impl<S> Process<S> {
    /// Returns a receiver for the current state.
    pub fn watch(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    fn enter<T>(self, phase: Phase, state: T) -> Process<T> {
        self.phase.send_replace(phase);
        Process { log: self.log, phase: self.phase, _state: state }
    }
}
