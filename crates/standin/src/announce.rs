//! Announces a stand-in to its directories and renews its lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;
use reqwest::Client;
use reqwest::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use slog::Logger;
use slog::info;
use slog::warn;
use strum::Display;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::settings::Settings;

/// Time between two announcements when no directory has answered.
const DEFAULT_REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two announcements.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of one announcement to one directory.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Announced phase of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// The instance doesn't accept requests yet.
    Starting,
    /// The instance accepts requests.
    Ready,
    /// The instance finishes its requests; callers should send no new ones.
    Draining,
    /// The instance has stopped; sent once.
    Gone,
}

/// Body of an announcement.
#[derive(Debug, Serialize)]
struct Announcement<'a> {
    service: &'a str,
    id: &'a str,
    address: String,
    domain: &'a str,
    slots: u32,
    connections: u32,
    phase: Phase,
    incarnation: u64,
    sequence: u64,
}

/// A directory's response to an announcement.
#[derive(Debug, Deserialize)]
struct Lease {
    refresh_ms: u64,
}

/// Sends the announcements of one stand-in.
pub struct Announcer {
    client: Client,
    settings: Settings,
    address: SocketAddr,
    incarnation: u64,
    sequence: AtomicU64,
    log: Logger,
}

impl Announcer {
    /// Creates the announcer of the instance that listens at `address`.
    ///
    /// `incarnation` must be greater than that of any earlier process of the same instance.
    #[must_use]
    pub fn new(settings: &Settings, address: SocketAddr, incarnation: u64, log: Logger) -> Self {
        Self {
            client: Client::new(),
            settings: settings.clone(),
            address,
            incarnation,
            sequence: AtomicU64::new(0),
            log,
        }
    }

    /// Announces the phase periodically, and at once when it changes, until `Gone` has been sent.
    pub async fn run(self: Arc<Self>, mut phase: watch::Receiver<Phase>) {
        loop {
            let current = *phase.borrow_and_update();
            let refresh = self.announce(current).await;
            if current == Phase::Gone {
                return;
            }
            if let Ok(Err(_)) = timeout(refresh, phase.changed()).await {
                return;
            }
        }
    }

    /// Announces `phase` to all directories. Returns the shortest refresh interval that one of
    /// them asked for.
    async fn announce(&self, phase: Phase) -> Duration {
        let requests = self.settings.directories.iter();
        let requests = requests.map(|directory| self.send(*directory, phase));
        let refresh_intervals = join_all(requests).await;
        let refresh = refresh_intervals.into_iter().flatten().min();
        refresh
            .unwrap_or(DEFAULT_REFRESH_INTERVAL)
            .max(MIN_REFRESH_INTERVAL)
    }

    async fn send(&self, directory: SocketAddr, phase: Phase) -> Option<Duration> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let announcement = Announcement {
            service: self.settings.service.as_str(),
            id: self.settings.instance.as_str(),
            address: self.address.to_string(),
            domain: self.settings.domain.as_str(),
            slots: self.settings.slots,
            connections: self.settings.connections,
            phase,
            incarnation: self.incarnation,
            sequence,
        };
        let body = serde_json::to_vec(&announcement).unwrap_or_default();
        let result = self
            .client
            .post(format!("http://{directory}/v1/announce"))
            .header("content-type", "application/json")
            .timeout(TIMEOUT)
            .body(body)
            .send()
            .await;
        let response = match result {
            Ok(response) => response,
            Err(err) => {
                warn!(self.log, "announce failed"; "directory" => %directory, "phase" => %phase, "error" => %err);
                return None;
            }
        };
        let status = response.status();
        let body = response.bytes().await.unwrap_or_default();
        if status != StatusCode::OK {
            let detail = String::from_utf8_lossy(&body).into_owned();
            warn!(self.log, "announce refused"; "directory" => %directory, "phase" => %phase, "status" => status.as_u16(), "detail" => detail);
            return None;
        }
        info!(self.log, "announced"; "directory" => %directory, "phase" => %phase, "sequence" => sequence);
        let lease: Lease = serde_json::from_slice(&body).ok()?;
        Some(Duration::from_millis(lease.refresh_ms))
    }
}
