//! What the driver is asked, and the handle to ask it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use consensus::Config;
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

/// Inputs that wait for the driver.
pub const QUEUE: usize = 16_384;

/// Pause before a quorum is asked again; well below the time that an answer may take.
const PAUSE: Duration = Duration::from_millis(25);

/// What this replica has applied, for readers.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// It in its wire form, shared by all answers.
    pub catalogue: Arc<Catalogue>,
    /// The route table; version 0 before the first.
    pub table: Arc<Table>,
    /// The announced upstreams.
    pub registry: Arc<Registry>,
    /// The failure domains to which nothing is sent.
    pub evacuations: Arc<EvacuationState>,
    /// The log's index up to which the announcements are applied.
    pub announced: u64,
    /// Snapshots that were installed: each numbers the changes of the registry anew.
    pub snapshots: u64,
    /// A leader was known since the replica started.
    pub led: bool,
}

quick_error! {
    /// Why the driver gave no answer.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum InputError {
        /// Its queue is full; nothing was done.
        Busy {
            display("the replica is busy")
        }
        /// It has stopped.
        Stopped {
            display("the replica has stopped")
        }
    }
}

/// One question or event.
#[derive(Debug)]
pub enum Input {
    /// Messages of one replica, and where it is reached.
    Messages(ReplicaId, SocketAddr, Vec<Message>),
    /// Do a request as the leader.
    Ask(Ask, oneshot::Sender<AskReply>),
    /// Confirm through a quorum that what is applied is current.
    Read(oneshot::Sender<bool>),
    /// Say how it stands.
    Status(oneshot::Sender<Status>),
    /// List accepted changes.
    History(HistoryQuery, oneshot::Sender<History>),
    /// Take the founding group.
    Found(Config, oneshot::Sender<bool>),
    /// There is a group without this replica: take messages of whoever adds it.
    Join,
    /// Hand leadership over.
    Transfer,
}

/// Asks the driver.
#[derive(Clone, Debug)]
pub struct Driver {
    inbox: mpsc::Sender<Input>,
}

impl Driver {
    /// A handle, and the queue for the driver.
    #[must_use]
    pub fn new() -> (Self, mpsc::Receiver<Input>) {
        let (inbox, queue) = mpsc::channel(QUEUE);
        (Self { inbox }, queue)
    }

    /// Passes messages on, or drops them when the driver is busy.
    pub fn messages(&self, from: ReplicaId, address: SocketAddr, messages: Vec<Message>) {
        self.tell(Input::Messages(from, address, messages));
    }

    /// Tells the driver something that has no answer.
    pub fn tell(&self, input: Input) {
        let _ = self.inbox.try_send(input);
    }

    /// Asks and waits for the answer.
    ///
    /// # Errors
    ///
    /// Fails when the driver is busy or has stopped.
    pub async fn call<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<T>) -> Input,
    ) -> Result<T, InputError> {
        let (reply, answer) = oneshot::channel();
        self.inbox.try_send(input(reply)).map_err(|err| match err {
            mpsc::error::TrySendError::Full(_) => InputError::Busy,
            mpsc::error::TrySendError::Closed(_) => InputError::Stopped,
        })?;
        answer.await.map_err(|_| InputError::Stopped)
    }

    /// Waits until a quorum has confirmed, after the call, that what is applied here
    /// is current; false once `end` has come.
    pub async fn confirm(&self, end: Instant) -> bool {
        let tries = async {
            while self.call(Input::Read).await != Ok(true) {
                tokio::time::sleep(PAUSE).await;
            }
        };
        tokio::time::timeout_at(end, tries).await.is_ok()
    }
}
