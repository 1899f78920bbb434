//! `rwr-control`: the control replica process.

use std::path::Path;
use std::process::ExitCode;

use conf::ConfError;
use control::ControlError;
use control::Settings;
use daemon::Daemon;
use daemon::signals::Signals;
use slog::Logger;

struct ControlDaemon;

impl Daemon for ControlDaemon {
    const NAME: &'static str = "rwr-control";
    const VERSION: &'static str = env!("CARGO_PKG_VERSION");
    const SUMMARY: &'static str = "Runs a replica of the catalogue and the at-most-once ledger.";
    type Settings = Settings;
    type Error = ControlError;

    fn open(path: &Path) -> Result<Settings, ConfError> {
        Settings::open(path)
    }

    fn host(settings: &Settings) -> String {
        settings.host.to_string()
    }

    fn telemetry(settings: &Settings) -> telemetry::Settings {
        settings.telemetry
    }

    async fn run(
        settings: Settings,
        log: Logger,
        mut signals: Signals,
    ) -> Result<(), ControlError> {
        let mut replica = control::start(settings, log).await?;
        tokio::select! {
            result = replica.ended() => return result,
            () = signals.stop() => {}
        }
        replica.stop().await;
        Ok(())
    }
}

fn main() -> ExitCode {
    daemon::main::<ControlDaemon>()
}
