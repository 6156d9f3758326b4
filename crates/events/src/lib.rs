//! Numbered log events and the logger that writes them as JSON lines.
//!
//! Every event has a number, a level and a fixed text. `docs/EVENTS.md` lists all events; a test
//! compares it with the code.

mod catalogue;
mod logger;

pub use catalogue::{ALL, *};
pub use logger::{LogConfig, LogOutput, logger};
pub use slog;

/// Severity of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// Normal operation that an operator may want to follow.
    Info,
    /// Something is degraded; requests are still served.
    Warning,
    /// Something failed and needs an operator.
    Error,
}

/// Numbered kind of log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Number in the catalogue; never reused.
    pub code: u16,
    /// Severity.
    pub level: Level,
    /// Fixed text of the line.
    pub text: &'static str,
}

/// Writes a numbered event with its fields: `event!(log, RULES_ACCEPTED, "revision" => 7)`.
#[macro_export]
macro_rules! event {
    ($log:expr, $event:expr $(, $key:literal => $value:expr)* $(,)?) => {{
        let event: $crate::Event = $event;
        match event.level {
            $crate::Level::Info => $crate::slog::info!(
                $log, "{}", event.text; "event" => event.code $(, $key => $value)*
            ),
            $crate::Level::Warning => $crate::slog::warn!(
                $log, "{}", event.text; "event" => event.code $(, $key => $value)*
            ),
            $crate::Level::Error => $crate::slog::error!(
                $log, "{}", event.text; "event" => event.code $(, $key => $value)*
            ),
        }
    }};
}
