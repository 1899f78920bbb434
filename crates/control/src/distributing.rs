//! Distribution of the founding group.
//!
//! Every member that has the founding group sends it to the others, so that the loss of the
//! replica that founded it leaves no member without it.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use wire::control::Replica;
use wire::replica::Found;
use wire::replica::Group;
use wire::replica::Hello;

use crate::link;
use crate::partition::Partition;
use crate::replica::Identity;

/// Time limit for the reply of another replica.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between attempts.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Sends the founding group to members that do not have it yet.
pub struct Distributor {
    /// The identity of this replica.
    pub identity: Arc<Identity>,
    /// The founding group.
    pub group: Group,
    /// Simulated network partition, for tests.
    pub partition: Partition,
}

impl Distributor {
    /// Runs until every member has the group, or its address belongs to another replica.
    pub async fn run(self) {
        let others = self
            .group
            .replicas
            .iter()
            .filter(|r| r.id != self.identity.id);
        join_all(others.map(|r| self.send_group(r))).await;
    }

    async fn send_group(&self, member: &Replica) {
        let Ok(address) = member.address.parse() else {
            return;
        };
        loop {
            let link = link::replica(address);
            let request = Hello { initial: vec![] };
            if let Ok(reply) = link::hello(&link, &self.partition, request, REPLY_TIMEOUT).await {
                let same = reply.replica.is_some_and(|r| r.id == member.id);
                if !same || reply.started {
                    return;
                }
                let request = Found {
                    to: member.id,
                    group: Some(self.group.clone()),
                };
                let _ = link::found(&link, &self.partition, request, REPLY_TIMEOUT).await;
            }
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
    }
}
