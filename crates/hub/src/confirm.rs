//! The newest route table that a majority has confirmed, for entry processes that refuse requests
//! without it.

use std::time::Duration;

use base::prelude::*;
use control::LocalClient;
use tokio::sync::Mutex;

/// How long a result serves all watchers.
const INTERVAL: Duration = Duration::from_millis(250);
/// How long a majority may take. A reply to a watch waits for it, and may carry urgent news.
const TIMEOUT: Duration = Duration::from_millis(100);

/// A version, and a time at which it was the newest.
#[derive(Clone, Copy, Debug)]
pub struct Confirmed {
    /// The version.
    pub version: u64,
    /// When the majority was asked.
    pub at: Moment,
}

#[derive(Debug, Default)]
struct Attempts {
    last_at: Option<Moment>,
    confirmed: Option<Confirmed>,
}

/// Asks the majority on behalf of all watchers, at most once per [`INTERVAL`].
#[derive(Debug, Default)]
pub struct Confirmations(Mutex<Attempts>);

impl Confirmations {
    /// The last confirmed table, if there is one; asks the majority if the last attempt is too
    /// long ago.
    pub async fn newest(&self, tables: &LocalClient, clock: &Clock) -> Option<Confirmed> {
        let mut attempts = self.0.lock().await;
        let now = clock.now();
        if attempts.last_at.is_none_or(|at| now.since(at) >= INTERVAL) {
            attempts.last_at = Some(now);
            if let Ok(Some(table)) = tables.read(TIMEOUT).await {
                attempts.confirmed = Some(Confirmed {
                    version: table.version,
                    at: now,
                });
            }
        }
        attempts.confirmed
    }
}
