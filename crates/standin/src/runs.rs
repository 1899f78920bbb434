//! The record of what truly ran, by request key.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

/// What became of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// It holds a slot.
    Running,
    /// It ended, and its answer was given out.
    Done,
    /// It answered with a failure; it may have had an effect.
    Failed,
    /// Its connection closed, and the work was dropped.
    Cancelled,
    /// Its deadline passed, and the work was dropped.
    Expired,
}

/// One run: work that began.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    /// Number from 1, in the order of the starts.
    pub number: u64,
    /// The request's idempotency key, empty when it had none.
    pub key: String,
    /// Who called, empty when not said.
    pub caller: String,
    /// The request's path.
    pub path: String,
    /// The system's id of the request.
    pub request: String,
    /// The attempt's number as it was sent.
    pub attempt: String,
    /// Milliseconds since the first announcement of `draining`, when there was one.
    pub drained_ms: Option<u64>,
    /// What became of it.
    pub state: RunState,
}

/// What is known of a request when its run begins.
#[derive(Clone, Debug, Default)]
pub struct Origin {
    /// The idempotency key.
    pub key: String,
    /// Who called.
    pub caller: String,
    /// The path.
    pub path: String,
    /// The request's id.
    pub request: String,
    /// The attempt's number.
    pub attempt: String,
    /// Milliseconds since the drain began.
    pub drained_ms: Option<u64>,
}

/// All runs of a stand-in since its start.
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
    /// Records a run that begins now; dropped unfinished, it is cancelled.
    #[must_use]
    pub fn begin(&self, origin: Origin) -> RunGuard {
        let mut list = self.list();
        let number = list.len() as u64 + 1;
        list.push(Run {
            number,
            key: origin.key,
            caller: origin.caller,
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

    /// A copy of the record.
    #[must_use]
    pub fn all(&self) -> Vec<Run> {
        self.list().clone()
    }

    /// The runs of one key.
    #[must_use]
    pub fn of_key(&self, key: &str) -> Vec<Run> {
        self.list()
            .iter()
            .filter(|r| r.key == key)
            .cloned()
            .collect()
    }

    /// Waits until the record satisfies `test`.
    pub async fn wait(&self, test: impl Fn(&[Run]) -> bool) {
        let mut changes = self.changes.subscribe();
        while !test(&self.list()) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn end(&self, number: u64, state: RunState) {
        let at = usize::try_from(number - 1).unwrap_or(usize::MAX);
        if let Some(run) = self.list().get_mut(at) {
            run.state = state;
        }
        self.changes.send_modify(|count| *count += 1);
    }

    fn list(&self) -> MutexGuard<'_, Vec<Run>> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A run that has begun.
pub struct RunGuard {
    runs: Runs,
    number: u64,
    ended: bool,
}

impl RunGuard {
    /// The run's number.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Ends the run.
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
