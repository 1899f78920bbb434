//! The daemon `rwr-directory`.

use std::path::Path;
use std::process::ExitCode;

use conf::ConfError;
use daemon::Daemon;
use daemon::signals::Signals;
use directory::Settings;
use directory::StartError;
use slog::Logger;

struct DirectoryDaemon;

impl Daemon for DirectoryDaemon {
    const NAME: &'static str = "rwr-directory";
    const VERSION: &'static str = env!("CARGO_PKG_VERSION");
    const SUMMARY: &'static str =
        "Takes upstreams' announcements and tells callers which entry hosts to use.";
    type Settings = Settings;
    type Error = StartError;

    fn open(path: &Path) -> Result<Settings, ConfError> {
        Settings::open(path)
    }

    fn host(settings: &Settings) -> String {
        settings.host.to_string()
    }

    fn telemetry(settings: &Settings) -> telemetry::Settings {
        settings.telemetry
    }

    async fn run(settings: Settings, log: Logger, mut signals: Signals) -> Result<(), StartError> {
        let sink = settings.telemetry.sink;
        let metrics = telemetry::metrics::start(sink, settings.host.as_str())?;
        let directory = directory::start(settings, log, metrics).await?;
        signals.stop().await;
        directory.stop().await;
        Ok(())
    }
}

fn main() -> ExitCode {
    daemon::main::<DirectoryDaemon>()
}
