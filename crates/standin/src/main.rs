//! `rwr-standin`: a stand-in for an upstream, as a process.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use conf::Reader;
use conf::value::log_level;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use quick_error::quick_error;
use slog::Level;
use slog::Logger;
use slog::info;
use standin::Settings;
use standin::StartError;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const HELP: &str = "\
rwr-standin: a stand-in for an upstream, for tests and trials

usage: rwr-standin --config FILE [--check]

  --config FILE  settings, INI
  --check        read the settings, print the effective ones, exit
  --help         print this, exit
  --version      print the version, exit

exit codes: 0 ok, 1 failure at run time, 2 usage or settings";

const FAILURE: u8 = 1;
const USAGE: u8 = 2;

quick_error! {
    /// Why the process ends with a failure.
    #[derive(Debug)]
    enum RunError {
        Signal(err: io::Error) {
            from()
            source(err)
            display("signal: {err}")
        }
        Start(err: StartError) {
            from()
            source(err)
            display("{err}")
        }
    }
}

#[derive(Default)]
struct Options {
    config: Option<PathBuf>,
    check: bool,
    help: bool,
    version: bool,
}

fn main() -> ExitCode {
    let options = match parse() {
        Ok(options) => options,
        Err(err) => return fail(USAGE, &err),
    };
    if options.help {
        println!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if options.version {
        println!("rwr-standin {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(config) = options.config else {
        return fail(USAGE, &"--config FILE is required, see --help");
    };
    let settings = match Reader::open(&config).and_then(Settings::read) {
        Ok(settings) => settings,
        Err(err) => return fail(USAGE, &err),
    };
    if options.check {
        print!("{settings}");
        return ExitCode::SUCCESS;
    }
    serve(settings)
}

fn parse() -> Result<Options, lexopt::Error> {
    let mut options = Options::default();
    let mut parser = Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("config") => options.config = Some(parser.value()?.parse()?),
            Arg::Long("check") => options.check = true,
            Arg::Long("help") | Arg::Short('h') => options.help = true,
            Arg::Long("version") => options.version = true,
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(options)
}

fn serve(settings: Settings) -> ExitCode {
    let level = level(settings.level);
    let host = settings.instance.to_string();
    let (log, _guard) = telemetry::log::start(io::stderr(), level, "rwr-standin", &host);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => return fail(FAILURE, &err),
    };
    match runtime.block_on(run(settings, log)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => fail(FAILURE, &err),
    }
}

async fn run(settings: Settings, log: Logger) -> Result<(), RunError> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let service = settings.service.to_string();
    let upstream = standin::start(settings, log.clone()).await?;
    info!(log, "ready"; "address" => %upstream.address(), "service" => service);
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    upstream.stop().await;
    Ok(())
}

fn level(level: log_level::Level) -> Level {
    match level {
        log_level::Level::Error => Level::Error,
        log_level::Level::Warning => Level::Warning,
        log_level::Level::Info => Level::Info,
        log_level::Level::Debug => Level::Debug,
    }
}

fn fail(code: u8, err: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("rwr-standin: {err}");
    ExitCode::from(code)
}
