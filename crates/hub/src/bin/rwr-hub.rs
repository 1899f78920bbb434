//! The `rwr-hub` daemon, which stores the route table and the announced upstreams.

use std::path::Path;
use std::process::ExitCode;

use conf::ConfError;
use daemon::Daemon;
use daemon::signals::SignalAction;
use daemon::signals::Signals;
use hub::Hub;
use hub::HubError;
use hub::Settings;
use slog::Logger;

struct HubDaemon;

impl Daemon for HubDaemon {
    const NAME: &'static str = "rwr-hub";
    const VERSION: &'static str = env!("CARGO_PKG_VERSION");
    const SUMMARY: &'static str =
        "Runs a hub, which stores the route table and the announced upstreams.";
    type Settings = Settings;
    type Error = HubError;

    fn open(path: &Path) -> Result<Settings, ConfError> {
        Settings::open(path)
    }

    fn host(settings: &Settings) -> String {
        settings.host.to_string()
    }

    fn telemetry(settings: &Settings) -> telemetry::Settings {
        settings.telemetry
    }

    async fn run(settings: Settings, log: Logger, mut signals: Signals) -> Result<(), HubError> {
        let mut hub = Hub::start(settings, log).await?;
        let commands = hub.commands().clone();
        let reloading = async {
            while signals.next().await == SignalAction::Reload {
                commands.reload(Settings::open(signals.path()));
            }
        };
        tokio::select! {
            result = hub.ended() => return result,
            () = reloading => {}
        }
        hub.stop().await;
        Ok(())
    }
}

fn main() -> ExitCode {
    daemon::main::<HubDaemon>()
}
