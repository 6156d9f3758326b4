//! Exit codes, for scripts.

use std::process::ExitCode;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command did what was asked and the answer is yes.
    Done,
    /// The answer is no: the list is not valid, or it is not in force everywhere.
    No,
    /// The command line is wrong.
    Usage,
    /// A file cannot be read, or an entry did not answer.
    Failed,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0,
            Exit::No => 1,
            Exit::Usage => 2,
            Exit::Failed => 3,
        })
    }
}
