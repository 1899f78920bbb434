//! Writes one logfmt line per event, through a bounded asynchronous queue.

use std::io;
use std::io::LineWriter;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::Record;
use slog::o;
use slog_async::Async;
use slog_async::AsyncGuard;
use slog_async::OverflowStrategy;
use slog_logfmt::Logfmt;

use crate::limit::RateLimit;

/// Maximum number of lines waiting for the writer; further ones are dropped and counted.
pub const QUEUE_CAPACITY: usize = 16_384;

/// Size of the line buffer, in bytes; a longer line may take several writes.
const LINE_BUFFER_BYTES: usize = 8 * 1024;

/// Flushes the queued lines when dropped.
pub struct LogGuard {
    _guard: AsyncGuard,
}

/// Creates a logger that writes every line of `level` and above to `out`.
///
/// Each line has the keys `binary` and `host`. The guard must live as long as the process.
pub fn start(
    out: impl io::Write + Send + 'static,
    level: Level,
    binary: &'static str,
    host: &str,
) -> (Logger, LogGuard) {
    start_limited(out, level, binary, host, u32::MAX)
}

/// Like [`start`], but lines beyond `rate` per second are dropped and counted.
pub fn start_limited(
    out: impl io::Write + Send + 'static,
    level: Level,
    binary: &'static str,
    host: &str,
    rate: u32,
) -> (Logger, LogGuard) {
    // The formatter writes in pieces, which the buffer joins into whole lines.
    let format = Logfmt::new(LineWriter::with_capacity(LINE_BUFFER_BYTES, out))
        .set_prefix(write_time)
        .print_level(true)
        .print_msg(true)
        .build()
        // A write error loses the line but must not end the writer thread.
        .ignore_res();
    let (queue, guard) = Async::new(format)
        .chan_size(QUEUE_CAPACITY)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = RateLimit::new(queue, rate).filter_level(level).fuse();
    let logger = Logger::root(drain, o!("binary" => binary, "host" => host.to_owned()));
    (logger, LogGuard { _guard: guard })
}

/// A logger that discards everything.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn write_time(out: &mut dyn io::Write, _: &Record) -> slog::Result {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    write!(out, "ts={}.{:06} ", now.as_secs(), now.subsec_micros())?;
    Ok(())
}
