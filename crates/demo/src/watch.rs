//! Watches which configuration is in force on each entry host.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use testutils::operator::hosts;
use tokio::sync::watch;
use tokio::time::sleep;

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(50);

/// What was seen of the configurations.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// The version last seen in force at each host, by the directory asked.
    pub last: BTreeMap<(SocketAddr, String), u64>,
    /// Looks that saw a host with an older version than before.
    pub reverts: Vec<Revert>,
    /// Looks that got an answer.
    pub looks: usize,
}

/// A host that was seen with an older version than before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revert {
    /// The host.
    pub host: String,
    /// The version before.
    pub before: u64,
    /// The older one seen after.
    pub after: u64,
}

impl Seen {
    /// Notes one look.
    pub fn note(&mut self, directory: SocketAddr, host: &str, version: u64) {
        let key = (directory, host.to_owned());
        let before = self.last.insert(key, version).unwrap_or(0);
        if version < before {
            self.reverts.push(Revert {
                host: host.to_owned(),
                before,
                after: version,
            });
        }
    }
}

/// Asks all `directories` again and again until `stop` is true.
pub async fn run(directories: Vec<SocketAddr>, stop: watch::Receiver<bool>) -> Seen {
    let mut seen = Seen::default();
    while !*stop.borrow() {
        for directory in &directories {
            let Some(found) = hosts(*directory).await else {
                continue;
            };
            seen.looks += 1;
            for host in found {
                seen.note(*directory, &host.host, host.version);
            }
        }
        sleep(PAUSE).await;
    }
    seen
}
