//! Inputs of the driver task, and the handle that sends them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use consensus::Config;
use consensus::Index;
use consensus::Message;
use consensus::ReplicaId;
use evacuation::EvacuationState;
use quick_error::quick_error;
use registry::Registry;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use wire::catalogue::Catalogue;
use wire::catalogue::History;
use wire::control::HistoryQuery;
use wire::control::Status;
use wire::hub::Table;
use wire::replica::Ask;
use wire::replica::AskReply;
use wire::replica::Group;

/// Maximum number of inputs queued for the driver.
pub const QUEUE_CAPACITY: usize = 16_384;

/// Delay before a quorum is asked again; well below the time within which it has to answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// The state applied by this replica, for readers.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The catalogue in its wire form, shared by all replies.
    pub catalogue: Arc<Catalogue>,
    /// The route table, once one is applied.
    pub table: Option<Arc<Table>>,
    /// The announced upstream instances.
    pub registry: Arc<Registry>,
    /// The evacuated failure domains.
    pub evacuations: Arc<EvacuationState>,
    /// Log index up to which `registry` is applied.
    pub announced: u64,
    /// Number of snapshots installed; each one restarts the numbering of registry changes.
    pub snapshots: u64,
    /// Id of the known leader; watchers of the view are told when there is one again.
    pub leader: Option<u64>,
}

/// What a replica's log holds, and how much of it is applied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogState {
    /// The newest configuration.
    pub config: Config,
    /// No entry after this index changes what is in force.
    pub binding: Index,
    /// The index of the last applied entry.
    pub applied: Index,
    /// Whether a leader is known.
    pub has_leader: bool,
}

quick_error! {
    /// Why the driver did not answer.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum CallError {
        /// Its queue is full; the input was not processed.
        Busy {
            display("the input queue of the replica is full")
        }
        /// It has stopped.
        Stopped {
            display("the replica has stopped")
        }
    }
}

/// An input of the driver.
#[derive(Debug)]
pub enum Input {
    /// Consensus messages from a replica, with its address.
    Messages(ReplicaId, SocketAddr, Vec<Message>),
    /// Process a request as the leader.
    Ask(Ask, oneshot::Sender<AskReply>),
    /// Confirm through a quorum that the applied state is current.
    Read(oneshot::Sender<bool>),
    /// Report the status of the replica.
    Status(oneshot::Sender<Status>),
    /// Report what the log holds.
    LogReport(oneshot::Sender<LogState>),
    /// List accepted changes.
    History(HistoryQuery, oneshot::Sender<History>),
    /// Store these initial replicas and wait for the founding group, unless the replica has a log.
    AwaitFounding(Vec<String>, oneshot::Sender<bool>),
    /// Accept the founding group.
    Found(Config, oneshot::Sender<bool>),
    /// Report the founding group, if the replica has it and no later snapshot.
    FoundingGroup(oneshot::Sender<Option<Group>>),
    /// Stop waiting for a founding group, as one exists without this replica, and accept
    /// messages from the leader that adds it.
    Join,
    /// Transfer leadership to another replica.
    Transfer,
}

/// Sends inputs to the driver.
#[derive(Clone, Debug)]
pub struct DriverHandle {
    inbox: mpsc::Sender<Input>,
}

impl DriverHandle {
    /// Creates a handle and the queue that the driver reads.
    #[must_use]
    pub fn new() -> (Self, mpsc::Receiver<Input>) {
        let (inbox, inputs) = mpsc::channel(QUEUE_CAPACITY);
        (Self { inbox }, inputs)
    }

    /// Forwards messages, or drops them when the queue is full.
    pub fn forward(&self, from: ReplicaId, address: SocketAddr, messages: Vec<Message>) {
        self.notify(Input::Messages(from, address, messages));
    }

    /// Sends an input without waiting for a reply; dropped when the queue is full.
    pub fn notify(&self, input: Input) {
        let _ = self.inbox.try_send(input);
    }

    /// Sends an input and waits for the reply.
    ///
    /// # Errors
    ///
    /// Fails when the queue is full or the driver has stopped.
    pub async fn call<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<T>) -> Input,
    ) -> Result<T, CallError> {
        let (reply, answer) = oneshot::channel();
        self.inbox.try_send(input(reply)).map_err(|err| match err {
            mpsc::error::TrySendError::Full(_) => CallError::Busy,
            mpsc::error::TrySendError::Closed(_) => CallError::Stopped,
        })?;
        answer.await.map_err(|_| CallError::Stopped)
    }

    /// Waits until a quorum has confirmed, after the call, that the applied state is
    /// current. Returns false when `deadline` passes first.
    pub async fn confirm(&self, deadline: Instant) -> bool {
        let attempts = async {
            while self.call(Input::Read).await != Ok(true) {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        };
        tokio::time::timeout_at(deadline, attempts).await.is_ok()
    }
}
