//! Brings a request to the leader, wherever that is, and tries again until it is answered.

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

use crate::input::Driver;
use crate::input::Input;
use crate::link;
use crate::link::ReplicaLink;
use crate::partition::Partition;
use crate::settings::Timing;

/// Pause before a request is tried again.
const PAUSE: Duration = Duration::from_millis(25);
/// Links kept; they are few, as a group has few leaders.
const MAX_LINKS: usize = 32;

quick_error! {
    /// Why a request has no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AskError {
        /// Time ran out; it may be done all the same.
        Timeout {
            display("no leader answered in time")
        }
    }
}

/// Asks the leader. Every request may be repeated: the state machines give a
/// repeated one its first answer.
#[derive(Clone)]
pub struct LeaderClient {
    driver: Driver,
    partition: Partition,
    timing: Timing,
    links: Arc<Mutex<HashMap<SocketAddr, Arc<ReplicaLink>>>>,
}

impl LeaderClient {
    /// Asks by way of this replica's own driver first.
    #[must_use]
    pub fn new(driver: Driver, partition: Partition, timing: Timing) -> Self {
        Self {
            driver,
            partition,
            timing,
            links: Arc::default(),
        }
    }

    /// The leader's answer.
    ///
    /// # Errors
    ///
    /// Fails when none came in time.
    pub async fn ask(&self, ask: &Ask) -> Result<Kind, AskError> {
        let end = Instant::now() + self.timing.ask;
        let tries = self.try_often(ask, end);
        tokio::time::timeout_at(end, tries)
            .await
            .map_err(|_| AskError::Timeout)
    }

    async fn try_often(&self, ask: &Ask, end: Instant) -> Kind {
        let mut leader = None;
        loop {
            let kind = match leader {
                None => self.ask_own(ask).await,
                Some(address) => self.ask_other(ask, address, end).await,
            };
            match kind {
                Some(Kind::Declined(declined)) => {
                    let own = leader.is_none();
                    leader = address(&declined).filter(|_| own);
                    if leader.is_none() {
                        tokio::time::sleep(PAUSE).await;
                    }
                }
                Some(kind) => return kind,
                None => {
                    leader = None;
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    async fn ask_own(&self, ask: &Ask) -> Option<Kind> {
        let ask = ask.clone();
        let reply = self.driver.call(|r| Input::Ask(ask, r)).await;
        reply.ok().and_then(|reply| reply.kind)
    }

    /// One try is short, as a leader that doesn't answer may be cut off.
    async fn ask_other(&self, ask: &Ask, address: SocketAddr, end: Instant) -> Option<Kind> {
        let left = end.saturating_duration_since(Instant::now());
        let span = left.min(self.timing.election * 2);
        let link = self.link(address);
        let reply: Result<AskReply, _> = link::ask(&link, &self.partition, ask.clone(), span).await;
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
