//! A daemon's command line.

use std::ffi::OsString;
use std::path::PathBuf;

use lexopt::Arg;
use lexopt::Parser;
use quick_error::quick_error;

quick_error! {
    /// What is wrong with a command line.
    #[derive(Debug)]
    pub enum UsageError {
        /// An argument.
        Argument(err: lexopt::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// No settings were named.
        NoConfig {
            display("--config FILE is required")
        }
    }
}

/// What a command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run with these settings.
    Run {
        /// The settings' file.
        config: PathBuf,
        /// Print the settings and do no more.
        check: bool,
    },
    /// Print the help.
    Help,
    /// Print the version.
    Version,
}

/// Reads a command line, without the program's name.
///
/// # Errors
///
/// Fails on an unknown argument or without `--config`.
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
