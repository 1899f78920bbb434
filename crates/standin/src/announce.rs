//! Announces a stand-in to its directories and keeps its lease.

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

/// Time between two announcements before a directory has said better.
const REFRESH: Duration = Duration::from_millis(500);
/// Least time between two announcements, whatever a directory says.
const LEAST_REFRESH: Duration = Duration::from_millis(50);
/// Longest wait for one directory's answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// What an instance says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// It takes no work yet.
    Starting,
    /// It takes work.
    Ready,
    /// It finishes its work and takes no new.
    Draining,
    /// It leaves; sent once.
    Gone,
}

/// The body of an announcement.
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

/// A directory's answer.
#[derive(Debug, Deserialize)]
struct Lease {
    refresh_ms: u64,
}

/// Announces one stand-in.
pub struct Announcer {
    client: Client,
    settings: Settings,
    address: SocketAddr,
    incarnation: u64,
    sequence: AtomicU64,
    log: Logger,
}

impl Announcer {
    /// An announcer of the instance that listens at `address`.
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

    /// Announces the phase again and again, and at once when it changes, until `Gone` was sent.
    pub async fn keep(self: Arc<Self>, mut phase: watch::Receiver<Phase>) {
        loop {
            let now = *phase.borrow_and_update();
            let refresh = self.announce(now).await;
            if now == Phase::Gone {
                return;
            }
            if let Ok(Err(_)) = timeout(refresh, phase.changed()).await {
                return;
            }
        }
    }

    /// Announces `phase` to all directories; the shortest time that one asks to be refreshed in.
    async fn announce(&self, phase: Phase) -> Duration {
        let sends = self.settings.directories.iter();
        let sends = sends.map(|directory| self.send(*directory, phase));
        let answers = join_all(sends).await;
        let refresh = answers.into_iter().flatten().min();
        refresh.unwrap_or(REFRESH).max(LEAST_REFRESH)
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
        let sent = self
            .client
            .post(format!("http://{directory}/v1/announce"))
            .header("content-type", "application/json")
            .timeout(TIMEOUT)
            .body(body)
            .send()
            .await;
        let answer = match sent {
            Ok(answer) => answer,
            Err(err) => {
                warn!(self.log, "announce failed"; "directory" => %directory, "phase" => %phase, "error" => %err);
                return None;
            }
        };
        let status = answer.status();
        let text = answer.bytes().await.unwrap_or_default();
        if status != StatusCode::OK {
            let detail = String::from_utf8_lossy(&text).into_owned();
            warn!(self.log, "announce refused"; "directory" => %directory, "phase" => %phase, "status" => status.as_u16(), "detail" => detail);
            return None;
        }
        info!(self.log, "announced"; "directory" => %directory, "phase" => %phase, "sequence" => sequence);
        let lease: Lease = serde_json::from_slice(&text).ok()?;
        Some(Duration::from_millis(lease.refresh_ms))
    }
}
