//! One logfmt line an event, through a bounded asynchronous queue.

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

use crate::limit::Limit;

/// Lines that may wait for the writer; more are dropped and counted.
pub const QUEUE: usize = 16_384;

/// Bytes of a line that go out in one write.
const LINE: usize = 8 * 1024;

/// Writes the queued lines when dropped.
pub struct LogGuard {
    _guard: AsyncGuard,
}

/// A logger that writes every line of `level` and above to `out`.
///
/// Each line has `binary` and `host`. The guard must live as long as the process.
pub fn start(
    out: impl io::Write + Send + 'static,
    level: Level,
    binary: &'static str,
    host: &str,
) -> (Logger, LogGuard) {
    start_limited(out, level, binary, host, u32::MAX)
}

/// The same; lines beyond `rate` a second are left out and counted.
pub fn start_limited(
    out: impl io::Write + Send + 'static,
    level: Level,
    binary: &'static str,
    host: &str,
    rate: u32,
) -> (Logger, LogGuard) {
    // The formatter writes piece by piece; whole lines go out.
    let format = Logfmt::new(LineWriter::with_capacity(LINE, out))
        .set_prefix(write_time)
        .print_level(true)
        .print_msg(true)
        .build()
        // A line that can't be written is lost, and the thread goes on.
        .ignore_res();
    let (queue, guard) = Async::new(format)
        .chan_size(QUEUE)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = Limit::new(queue, rate).filter_level(level).fuse();
    let logger = Logger::root(drain, o!("binary" => binary, "host" => host.to_owned()));
    (logger, LogGuard { _guard: guard })
}

/// A logger that writes nothing.
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
