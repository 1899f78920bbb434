//! The daemon around a directory: command line, log, signals, exit codes.

use std::ffi::OsString;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use conf::ConfError;
use conf::value::log_level::Level;
use lexopt::Arg;
use lexopt::Parser;
use quick_error::quick_error;
use telemetry::metrics::MetricsError;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::server;
use crate::server::StartError;
use crate::settings::Settings;

/// It ran and ended as asked.
pub const OK: u8 = 0;
/// It failed while running.
pub const FAILED: u8 = 1;
/// The command line or the settings are wrong.
pub const USAGE: u8 = 2;

const NAME: &str = "rwr-directory";
const HELP: &str = "\
Takes upstreams' announcements and tells callers which entry hosts to use.

Usage: rwr-directory --config FILE [--check]

  --config FILE  settings, see docs/reference/settings-directory.md
  --check        print the effective settings and exit
  --help         print this and exit
  --version      print the version and exit

Exit codes: 0 ok, 1 failure while running, 2 wrong command line or settings.
";

quick_error! {
    /// Why the daemon ended.
    #[derive(Debug)]
    pub enum RunError {
        /// The command line is wrong.
        Usage(err: lexopt::Error) {
            from()
            source(err)
            display("{err}; see {NAME} --help")
        }
        /// No settings were named.
        NoConfig {
            display("--config FILE is missing; see {NAME} --help")
        }
        /// The settings are wrong.
        Conf(err: ConfError) {
            from()
            source(err)
            display("{err}")
        }
        /// The runtime or the signals can't be had.
        Io(err: io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// The metrics can't be had.
        Metrics(err: MetricsError) {
            from()
            source(err)
            display("{err}")
        }
        /// The directory can't start.
        Start(err: StartError) {
            from()
            source(err)
            display("{err}")
        }
    }
}

impl RunError {
    fn code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::NoConfig | Self::Conf(_) => USAGE,
            Self::Io(_) | Self::Metrics(_) | Self::Start(_) => FAILED,
        }
    }
}

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run with this file, or check it only.
    Run {
        /// The settings.
        config: PathBuf,
        /// Check only.
        check: bool,
    },
    /// Print the help.
    Help,
    /// Print the version.
    Version,
}

/// Reads the command line, without the program's name.
///
/// # Errors
///
/// Fails on an unknown argument or without `--config`.
pub fn read<I>(args: I) -> Result<Command, RunError>
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
    let config = config.ok_or(RunError::NoConfig)?;
    Ok(Command::Run { config, check })
}

/// Runs the daemon as the process's command line says.
#[must_use]
pub fn main() -> ExitCode {
    match read(std::env::args_os().skip(1)).and_then(obey) {
        Ok(()) => ExitCode::from(OK),
        Err(err) => {
            eprintln!("{NAME}: {err}");
            ExitCode::from(err.code())
        }
    }
}

fn obey(command: Command) -> Result<(), RunError> {
    match command {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("{NAME} {}", env!("CARGO_PKG_VERSION")),
        Command::Run { config, check } => {
            let settings = Settings::open(&config)?;
            if check {
                print!("{settings}");
                return Ok(());
            }
            let runtime = tokio::runtime::Runtime::new()?;
            runtime.block_on(run(settings))?;
        }
    }
    Ok(())
}

async fn run(settings: Settings) -> Result<(), RunError> {
    let level = match settings.level {
        Level::Error => slog::Level::Error,
        Level::Warning => slog::Level::Warning,
        Level::Info => slog::Level::Info,
        Level::Debug => slog::Level::Debug,
    };
    let host = settings.host.as_str();
    let (log, _guard) = telemetry::log::start(io::stdout(), level, NAME, host);
    let metrics = telemetry::metrics::start(settings.metrics, host)?;
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let directory = server::start(settings, log, metrics).await?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    directory.stop().await;
    Ok(())
}
