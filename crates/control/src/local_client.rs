//! The route table, the announced upstreams and the evacuations, for whoever runs in the
//! replica's process.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use evacuation::Domains;
use evacuation::Outcome;
use registry::Registry;
use tokio::sync::watch;
use tokio::time::Instant;
use wire::control::Replica;
use wire::hub::Instance;
use wire::hub::Table;
use wire::hub::TableReply;
use wire::replica::Ask;
use wire::replica::ask;
use wire::replica::ask_reply::Kind;

use crate::control::ControlServer;
use crate::input::Driver;
use crate::input::Input;
use crate::input::View;
use crate::leader_client::LeaderClient;

/// Proposes and reads the route table, announcements and evacuations.
#[derive(Clone)]
pub struct LocalClient {
    driver: Driver,
    leader_client: LeaderClient,
    views: watch::Receiver<View>,
}

impl LocalClient {
    pub(crate) fn new(server: &ControlServer) -> Self {
        Self {
            driver: server.driver.clone(),
            leader_client: server.leader_client.clone(),
            views: server.views.clone(),
        }
    }

    /// Proposes a table; none when no majority took it in time, and it may yet be taken.
    pub async fn put(&self, table: Table) -> Option<TableReply> {
        let ask = Ask {
            kind: Some(ask::Kind::Table(table)),
        };
        match self.leader_client.ask(&ask).await {
            Ok(Kind::Table(reply)) => Some(reply),
            Ok(_) | Err(_) => None,
        }
    }

    /// Puts an announcement into the log; false when no majority took it in time.
    pub async fn register(&self, instance: Instance) -> bool {
        let ask = Ask {
            kind: Some(ask::Kind::Instance(instance)),
        };
        matches!(self.leader_client.ask(&ask).await, Ok(Kind::Instance(_)))
    }

    /// Asks that nothing be sent to the upstreams of `domain`, or takes that back; none
    /// when no majority took it in time, and it may yet be taken while no other order is.
    ///
    /// What is in force is confirmed first, within `limit`: an order made from an older
    /// state would count as overtaken.
    pub async fn evacuate(
        &self,
        domain: &DomainName,
        evacuated: bool,
        limit: Duration,
    ) -> Option<Outcome> {
        let order = self.evacuations(limit).await?.order(domain, evacuated);
        let ask = Ask {
            kind: Some(ask::Kind::Evacuation(order)),
        };
        match self.leader_client.ask(&ask).await {
            Ok(Kind::Evacuation(reply)) => Some(reply.outcome()),
            Ok(_) | Err(_) => None,
        }
    }

    /// The evacuations, confirmed by a majority after the call began; none when that
    /// takes longer than `limit`.
    pub async fn evacuations(&self, limit: Duration) -> Option<Arc<Domains>> {
        let confirmed = self.driver.confirm(Instant::now() + limit).await;
        confirmed.then(|| Arc::clone(&self.views.borrow().evacuations))
    }

    /// The announced upstreams as applied by this replica.
    #[must_use]
    pub fn registry(&self) -> Arc<Registry> {
        Arc::clone(&self.views.borrow().registry)
    }

    /// The newest table, confirmed by a majority after the call began; none when
    /// that takes longer than `limit`.
    pub async fn read(&self, limit: Duration) -> Option<Arc<Table>> {
        let confirmed = self.driver.confirm(Instant::now() + limit).await;
        confirmed.then(|| self.applied())
    }

    /// The table as applied by this replica, which others may have overtaken.
    #[must_use]
    pub fn applied(&self) -> Arc<Table> {
        Arc::clone(&self.views.borrow().table)
    }

    /// The evacuations as applied by this replica, which others may have overtaken.
    #[must_use]
    pub fn evacuated(&self) -> Arc<Domains> {
        Arc::clone(&self.views.borrow().evacuations)
    }

    /// Whether a leader was known since this replica started. Before, what is applied
    /// comes from its own disk: all of it was committed, and others may have more.
    #[must_use]
    pub fn has_seen_leader(&self) -> bool {
        self.views.borrow().led
    }

    /// Tells when more is applied.
    #[must_use]
    pub fn views(&self) -> watch::Receiver<View> {
        self.views.clone()
    }

    /// The replicas of the group, as this one knows them.
    pub async fn replicas(&self) -> Vec<Replica> {
        let status = self.driver.call(Input::Status).await;
        status.map(|status| status.replicas).unwrap_or_default()
    }
}
