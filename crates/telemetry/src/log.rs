//! One logfmt line an event, formatted by who logs and written by one thread.

use std::cell::RefCell;
use std::io;
use std::mem;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::Never;
use slog::OwnedKVList;
use slog::Record;
use slog::o;
use slog_logfmt::Logfmt;

use crate::lines::Lines;

/// Writes the lines that wait when dropped; later ones are lost.
pub struct LogGuard {
    lines: Arc<Lines>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.lines.end();
        // A writer that panicked has lost its lines; there is nobody to tell.
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// A logger that writes lines of `level` and above to `out`.
///
/// Each line has `binary` and `host`. The guard must live as long as the process.
pub fn start(
    out: impl io::Write + Send + 'static,
    level: Level,
    binary: &'static str,
    host: &str,
) -> (Logger, LogGuard) {
    let (lines, thread) = Lines::start(out);
    let guard = LogGuard {
        lines: lines.clone(),
        thread: Some(thread),
    };
    let drain = Format(lines).filter_level(level).fuse();
    let logger = Logger::root(drain, o!("binary" => binary, "host" => host.to_owned()));
    (logger, guard)
}

/// A logger that writes nothing.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Formats each event as a line.
struct Format(Arc<Lines>);

impl Drain for Format {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, values: &OwnedKVList) -> Result<(), Never> {
        // A thread that is ending may have lost its line already.
        let _ = LINE.try_with(|line| {
            // What a panic in a value's own code has left is no part of this line.
            line.text.0.borrow_mut().clear();
            // A value that can't be written cuts its line off, which is still one line.
            if line.format.log(record, values).is_err() {
                line.text.0.borrow_mut().push(b'\n');
            }
            let text = mem::take(&mut *line.text.0.borrow_mut());
            self.0.push(&text);
            // The room is kept for the thread's next line.
            *line.text.0.borrow_mut() = text;
        });
        Ok(())
    }
}

thread_local! {
    static LINE: Line = Line::new();
}

/// One thread's line while it is formatted.
struct Line {
    format: Logfmt<Text>,
    text: Text,
}

impl Line {
    fn new() -> Self {
        let text = Text::default();
        let format = Logfmt::new(text.clone())
            .set_prefix(write_time)
            .print_level(true)
            .print_msg(true)
            .build();
        Self { format, text }
    }
}

#[derive(Clone, Default)]
struct Text(Rc<RefCell<Vec<u8>>>);

impl io::Write for Text {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.borrow_mut().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_time(out: &mut dyn io::Write, _: &Record) -> slog::Result {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    write!(out, "ts={}.{:06} ", now.as_secs(), now.subsec_micros())?;
    Ok(())
}
