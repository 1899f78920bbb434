//! The shell of a daemon: command line, exit codes, log and signals.
//!
//! A process says by [`Daemon`] what is its own, and its `main` is one call
//! of [`main`]. Once it runs, all is said in the log, on standard output; a
//! wrong command line or wrong settings are told on standard error.

pub mod command;
pub mod metrics;
pub mod signals;

use std::fmt;
use std::io;
use std::path::Path;
use std::process::ExitCode;

use conf::ConfError;
use slog::Level;
use slog::Logger;
use slog::error;
use slog::info;

use crate::command::Command;
use crate::signals::Signals;

/// It failed while running.
pub const FAILED: u8 = 1;
/// The command line or the settings are wrong.
pub const USAGE: u8 = 2;

const HELP: &str = "\
  --config FILE  settings, INI
  --check        print the effective settings and exit
  --help         print this and exit
  --version      print the version and exit

Exit codes: 0 ok, 1 failure while running, 2 wrong command line or settings.";

/// What a daemon has of its own.
pub trait Daemon {
    /// The binary's name.
    const NAME: &'static str;
    /// The binary's version.
    const VERSION: &'static str;
    /// What it does, as a sentence.
    const SUMMARY: &'static str;
    /// Its settings, which print as the INI that they are read from.
    type Settings: fmt::Display;
    /// Why it can't start or go on.
    type Error: fmt::Display;

    /// Reads the settings at `path`.
    ///
    /// # Errors
    ///
    /// Fails with every fault of the file.
    fn open(path: &Path) -> Result<Self::Settings, ConfError>;

    /// Who it is in the log.
    fn host(settings: &Self::Settings) -> String;

    /// What it logs.
    fn telemetry(settings: &Self::Settings) -> telemetry::Settings;

    /// Runs until a signal comes or it ends by itself, and stops gracefully.
    ///
    /// # Errors
    ///
    /// Fails when it can't start or go on.
    fn run(
        settings: Self::Settings,
        log: Logger,
        signals: Signals,
    ) -> impl Future<Output = Result<(), Self::Error>>;
}

/// Does what the process's command line says.
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
            println!("{} {}", D::NAME, D::VERSION);
            ExitCode::SUCCESS
        }
        Ok(Command::Run { config, check }) => obey::<D>(&config, check),
        Err(err) => fail::<D>(USAGE, &format_args!("{err}; see {} --help", D::NAME)),
    }
}

fn obey<D: Daemon>(config: &Path, check: bool) -> ExitCode {
    let settings = match D::open(config) {
        Ok(settings) => settings,
        Err(err) => return fail::<D>(USAGE, &err),
    };
    if check {
        print!("{settings}");
        return ExitCode::SUCCESS;
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => return fail::<D>(FAILED, &err),
    };
    let telemetry = D::telemetry(&settings);
    let level = level(telemetry.level);
    let host = D::host(&settings);
    let (log, _guard) =
        telemetry::log::start_limited(io::stdout(), level, D::NAME, &host, telemetry.rate);
    runtime.block_on(run::<D>(settings, config, log))
}

/// The signals come first: one that comes while the daemon starts isn't lost.
async fn run<D: Daemon>(settings: D::Settings, config: &Path, log: Logger) -> ExitCode {
    let signals = match Signals::new(config) {
        Ok(signals) => signals,
        Err(err) => return failed(&log, &err),
    };
    info!(log, "starting"; "version" => D::VERSION, "settings" => %config.display());
    if let Some(address) = D::telemetry(&settings).listen {
        match metrics::bind(address).await {
            Ok(listener) => {
                tokio::spawn(metrics::serve(listener, log.clone()));
            }
            Err(err) => return failed(&log, &err),
        }
    }
    match D::run(settings, log.clone(), signals).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => failed(&log, &err),
    }
}

fn failed(log: &Logger, err: &dyn fmt::Display) -> ExitCode {
    error!(log, "failed"; "error" => %err);
    ExitCode::from(FAILED)
}

fn level(level: conf::value::log_level::Level) -> Level {
    match level {
        conf::value::log_level::Level::Error => Level::Error,
        conf::value::log_level::Level::Warning => Level::Warning,
        conf::value::log_level::Level::Info => Level::Info,
        conf::value::log_level::Level::Debug => Level::Debug,
    }
}

fn fail<D: Daemon>(code: u8, err: &dyn fmt::Display) -> ExitCode {
    eprintln!("{}: {err}", D::NAME);
    ExitCode::from(code)
}
