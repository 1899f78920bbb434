//! `rwr-standin`: an emulated upstream as a process.

use std::path::Path;
use std::process::ExitCode;

use conf::ConfError;
use conf::Reader;
use daemon::Daemon;
use daemon::signals::Signals;
use slog::Logger;
use slog::info;
use standin::Settings;
use standin::StartError;

/// Exit code of a stand-in that a request has crashed.
const CRASHED: i32 = 101;

struct StandInDaemon;

impl Daemon for StandInDaemon {
    const NAME: &'static str = "rwr-standin";
    const VERSION: &'static str = env!("CARGO_PKG_VERSION");
    const SUMMARY: &'static str = "Stands in for an upstream, for tests and trials.";
    type Settings = Settings;
    type Error = StartError;

    fn open(path: &Path) -> Result<Settings, ConfError> {
        Reader::open(path).and_then(Settings::read)
    }

    fn host(settings: &Settings) -> String {
        settings.instance.to_string()
    }

    fn telemetry(settings: &Settings) -> telemetry::Settings {
        telemetry::Settings {
            level: settings.level,
            sink: None,
            ..telemetry::Settings::default()
        }
    }

    async fn run(settings: Settings, log: Logger, mut signals: Signals) -> Result<(), StartError> {
        let service = settings.service.to_string();
        let upstream = standin::start(settings, log.clone()).await?;
        info!(log, "ready"; "address" => %upstream.address(), "service" => service);
        tokio::select! {
            () = signals.stop() => upstream.stop().await,
            // Ends like a killed process: sends no announcement and finishes no request.
            () = upstream.crashed() => std::process::exit(CRASHED),
        }
        Ok(())
    }
}

fn main() -> ExitCode {
    daemon::main::<StandInDaemon>()
}
