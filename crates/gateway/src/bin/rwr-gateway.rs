//! Daemon of the gateway.

use std::path::Path;
use std::process::ExitCode;

use conf::ConfError;
use daemon::Daemon;
use daemon::signals::Signals;
use gateway::StartError;
use gateway::settings::Settings;
use slog::Logger;

struct GatewayDaemon;

impl Daemon for GatewayDaemon {
    const NAME: &'static str = "rwr-gateway";
    const VERSION: &'static str = env!("CARGO_PKG_VERSION");
    const SUMMARY: &'static str = "Forwards callers' requests to announced upstream instances.";
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
        let gateway = gateway::start(settings, log, metrics).await?;
        tokio::select! {
            () = signals.stop() => {}
            () = gateway.stopped() => {}
        }
        gateway.stop().await;
        Ok(())
    }
}

fn main() -> ExitCode {
    daemon::main::<GatewayDaemon>()
}
