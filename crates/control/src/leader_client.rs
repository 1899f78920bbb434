//! Sends requests to the leader of the group, with retries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use quick_error::quick_error;
use tokio::time::Instant;
use wire::replica::Ask;
use wire::replica::AskReply;
use wire::replica::Declined;
use wire::replica::ask_reply::Kind;

use crate::input::DriverHandle;
use crate::input::Input;
use crate::link;
use crate::link::ReplicaLink;
use crate::partition::Partition;
use crate::settings::Timing;

/// Delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(25);
/// Maximum number of cached links; all are dropped when it is reached.
const MAX_LINKS: usize = 32;

quick_error! {
    /// Why a request failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum LeaderError {
        /// The timeout has passed; the request may still take effect.
        Timeout {
            display("no leader answered in time")
        }
    }
}

/// Client of the group's leader. Requests are safe to repeat, as the state machine
/// answers a repeated request as it answered the first one.
#[derive(Clone)]
pub struct LeaderClient {
    driver: DriverHandle,
    partition: Partition,
    timing: Timing,
    links: Arc<Mutex<HashMap<SocketAddr, Arc<ReplicaLink>>>>,
}

impl LeaderClient {
    /// Creates a client that tries this replica's own driver first.
    #[must_use]
    pub fn new(driver: DriverHandle, partition: Partition, timing: Timing) -> Self {
        Self {
            driver,
            partition,
            timing,
            links: Arc::default(),
        }
    }

    /// Sends a request and returns the leader's answer.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer within the `ask` timeout.
    pub async fn request(&self, request: &Ask) -> Result<Kind, LeaderError> {
        let deadline = Instant::now() + self.timing.ask;
        let attempts = self.retry_until_answered(request, deadline);
        tokio::time::timeout_at(deadline, attempts)
            .await
            .map_err(|_| LeaderError::Timeout)
    }

    async fn retry_until_answered(&self, request: &Ask, deadline: Instant) -> Kind {
        let mut leader = None;
        loop {
            let kind = match leader {
                None => self.ask_local(request).await,
                Some(address) => self.ask_remote(request, address, deadline).await,
            };
            match kind {
                Some(Kind::Declined(declined)) => {
                    let asked_locally = leader.is_none();
                    leader = address(&declined).filter(|_| asked_locally);
                    if leader.is_none() {
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                }
                Some(kind) => return kind,
                None => {
                    leader = None;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn ask_local(&self, request: &Ask) -> Option<Kind> {
        let request = request.clone();
        let reply = self.driver.call(|r| Input::Ask(request, r)).await;
        reply.ok().and_then(|reply| reply.kind)
    }

    /// Limits each attempt to two election timeouts, as a leader that does not answer may
    /// be partitioned.
    async fn ask_remote(
        &self,
        request: &Ask,
        address: SocketAddr,
        deadline: Instant,
    ) -> Option<Kind> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let timeout = remaining.min(self.timing.election * 2);
        let link = self.link(address);
        let reply: Result<AskReply, _> =
            link::ask(&link, &self.partition, request.clone(), timeout).await;
        reply.ok().and_then(|reply| reply.kind)
    }

    fn link(&self, address: SocketAddr) -> Arc<ReplicaLink> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        if links.len() >= MAX_LINKS && !links.contains_key(&address) {
            links.clear();
        }
        let link = links
            .entry(address)
            .or_insert_with(|| Arc::new(link::replica(address)));
        Arc::clone(link)
    }
}

fn address(declined: &Declined) -> Option<SocketAddr> {
    declined.address.parse().ok()
}
