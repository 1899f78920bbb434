//! Lines that wait for the writer, joined into one write.
//!
//! Whoever logs formats the line and puts it behind those that wait; one thread
//! writes all that wait at once. Lines stay whole and in their order. A full
//! buffer drops lines, counts them, and says so in a line of its own.

use std::io;
use std::mem;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

/// Bytes that may wait for the writer.
pub const BUFFER: usize = 4 * 1024 * 1024;
/// Bytes that are written without waiting for more.
const ENOUGH: usize = 64 * 1024;
/// How long a line waits for others to be written with.
const JOIN_TIME: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct State {
    waiting: Vec<u8>,
    dropped: u64,
    ended: bool,
}

/// The lines of one log.
#[derive(Debug, Default)]
pub struct Lines {
    state: Mutex<State>,
    changed: Condvar,
}

impl Lines {
    /// Lines that a new thread writes to `out` until [`Lines::end`].
    ///
    /// A write that fails loses its lines and nothing else.
    pub fn start(out: impl io::Write + Send + 'static) -> (Arc<Self>, JoinHandle<()>) {
        let lines = Arc::new(Self::default());
        let kept = lines.clone();
        (lines, thread::spawn(move || kept.write_all(out)))
    }

    /// Takes one whole line, or counts it as dropped.
    pub fn push(&self, line: &[u8]) {
        let mut state = self.state();
        if state.waiting.len() + line.len() > BUFFER {
            state.dropped += 1;
            return;
        }
        let before = state.waiting.len();
        state.waiting.extend_from_slice(line);
        // The writer sleeps until there is a line, and then until there are enough.
        if before == 0 || before < ENOUGH && state.waiting.len() >= ENOUGH {
            self.changed.notify_one();
        }
    }

    /// Has the thread write what waits, and end.
    pub fn end(&self) {
        self.state().ended = true;
        self.changed.notify_one();
    }

    fn write_all(&self, mut out: impl io::Write) {
        let mut batch = Vec::new();
        loop {
            let ended = self.take(&mut batch);
            // A log whose reader has gone must not end the process.
            let _ = out.write_all(&batch).and_then(|()| out.flush());
            batch.clear();
            if ended {
                return;
            }
        }
    }

    /// Waits for lines and swaps them for the empty `batch`; says whether they are the last.
    fn take(&self, batch: &mut Vec<u8>) -> bool {
        let empty = |s: &mut State| s.waiting.is_empty() && !s.ended;
        let few = |s: &mut State| s.waiting.len() < ENOUGH && !s.ended;
        let state = self.changed.wait_while(self.state(), empty);
        let state = state.unwrap_or_else(PoisonError::into_inner);
        let state = self.changed.wait_timeout_while(state, JOIN_TIME, few);
        let (mut state, _) = state.unwrap_or_else(PoisonError::into_inner);
        mem::swap(&mut state.waiting, batch);
        let dropped = mem::take(&mut state.dropped);
        if dropped > 0 {
            let report = format!("level=ERRO msg=\"log lines dropped\" lines={dropped}\n");
            batch.extend_from_slice(report.as_bytes());
        }
        state.ended
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
