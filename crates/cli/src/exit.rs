//! The exit codes of `rwrctl`.

use std::process::ExitCode;

use strum::EnumIter;

/// How a command ended; the number is the process's exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// A file or a reply couldn't be used.
    Failure = 1,
    /// The command line or the client's settings are wrong.
    Usage = 2,
    /// A concurrent change was accepted first; nothing was changed.
    Conflict = 3,
    /// The change was refused as invalid; nothing was changed.
    Invalid = 4,
    /// The change may have been accepted; it can be resent with the same id.
    Uncertain = 5,
    /// No process answered, or no majority confirmed; nothing was changed.
    Unreachable = 6,
    /// The operation did not finish within the given time.
    Unfinished = 7,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
