//! The thread that owns the data folder, and writes and syncs the log.

use std::io;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use consensus::Write;
use consensus::WriteNumber;
use quick_error::quick_error;
use store::Store;
use store::StoreError;
use tokio::sync::mpsc as async_mpsc;
use wire::store::Batch;
use wire::store::HardState;

use crate::convert;

/// A durable write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Written {
    /// Number of the write.
    pub number: WriteNumber,
    /// Time from the start of the write to the end of the sync.
    pub elapsed: Duration,
}

quick_error! {
    /// Why the writer could not start.
    #[derive(Debug)]
    pub enum WriterError {
        /// The thread could not be started.
        Thread(err: io::Error) {
            source(err)
            display("start of the writer thread: {err}")
        }
    }
}

/// Sends writes to the thread, which ends when the writer is dropped.
///
/// At most one write is in flight, so neither channel grows.
#[derive(Debug)]
pub struct Writer {
    jobs: mpsc::Sender<Job>,
}

/// What the thread writes.
#[derive(Debug)]
enum Job {
    /// A write of the log.
    Log(Write),
    /// The initial replicas.
    Initial(WriteNumber, Vec<String>),
}

/// Results of writes, as reported by the thread.
pub type Reports = async_mpsc::UnboundedReceiver<Result<Written, StoreError>>;

impl Writer {
    /// Starts the writer thread for `store`.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn start(store: Store) -> Result<(Self, Reports), WriterError> {
        let (jobs, inbox) = mpsc::channel();
        let (outbox, reports) = async_mpsc::unbounded_channel();
        thread::Builder::new()
            .name("store".into())
            .spawn(move || run(store, &inbox, &outbox))
            .map_err(WriterError::Thread)?;
        Ok((Self { jobs }, reports))
    }

    /// Queues a write.
    pub fn write(&self, write: Write) {
        self.send(Job::Log(write));
    }

    /// Queues the write of the initial replicas, which is reported under this number.
    pub fn write_initial(&self, number: WriteNumber, initial: Vec<String>) {
        self.send(Job::Initial(number, initial));
    }

    fn send(&self, job: Job) {
        // The channel is closed only after the thread has reported a failure.
        let _ = self.jobs.send(job);
    }
}

fn run(
    mut store: Store,
    inbox: &mpsc::Receiver<Job>,
    outbox: &async_mpsc::UnboundedSender<Result<Written, StoreError>>,
) {
    for job in inbox {
        let started_at = Instant::now();
        let (number, written) = match job {
            Job::Log(write) => (write.number, write_to_store(&mut store, &write)),
            Job::Initial(number, initial) => (number, store.save_initial(initial)),
        };
        let result = written.map(|()| Written {
            number,
            elapsed: started_at.elapsed(),
        });
        let failed = result.is_err();
        if outbox.send(result).is_err() || failed {
            return;
        }
    }
}

fn write_to_store(store: &mut Store, write: &Write) -> Result<(), StoreError> {
    let state = write.hard_state.map(|hard_state| HardState {
        term: hard_state.term.0,
        vote: hard_state.vote.map_or(0, |id| id.0),
    });
    let log = Batch {
        state,
        truncate: write.truncate.map_or(0, |index| index.0),
        entries: write.entries.iter().map(convert::entry_to_wire).collect(),
        commit: write.commit.0,
    };
    let Some(snapshot) = &write.snapshot else {
        return append(store, &log);
    };
    let first = Batch {
        state,
        ..Batch::default()
    };
    append(store, &first)?;
    let snapshot = convert::snapshot_to_wire(snapshot);
    if (1..=snapshot.index).contains(&log.truncate) {
        // Entries that a snapshot of this replica's own state covers are never removed.
        store.install(&snapshot)?;
    } else {
        store.save(&snapshot)?;
    }
    append(store, &Batch { state: None, ..log })
}

fn append(store: &mut Store, batch: &Batch) -> Result<(), StoreError> {
    // A new commit index alone does not justify a sync.
    let empty = Batch {
        commit: batch.commit,
        ..Batch::default()
    };
    if *batch == empty {
        return Ok(());
    }
    store.append(batch)
}
