//! The thread that owns the data folder: writes, syncs, reports.

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
use tokio::sync::mpsc as tasks;
use wire::store::Batch;
use wire::store::HardState;

use crate::convert;

/// A write that is durable, and how long it took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Written {
    /// Names the write.
    pub number: WriteNumber,
    /// From the first byte to the end of the sync.
    pub span: Duration,
}

quick_error! {
    /// Why no write can be taken.
    #[derive(Debug)]
    pub enum WriterError {
        /// The thread couldn't be started.
        Thread(err: io::Error) {
            source(err)
            display("writer thread: {err}")
        }
    }
}

/// Hands writes to the thread; it ends when this is dropped.
///
/// At most one write is in flight, so neither queue grows.
#[derive(Debug)]
pub struct Writer {
    jobs: mpsc::Sender<Write>,
}

/// What the thread reports.
pub type Reports = tasks::UnboundedReceiver<Result<Written, StoreError>>;

impl Writer {
    /// Starts the thread for `store`.
    ///
    /// # Errors
    ///
    /// Fails when there can be no further thread.
    pub fn start(store: Store) -> Result<(Self, Reports), WriterError> {
        let (jobs, inbox) = mpsc::channel();
        let (outbox, reports) = tasks::unbounded_channel();
        thread::Builder::new()
            .name("store".into())
            .spawn(move || run(store, &inbox, &outbox))
            .map_err(WriterError::Thread)?;
        Ok((Self { jobs }, reports))
    }

    /// Asks for one write.
    pub fn write(&self, write: Write) {
        // The thread ends only after it reported a failure.
        let _ = self.jobs.send(write);
    }
}

fn run(
    mut store: Store,
    inbox: &mpsc::Receiver<Write>,
    outbox: &tasks::UnboundedSender<Result<Written, StoreError>>,
) {
    for write in inbox {
        let begun = Instant::now();
        let result = put(&mut store, &write).map(|()| Written {
            number: write.number,
            span: begun.elapsed(),
        });
        let failed = result.is_err();
        if outbox.send(result).is_err() || failed {
            return;
        }
    }
}

fn put(store: &mut Store, write: &Write) -> Result<(), StoreError> {
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
    store.save(&convert::snapshot_to_wire(snapshot))?;
    append(store, &Batch { state: None, ..log })
}

fn append(store: &mut Store, batch: &Batch) -> Result<(), StoreError> {
    // A commit index alone isn't worth a sync.
    let empty = Batch {
        commit: batch.commit,
        ..Batch::default()
    };
    if *batch == empty {
        return Ok(());
    }
    store.append(batch)
}
