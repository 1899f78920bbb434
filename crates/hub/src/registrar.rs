//! Puts announcements of instances in the replicated log, several in one entry.
//!
//! After a start or the loss of a failure domain, each hub receives hundreds of announcements within
//! a second. One request to the leader and one entry for each of them take more processor time than
//! the hubs have, and the leader's heartbeats are late. So what arrives while a proposal is under way
//! goes into the next one together. Nothing waits while there is none.

use std::sync::Arc;

use slog::info;
use slog::warn;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use wire::hub::Instance;
use wire::hub::Phase;

use crate::state::State;

/// Maximum number of announcements in one entry of the log, some 60 KB.
const MAX_BATCH: usize = 512;
/// Maximum number of announcements that wait; an instance whose announcement is refused repeats it.
const QUEUE_CAPACITY: usize = 16_384;
/// Proposals under way for instances that are ready. They repeat their announcements, so that none is
/// urgent.
const READY_PROPOSALS: usize = 1;
/// Proposals under way for instances that leave, and wait for the acknowledgement. While there is no
/// leader each takes the whole time limit of a change, which the next one shouldn't wait for.
const LEAVING_PROPOSALS: usize = 4;
/// Maximum number of instances that a log line names.
const MAX_LOGGED: usize = 16;

struct Registration {
    instance: Instance,
    reply: Option<oneshot::Sender<bool>>,
}

/// Queues announcements for the log.
#[derive(Clone)]
pub struct Registrar {
    ready: mpsc::Sender<Registration>,
    leaving: mpsc::Sender<Registration>,
}

impl Registrar {
    /// Starts the tasks that propose the announcements, which end with the registrar.
    #[must_use]
    pub fn start(state: &Arc<State>) -> Self {
        Self {
            ready: start_queue(state, READY_PROPOSALS),
            leaving: start_queue(state, LEAVING_PROPOSALS),
        }
    }

    /// Queues the announcement of an instance that is ready. If it doesn't get into the log, the
    /// instance's next announcement tries again.
    pub fn queue(&self, state: &State, instance: Instance) {
        let registration = Registration {
            instance,
            reply: None,
        };
        if let Err(err) = self.ready.try_send(registration) {
            warn!(state.log, "announcement not queued"; "error" => %err);
        }
    }

    /// Waits until the announcement is in the log. Returns false if it didn't get there in time.
    pub async fn register(&self, state: &State, instance: Instance) -> bool {
        let (reply, outcome) = oneshot::channel();
        let registration = Registration {
            instance,
            reply: Some(reply),
        };
        if let Err(err) = self.leaving.try_send(registration) {
            warn!(state.log, "announcement not queued"; "error" => %err);
            return false;
        }
        outcome.await.unwrap_or(false)
    }
}

fn start_queue(state: &Arc<State>, proposals: usize) -> mpsc::Sender<Registration> {
    let (sender, queue) = mpsc::channel(QUEUE_CAPACITY);
    tokio::spawn(run(Arc::clone(state), queue, proposals));
    sender
}

/// Proposes what is queued, with at most `proposals` proposals under way.
async fn run(state: Arc<State>, mut queue: mpsc::Receiver<Registration>, proposals: usize) {
    let permits = Arc::new(Semaphore::new(proposals));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let mut batch = Vec::new();
        if queue.recv_many(&mut batch, MAX_BATCH).await == 0 {
            return;
        }
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            propose(&state, batch).await;
            drop(permit);
        });
    }
}

async fn propose(state: &State, batch: Vec<Registration>) {
    let registry = state.tables.registry();
    let mut instances = Vec::new();
    let mut replies = Vec::new();
    for registration in batch {
        // Announced again while the first announcement was under way.
        if !registry.is_known(&registration.instance) {
            instances.push(registration.instance);
        }
        replies.extend(registration.reply);
    }
    let accepted = instances.is_empty() || register(state, instances).await;
    for reply in replies {
        // The instance's call may have ended.
        let _ = reply.send(accepted);
    }
}

async fn register(state: &State, instances: Vec<Instance>) -> bool {
    let count = instances.len();
    let is_leaving = instances.iter().any(|i| i.phase() != Phase::Ready);
    let named: Vec<String> = instances
        .iter()
        .take(MAX_LOGGED)
        .map(|instance| instance.id.clone())
        .collect();
    let accepted = state.tables.register(instances).await;
    info!(state.log, "announcement in the log"; "count" => count, "instance" => named.join(","),
        "phase" => if is_leaving { "leaving" } else { "ready" }, "outcome" => accepted);
    accepted
}
