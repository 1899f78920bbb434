//! An operator's client, which proposes catalogue changes and queries the hosts.

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

use crate::process::WAIT_TIMEOUT;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

quick_error! {
    /// Why an operator's change was not applied.
    #[derive(Debug)]
    pub enum OperatorError {
        /// The change was refused.
        Refused(reply: Kind) {
            display("refused: {reply:?}")
        }
        /// No replica confirmed the outcome within [`WAIT_TIMEOUT`].
        NoAnswer {
            display("no replica confirmed the outcome of the change within {WAIT_TIMEOUT:?}")
        }
    }
}

/// An operator's connections to the control replicas.
pub struct Operator {
    replicas: Vec<ControlLink>,
}

impl Operator {
    /// Creates an operator who tries `replicas` in this order.
    #[must_use]
    pub fn new(replicas: &[SocketAddr]) -> Self {
        Self {
            replicas: replicas.iter().copied().map(peer::control).collect(),
        }
    }

    /// Sends `change` once to the replica at `index`; `None` if the replica does not answer.
    pub async fn propose(&self, index: usize, change: &Change) -> Option<Kind> {
        let link = self.replicas.get(index)?;
        let client = link.client().await.ok()?;
        let reply = client.propose(within(CALL_TIMEOUT), change.clone()).await;
        let reply: ChangeReply = link.check_result(reply).ok()?;
        reply.kind
    }

    /// Status of the replica at `index`; `None` if the replica does not answer.
    pub async fn status(&self, index: usize) -> Option<Status> {
        let link = self.replicas.get(index)?;
        match fetch_status(link).await {
            // The connection belonged to a process that has since exited; the link
            // reconnects to the process that runs there now.
            Err(LinkError::Call(_, RpcError::Shutdown)) => fetch_status(link).await.ok(),
            first => first.ok(),
        }
    }

    /// Sends `change` to each replica in turn until one confirms its outcome.
    ///
    /// # Errors
    ///
    /// Fails if none does within [`WAIT_TIMEOUT`].
    pub async fn send(&self, change: &Change) -> Result<Kind, OperatorError> {
        let end = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < end {
            for index in 0..self.replicas.len() {
                match self.propose(index, change).await {
                    Some(Kind::Uncertain(_)) | None => {}
                    Some(kind) => return Ok(kind),
                }
            }
            sleep(RETRY_INTERVAL).await;
        }
        Err(OperatorError::NoAnswer)
    }

    /// Applies `edits` to the version `base` and returns the new version.
    ///
    /// # Errors
    ///
    /// Fails if the change is refused, or no replica confirms its outcome.
    pub async fn apply(&self, base: u64, edits: Vec<Edit>) -> Result<u64, OperatorError> {
        match self.send(&change(base, edits)).await? {
            Kind::Accepted(accepted) => Ok(accepted.version),
            other => Err(OperatorError::Refused(other)),
        }
    }
}

/// A change with a new id.
#[must_use]
pub fn change(base: u64, edits: Vec<Edit>) -> Change {
    Change {
        id: Uuid::new_v4().to_string(),
        base,
        author: String::from("tests"),
        edits,
    }
}

/// Hosts known to the directory at `address`; `None` if the directory does not answer.
pub async fn hosts(address: SocketAddr) -> Option<Vec<Host>> {
    let link = peer::directory(address);
    let client = link.client().await.ok()?;
    let reply = link
        .check_result(client.hosts(within(CALL_TIMEOUT)).await)
        .ok()?;
    Some(reply.hosts)
}

/// Explains how a gateway routes calls of `service`; `address` is that of the gateway's
/// own protocol. `None` if the gateway does not answer.
pub async fn explain(address: SocketAddr, service: &str) -> Option<ExplainReply> {
    let link = peer::gateway(address);
    let client = link.client().await.ok()?;
    let request = Explain {
        service: service.into(),
    };
    link.check_result(client.explain(within(CALL_TIMEOUT), request).await)
        .ok()
}

async fn fetch_status(link: &ControlLink) -> Result<Status, LinkError> {
    let client = link.client().await?;
    link.check_result(client.status(within(CALL_TIMEOUT)).await)
}
