//! Polls which catalogue version is in force on each entry host.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use testutils::operator::hosts;
use tokio::sync::watch;
use tokio::time::sleep;

/// Interval between two polls of the directories.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Catalogue versions observed in force.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Version last observed at each host, by the directory that reported it.
    pub latest: BTreeMap<(SocketAddr, String), u64>,
    /// Observations of a host with an older version than before.
    pub reverts: Vec<Revert>,
    /// Number of polls that a directory answered.
    pub observations: usize,
}

/// A host that was observed with an older version than before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revert {
    /// Name of the host.
    pub host: String,
    /// Version observed before.
    pub before: u64,
    /// Older version observed after that.
    pub after: u64,
}

impl VersionHistory {
    /// Records the version that `directory` reports for `host`.
    pub fn record(&mut self, directory: SocketAddr, host: &str, version: u64) {
        let key = (directory, host.to_owned());
        let before = self.latest.insert(key, version).unwrap_or(0);
        if version < before {
            self.reverts.push(Revert {
                host: host.to_owned(),
                before,
                after: version,
            });
        }
    }
}

/// Polls all `directories` until `stop` is true.
pub async fn run(directories: Vec<SocketAddr>, stop: watch::Receiver<bool>) -> VersionHistory {
    let mut history = VersionHistory::default();
    while !*stop.borrow() {
        for directory in &directories {
            let Some(hosts) = hosts(*directory).await else {
                continue;
            };
            history.observations += 1;
            for host in hosts {
                history.record(*directory, &host.host, host.version);
            }
        }
        sleep(POLL_INTERVAL).await;
    }
    history
}
