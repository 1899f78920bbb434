//! In-process client of a replica, for its route table, announced instances and
//! evacuations.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use evacuation::EvacuationState;
use evacuation::Outcome;
use quick_error::quick_error;
use registry::Registry;
use tokio::sync::watch;
use tokio::time::Instant;
use wire::control::Replica;
use wire::hub::Instance;
use wire::hub::Instances;
use wire::hub::Table;
use wire::hub::TableReply;
use wire::replica::Ask;
use wire::replica::ask;
use wire::replica::ask_reply::Kind;

use crate::control::ControlServer;
use crate::currency::Currency;
use crate::input::DriverHandle;
use crate::input::Input;
use crate::input::View;
use crate::leader_client::LeaderClient;

quick_error! {
    /// Why the state could not be confirmed.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ReadError {
        /// No majority answered within the timeout.
        NoMajority {
            display("no majority of the replicas answered in time")
        }
    }
}

/// Proposes and reads the route table, instance announcements and evacuations.
#[derive(Clone)]
pub struct LocalClient {
    driver: DriverHandle,
    leader_client: LeaderClient,
    views: watch::Receiver<View>,
    currency: watch::Receiver<Currency>,
}

impl LocalClient {
    pub(crate) fn new(server: &ControlServer, currency: watch::Receiver<Currency>) -> Self {
        Self {
            driver: server.driver.clone(),
            leader_client: server.leader_client.clone(),
            views: server.views.clone(),
            currency,
        }
    }

    /// Proposes a route table. Returns `None` when no majority accepted it in time; it may
    /// still be accepted later.
    pub async fn put(&self, table: Table) -> Option<TableReply> {
        let request = Ask {
            kind: Some(ask::Kind::Table(table)),
        };
        match self.leader_client.request(&request).await {
            Ok(Kind::Table(reply)) => Some(reply),
            Ok(_) | Err(_) => None,
        }
    }

    /// Proposes announcements of instances, which are applied together and in their order. Returns
    /// false when no majority accepted them in time.
    pub async fn register(&self, instances: Vec<Instance>) -> bool {
        let request = Ask {
            kind: Some(ask::Kind::Instances(Instances { rows: instances })),
        };
        matches!(
            self.leader_client.request(&request).await,
            Ok(Kind::Instance(_))
        )
    }

    /// Starts the evacuation of `domain`, or ends it. Returns `None` when no majority
    /// accepted the order in time; it may still be accepted until another order is.
    ///
    /// Confirms the current evacuations first, within `limit`, as an order based on an older
    /// revision is rejected.
    pub async fn evacuate(
        &self,
        domain: &DomainName,
        evacuated: bool,
        limit: Duration,
    ) -> Option<Outcome> {
        let order = self.evacuations(limit).await?.order(domain, evacuated);
        let request = Ask {
            kind: Some(ask::Kind::Evacuation(order)),
        };
        match self.leader_client.request(&request).await {
            Ok(Kind::Evacuation(reply)) => Some(reply.outcome()),
            Ok(_) | Err(_) => None,
        }
    }

    /// The current evacuations, confirmed by a majority after the call began. Returns `None`
    /// when the confirmation takes longer than `limit`.
    pub async fn evacuations(&self, limit: Duration) -> Option<Arc<EvacuationState>> {
        let confirmed = self.driver.confirm(Instant::now() + limit).await;
        confirmed.then(|| Arc::clone(&self.views.borrow().evacuations))
    }

    /// The announced upstream instances as applied by this replica.
    #[must_use]
    pub fn registry(&self) -> Arc<Registry> {
        Arc::clone(&self.views.borrow().registry)
    }

    /// The current route table, confirmed by a majority after the call began; `None` if none was
    /// accepted yet.
    ///
    /// # Errors
    ///
    /// Fails when the confirmation takes longer than `limit`.
    pub async fn read(&self, limit: Duration) -> Result<Option<Arc<Table>>, ReadError> {
        if self.driver.confirm(Instant::now() + limit).await {
            Ok(self.applied_table())
        } else {
            Err(ReadError::NoMajority)
        }
    }

    /// The route table as applied by this replica, which may be behind others; `None` if it has
    /// applied none.
    #[must_use]
    pub fn applied_table(&self) -> Option<Arc<Table>> {
        self.views.borrow().table.clone()
    }

    /// The evacuations as applied by this replica, which may be behind others.
    #[must_use]
    pub fn evacuated(&self) -> Arc<EvacuationState> {
        Arc::clone(&self.views.borrow().evacuations)
    }

    /// Receives what the members' logs say of the applied state while no leader is known.
    #[must_use]
    pub fn currency(&self) -> watch::Receiver<Currency> {
        self.currency.clone()
    }

    /// Id of the leader that this replica knows.
    #[must_use]
    pub fn leader(&self) -> Option<u64> {
        self.views.borrow().leader
    }

    /// Receives the applied state whenever it changes.
    #[must_use]
    pub fn views(&self) -> watch::Receiver<View> {
        self.views.clone()
    }

    /// The replicas of the group as known to this replica; empty when the driver does not
    /// answer.
    pub async fn replicas(&self) -> Vec<Replica> {
        let status = self.driver.call(Input::Status).await;
        status.map(|status| status.replicas).unwrap_or_default()
    }
}
