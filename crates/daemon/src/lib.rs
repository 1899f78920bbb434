//! Common parts of the daemons: command line, exit codes, log, metrics endpoint and signals.
//!
//! A binary implements [`Daemon`] and calls [`main`]. A daemon logs to standard output; faults
//! of the command line or the settings are printed to standard error.

pub mod command;
pub mod metrics;
pub mod signals;

use std::fmt;
use std::io;
use std::path::Path;
use std::process::ExitCode;

use base::build;
use conf::ConfError;
use slog::Level;
use slog::Logger;
use slog::error;
use slog::info;

use crate::command::Command;
use crate::signals::Signals;

/// Exit code after a failure while running.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code for a wrong command line or wrong settings.
pub const EXIT_USAGE: u8 = 2;

const HELP: &str = "\
  --config FILE  settings, INI
  --check        print the effective settings and exit
  --help         print this and exit
  --version      print the version and a digest of the sources, and exit

Exit codes: 0 ok, 1 failure while running, 2 wrong command line or settings.";

/// A daemon binary.
pub trait Daemon {
    /// Name of the binary.
    const NAME: &'static str;
    /// Version of the binary.
    const VERSION: &'static str;
    /// Description of the daemon in one sentence, printed by `--help`.
    const SUMMARY: &'static str;
    /// Settings of the daemon; they are displayed in the INI form that they are read from.
    type Settings: fmt::Display;
    /// Error that prevents the daemon from starting or running on.
    type Error: fmt::Display;

    /// Reads the settings at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, or with all faults of its content.
    fn open(path: &Path) -> Result<Self::Settings, ConfError>;

    /// Name of the host in log lines.
    fn host(settings: &Self::Settings) -> String;

    /// Settings for the log and the metrics endpoint.
    fn telemetry(settings: &Self::Settings) -> telemetry::Settings;

    /// Runs until the daemon ends or receives a signal to stop, and shuts it down gracefully.
    ///
    /// # Errors
    ///
    /// Fails if the daemon can't start or run on.
    fn run(
        settings: Self::Settings,
        log: Logger,
        signals: Signals,
    ) -> impl Future<Output = Result<(), Self::Error>>;
}

/// Parses the process's command line and runs the daemon.
#[must_use]
pub fn main<D: Daemon>() -> ExitCode {
    match command::read(std::env::args_os().skip(1)) {
        Ok(Command::Help) => {
            println!(
                "{}\n\nUsage: {} --config FILE [--check]\n\n{HELP}",
                D::SUMMARY,
                D::NAME
            );
            ExitCode::SUCCESS
        }
        Ok(Command::Version) => {
            println!("{}", build::version_line(D::NAME, D::VERSION));
            ExitCode::SUCCESS
        }
        Ok(Command::Run { config, check }) => run_command::<D>(&config, check),
        Err(err) => print_failure::<D>(EXIT_USAGE, &format_args!("{err}; see {} --help", D::NAME)),
    }
}

fn run_command<D: Daemon>(config: &Path, check: bool) -> ExitCode {
    let settings = match D::open(config) {
        Ok(settings) => settings,
        Err(err) => return print_failure::<D>(EXIT_USAGE, &err),
    };
    if check {
        print!("{settings}");
        return ExitCode::SUCCESS;
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => return print_failure::<D>(EXIT_FAILURE, &err),
    };
    let telemetry = D::telemetry(&settings);
    let level = slog_level(telemetry.level);
    let host = D::host(&settings);
    let (log, _guard) =
        telemetry::log::start_limited(io::stdout(), level, D::NAME, &host, telemetry.rate);
    runtime.block_on(run::<D>(settings, config, log))
}

/// Installs the signal handlers before anything else, so that no signal during the start is lost.
async fn run<D: Daemon>(settings: D::Settings, config: &Path, log: Logger) -> ExitCode {
    let signals = match Signals::new(config) {
        Ok(signals) => signals,
        Err(err) => return log_failure(&log, &err),
    };
    info!(log, "starting"; "version" => D::VERSION, "sources" => build::sources(),
        "settings" => %config.display());
    let telemetry = D::telemetry(&settings);
    match telemetry::metrics::start(telemetry.sink, &D::host(&settings)) {
        Ok(metrics) => metrics::record_build(&metrics, D::VERSION),
        Err(err) => return log_failure(&log, &err),
    }
    if let Some(address) = telemetry.listen {
        match metrics::bind(address).await {
            Ok(listener) => {
                tokio::spawn(metrics::serve(listener, log.clone()));
            }
            Err(err) => return log_failure(&log, &err),
        }
    }
    match D::run(settings, log.clone(), signals).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => log_failure(&log, &err),
    }
}

fn log_failure(log: &Logger, err: &dyn fmt::Display) -> ExitCode {
    error!(log, "failed"; "error" => %err);
    ExitCode::from(EXIT_FAILURE)
}

fn slog_level(level: conf::value::log_level::Level) -> Level {
    match level {
        conf::value::log_level::Level::Error => Level::Error,
        conf::value::log_level::Level::Warning => Level::Warning,
        conf::value::log_level::Level::Info => Level::Info,
        conf::value::log_level::Level::Debug => Level::Debug,
    }
}

fn print_failure<D: Daemon>(code: u8, err: &dyn fmt::Display) -> ExitCode {
    eprintln!("{}: {err}", D::NAME);
    ExitCode::from(code)
}
