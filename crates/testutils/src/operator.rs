//! An operator: proposes changes to the replicas and looks at the hosts.

use std::net::SocketAddr;
use std::time::Duration;

use quick_error::quick_error;
use tarpc::client::RpcError;
use tokio::time::Instant;
use tokio::time::sleep;
use uuid::Uuid;
use wire::catalogue::Change;
use wire::catalogue::ChangeReply;
use wire::catalogue::Edit;
use wire::catalogue::change_reply::Kind;
use wire::control::Status;
use wire::directory::Host;
use wire::gateway::Explain;
use wire::gateway::ExplainReply;
use wire::link::LinkError;
use wire::link::within;
use wire::peer;
use wire::peer::ControlLink;

use crate::process::PATIENCE;

/// Longest wait for one answer.
const CALL_TIME: Duration = Duration::from_secs(5);
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(20);

quick_error! {
    /// Why an operator got no success.
    #[derive(Debug)]
    pub enum OperatorError {
        /// The change was refused.
        Refused(reply: Kind) {
            display("refused: {reply:?}")
        }
        /// No replica gave a certain answer in time.
        Silent {
            display("no certain answer within {PATIENCE:?}")
        }
    }
}

/// One operator, who knows the replicas' addresses.
pub struct Operator {
    replicas: Vec<ControlLink>,
}

impl Operator {
    /// An operator who asks `replicas` in this order.
    #[must_use]
    pub fn new(replicas: &[SocketAddr]) -> Self {
        Self {
            replicas: replicas.iter().copied().map(peer::control).collect(),
        }
    }

    /// Sends `change` to the replica at `index` once; `None` without an answer.
    pub async fn propose(&self, index: usize, change: &Change) -> Option<Kind> {
        let link = self.replicas.get(index)?;
        let client = link.client().await.ok()?;
        let reply = client.propose(within(CALL_TIME), change.clone()).await;
        let reply: ChangeReply = link.check_result(reply).ok()?;
        reply.kind
    }

    /// The state of the replica at `index`; `None` without an answer.
    pub async fn status(&self, index: usize) -> Option<Status> {
        let link = self.replicas.get(index)?;
        match ask_status(link).await {
            // The connection was one to a process that has ended since: the
            // one that runs there now is asked over a new connection.
            Err(LinkError::Call(_, RpcError::Shutdown)) => ask_status(link).await.ok(),
            first => first.ok(),
        }
    }

    /// Sends `change` to one replica after the other until the answer is certain.
    ///
    /// # Errors
    ///
    /// Fails when no replica gives one within [`PATIENCE`].
    pub async fn send(&self, change: &Change) -> Result<Kind, OperatorError> {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            for index in 0..self.replicas.len() {
                match self.propose(index, change).await {
                    Some(Kind::Uncertain(_)) | None => {}
                    Some(kind) => return Ok(kind),
                }
            }
            sleep(PAUSE).await;
        }
        Err(OperatorError::Silent)
    }

    /// Applies `edits` on top of the version `base`; the new version.
    ///
    /// # Errors
    ///
    /// Fails when the change is refused, or no answer is certain.
    pub async fn apply(&self, base: u64, edits: Vec<Edit>) -> Result<u64, OperatorError> {
        match self.send(&change(base, edits)).await? {
            Kind::Accepted(accepted) => Ok(accepted.version),
            other => Err(OperatorError::Refused(other)),
        }
    }
}

/// A change with an id of its own.
#[must_use]
pub fn change(base: u64, edits: Vec<Edit>) -> Change {
    Change {
        id: Uuid::new_v4().to_string(),
        base,
        author: String::from("tests"),
        edits,
    }
}

/// The hosts as the directory at `address` knows them; `None` without an answer.
pub async fn hosts(address: SocketAddr) -> Option<Vec<Host>> {
    let link = peer::directory(address);
    let client = link.client().await.ok()?;
    let reply = link
        .check_result(client.hosts(within(CALL_TIME)).await)
        .ok()?;
    Some(reply.hosts)
}

/// Why calls of `service` go where they go at the gateway whose own protocol
/// is at `address`; `None` without an answer.
pub async fn explain(address: SocketAddr, service: &str) -> Option<ExplainReply> {
    let link = peer::gateway(address);
    let client = link.client().await.ok()?;
    let ask = Explain {
        service: service.into(),
    };
    link.check_result(client.explain(within(CALL_TIME), ask).await)
        .ok()
}

async fn ask_status(link: &ControlLink) -> Result<Status, LinkError> {
    let client = link.client().await?;
    link.check_result(client.status(within(CALL_TIME)).await)
}
