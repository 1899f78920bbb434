//! `rwr-entry` forwards callers' requests to upstreams according to the route table.

use std::path::Path;
use std::process::ExitCode;

use conf::ConfError;
use daemon::Daemon;
use daemon::signals::SignalAction;
use daemon::signals::Signals;
use entry::Dialect;
use entry::Entry;
use entry::EntryError;
use entry::Settings;
use slog::Logger;

struct EntryDaemon;

impl Daemon for EntryDaemon {
    const NAME: &'static str = "rwr-entry";
    const VERSION: &'static str = env!("CARGO_PKG_VERSION");
    const SUMMARY: &'static str =
        "Forwards callers' requests to upstreams according to the route table.";
    type Settings = Settings;
    type Error = EntryError;

    fn open(path: &Path) -> Result<Settings, ConfError> {
        Settings::open(path)
    }

    fn host(settings: &Settings) -> String {
        settings.host.to_string()
    }

    fn telemetry(settings: &Settings) -> telemetry::Settings {
        settings.telemetry
    }

    async fn run(settings: Settings, log: Logger, mut signals: Signals) -> Result<(), EntryError> {
        let entry = Entry::start(settings, Dialect::default(), log).await?;
        while signals.next().await == SignalAction::Reload {
            entry.reload(Settings::open(signals.path()));
        }
        entry.shut_down().await;
        Ok(())
    }
}

fn main() -> ExitCode {
    daemon::main::<EntryDaemon>()
}
