//! Record of the requests that were run.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// The run holds a slot.
    Running,
    /// The work is finished, and the response can be sent.
    Done,
    /// The run ended with an error and may have had an effect.
    Failed,
    /// The connection closed, and the work was dropped.
    Cancelled,
    /// The deadline passed, and the work was dropped.
    Expired,
}

/// One run: work on a request that was started.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    /// Number from 1, in starting order.
    pub number: u64,
    /// Idempotency key of the request, empty if it had none.
    pub key: String,
    /// Name of the caller, empty if it was not sent.
    pub caller: String,
    /// Name of the caller's workspace, empty if it was not sent.
    #[serde(default)]
    pub workspace: String,
    /// Value of the `authorization` header, empty if it was not sent.
    #[serde(default)]
    pub authorization: String,
    /// Path of the request.
    pub path: String,
    /// Id that the system gave the request.
    pub request: String,
    /// Attempt number as it was sent.
    pub attempt: String,
    /// Milliseconds since the first announcement of `draining`, if there was one.
    pub drained_ms: Option<u64>,
    /// State of the run.
    pub state: RunState,
}

/// Properties of a request that are known when its run starts.
#[derive(Clone, Debug, Default)]
pub struct Origin {
    /// Idempotency key, empty if the request had none.
    pub key: String,
    /// Name of the caller, empty if it was not sent.
    pub caller: String,
    /// Name of the caller's workspace, empty if it was not sent.
    pub workspace: String,
    /// Value of the `authorization` header, empty if it was not sent.
    pub authorization: String,
    /// Path of the request.
    pub path: String,
    /// Id that the system gave the request.
    pub request: String,
    /// Attempt number as it was sent.
    pub attempt: String,
    /// Milliseconds since the drain started, if it did.
    pub drained_ms: Option<u64>,
}

/// All runs of a stand-in since its start. Clones share one record.
#[derive(Clone)]
pub struct Runs {
    list: Arc<Mutex<Vec<Run>>>,
    changes: watch::Sender<u64>,
}

impl Default for Runs {
    fn default() -> Self {
        Self {
            list: Arc::default(),
            changes: watch::Sender::new(0),
        }
    }
}

impl Runs {
    /// Records a run that starts now. Dropping the guard before [`RunGuard::end`] records the run
    /// as cancelled.
    #[must_use]
    pub fn start(&self, origin: Origin) -> RunGuard {
        let mut list = self.list();
        let number = list.len() as u64 + 1;
        list.push(Run {
            number,
            key: origin.key,
            caller: origin.caller,
            workspace: origin.workspace,
            authorization: origin.authorization,
            path: origin.path,
            request: origin.request,
            attempt: origin.attempt,
            drained_ms: origin.drained_ms,
            state: RunState::Running,
        });
        drop(list);
        self.changes.send_modify(|count| *count += 1);
        RunGuard {
            runs: self.clone(),
            number,
            ended: false,
        }
    }

    /// A copy of all runs.
    #[must_use]
    pub fn all(&self) -> Vec<Run> {
        self.list().clone()
    }

    /// The runs with the idempotency key `key`.
    #[must_use]
    pub fn with_key(&self, key: &str) -> Vec<Run> {
        self.list()
            .iter()
            .filter(|r| r.key == key)
            .cloned()
            .collect()
    }

    /// Waits until the runs satisfy `condition`.
    pub async fn wait(&self, condition: impl Fn(&[Run]) -> bool) {
        let mut changes = self.changes.subscribe();
        while !condition(&self.list()) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn end(&self, number: u64, state: RunState) {
        let index = usize::try_from(number - 1).unwrap_or(usize::MAX);
        if let Some(run) = self.list().get_mut(index) {
            run.state = state;
        }
        self.changes.send_modify(|count| *count += 1);
    }

    fn list(&self) -> MutexGuard<'_, Vec<Run>> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A run in progress.
pub struct RunGuard {
    runs: Runs,
    number: u64,
    ended: bool,
}

impl RunGuard {
    /// Number of the run.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Ends the run with `state`.
    pub fn end(mut self, state: RunState) {
        self.ended = true;
        self.runs.end(self.number, state);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.runs.end(self.number, RunState::Cancelled);
        }
    }
}
