//! Command line of a daemon.

use std::ffi::OsString;
use std::path::PathBuf;

use lexopt::Arg;
use lexopt::Parser;
use quick_error::quick_error;

quick_error! {
    /// Error in a command line.
    #[derive(Debug)]
    pub enum UsageError {
        /// An argument is unknown or malformed.
        Argument(err: lexopt::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// `--config` is missing.
        NoConfig {
            display("--config FILE is required")
        }
    }
}

/// Action requested by a command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run the daemon.
    Run {
        /// Path of the settings file.
        config: PathBuf,
        /// Only print the effective settings.
        check: bool,
    },
    /// Print the help.
    Help,
    /// Print the version.
    Version,
}

/// Parses a command line, without the program's name.
///
/// # Errors
///
/// Fails on an unknown or malformed argument, or if `--config` is missing.
pub fn read<I>(args: I) -> Result<Command, UsageError>
where
    I: IntoIterator,
    I::Item: Into<OsString>,
{
    let mut parser = Parser::from_args(args);
    let mut config = None;
    let mut check = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("config") => config = Some(PathBuf::from(parser.value()?)),
            Arg::Long("check") => check = true,
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help),
            Arg::Long("version") | Arg::Short('V') => return Ok(Command::Version),
            arg => return Err(arg.unexpected().into()),
        }
    }
    let config = config.ok_or(UsageError::NoConfig)?;
    Ok(Command::Run { config, check })
}
