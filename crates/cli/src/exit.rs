//! The fixed exit codes.

use std::process::ExitCode;

use strum::EnumIter;

/// How a command ended; the number is the process's exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter)]
#[repr(u8)]
pub enum Exit {
    /// It did what was asked.
    Done = 0,
    /// A file or an answer couldn't be used.
    Failure = 1,
    /// The command line or the client's settings are wrong.
    Usage = 2,
    /// Another change took the version first; nothing was changed.
    Conflict = 3,
    /// Refused as invalid; nothing was changed.
    Invalid = 4,
    /// It may have been accepted: resend it with the same id.
    Uncertain = 5,
    /// Nobody answered, or no majority confirmed; nothing was changed.
    Unreachable = 6,
    /// It is under way, but not finished within the time given.
    Unfinished = 7,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
