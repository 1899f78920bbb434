//! The gateway's daemon: `rwr-gateway --config FILE [--check]`.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use conf::value::log_level::Level;
use gateway::settings::Settings;
use lexopt::prelude::*;
use slog::error;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const NAME: &str = "rwr-gateway";
const USAGE: &str = "\
Serves callers' requests by way of announced upstreams.

Usage: rwr-gateway --config FILE [--check]

  --config FILE  settings in INI
  --check        reads and checks the settings, prints the effective ones
  --help         prints this text
  --version      prints the version

Exit codes: 0 ok, 1 failed while running, 2 usage or settings.";
const FAILED: u8 = 1;
const USAGE_FAULT: u8 = 2;

enum Command {
    Run(PathBuf),
    Check(PathBuf),
    Help,
    Version,
}

fn main() -> ExitCode {
    let command = match parse() {
        Ok(command) => command,
        Err(err) => {
            eprintln!("{NAME}: {err}\n\n{USAGE}");
            return ExitCode::from(USAGE_FAULT);
        }
    };
    match command {
        Command::Help => {
            println!("{USAGE}");
            ExitCode::SUCCESS
        }
        Command::Version => {
            println!("{NAME} {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Command::Check(path) => with_settings(&path, |settings| {
            print!("{settings}");
            ExitCode::SUCCESS
        }),
        Command::Run(path) => with_settings(&path, run),
    }
}

fn parse() -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut path = None;
    let mut check = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("config") => path = Some(PathBuf::from(parser.value()?)),
            Long("check") => check = true,
            Long("help") | Short('h') => return Ok(Command::Help),
            Long("version") | Short('V') => return Ok(Command::Version),
            other => return Err(other.unexpected()),
        }
    }
    let path = path.ok_or("--config FILE is required")?;
    Ok(if check {
        Command::Check(path)
    } else {
        Command::Run(path)
    })
}

fn with_settings(path: &std::path::Path, then: impl FnOnce(Settings) -> ExitCode) -> ExitCode {
    match Settings::open(path) {
        Ok(settings) => then(settings),
        Err(err) => {
            eprintln!("{err}");
            ExitCode::from(USAGE_FAULT)
        }
    }
}

fn run(settings: Settings) -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("{NAME}: {err}");
            return ExitCode::from(FAILED);
        }
    };
    let level = match settings.level {
        Level::Error => slog::Level::Error,
        Level::Warning => slog::Level::Warning,
        Level::Info => slog::Level::Info,
        Level::Debug => slog::Level::Debug,
    };
    let host = settings.host.to_string();
    let (log, _guard) = telemetry::log::start(io::stdout(), level, NAME, &host);
    let result = runtime.block_on(serve(settings, log.clone()));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            error!(log, "failed"; "error" => %err);
            ExitCode::from(FAILED)
        }
    }
}

async fn serve(settings: Settings, log: slog::Logger) -> Result<(), gateway::StartError> {
    let metrics = telemetry::metrics::start(settings.metrics, settings.host.as_str())?;
    let mut term = signal(SignalKind::terminate())?;
    let gateway = gateway::start(settings, log, metrics).await?;
    tokio::select! {
        _ = term.recv() => {}
        () = gateway.stopped() => {}
    }
    gateway.stop().await;
    Ok(())
}
