//! Main functions of the roles' processes, which answer each command with one line.

mod entry;
mod ledger;
mod replica;

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::io::Lines;
use tokio::io::Stdin;

use crate::fault::MeasureError;
use crate::fields::Fields;
use crate::usage;

/// Runs the role that the arguments name until standard input is closed.
///
/// # Errors
///
/// Fails if there is no such role, or the role can't start.
pub async fn run(args: &[String]) -> Result<(), MeasureError> {
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["control", data, index, rpc, listen] => replica::run(data, index, rpc, listen).await,
        ["directories", count] => entry::directories(count).await,
        ["gateways", count] => entry::gateways(count).await,
        ["ledger", answer] => ledger::run(answer),
        _ => Err(MeasureError::Usage(words.join(" "))),
    }
}

/// Commands read from standard input.
struct Commands(Lines<BufReader<Stdin>>);

impl Commands {
    fn new() -> Self {
        Self(BufReader::new(tokio::io::stdin()).lines())
    }

    async fn next(&mut self) -> Result<Option<Fields>, MeasureError> {
        Ok(self.0.next_line().await?.map(Fields::new))
    }

    /// Reads the next command; fails if the input is closed.
    async fn expect(&mut self) -> Result<Fields, MeasureError> {
        let none = || MeasureError::Role("the input is closed".into());
        self.next().await?.ok_or_else(none)
    }
}

/// Writes one line to standard output.
fn write_line(line: &str) -> Result<(), MeasureError> {
    let mut out = io::stdout().lock();
    writeln!(out, "{line}")?;
    out.flush()?;
    Ok(())
}

/// Writes this process's resource use to standard output.
fn write_usage(log: &LogCount) -> Result<(), MeasureError> {
    let [lines, bytes] = [&log.lines, &log.bytes].map(|n| n.load(Ordering::Relaxed));
    write_line(&format!(
        "cpu_us={} rss_kib={} lines={lines} bytes={bytes}",
        usage::cpu().as_micros(),
        usage::resident_kib(),
    ))
}

/// Counters of a log's output.
#[derive(Clone, Default)]
pub struct LogCount {
    /// Lines written.
    pub lines: Arc<AtomicU64>,
    /// Bytes written.
    pub bytes: Arc<AtomicU64>,
}

/// Output of a role's log, which counts lines and bytes.
pub struct Sink {
    file: std::fs::File,
    count: LogCount,
}

impl Sink {
    /// Opens the null device as output, which costs a system call per write.
    ///
    /// # Errors
    ///
    /// Fails if the null device can't be opened.
    pub fn open(count: LogCount) -> Result<Self, MeasureError> {
        let file = std::fs::OpenOptions::new().write(true).open("/dev/null")?;
        Ok(Self { file, count })
    }
}

impl Write for Sink {
    fn write(&mut self, piece: &[u8]) -> io::Result<usize> {
        let written = self.file.write(piece)?;
        let lines = piece[..written]
            .iter()
            .map(|b| u64::from(*b == b'\n'))
            .sum();
        let bytes = u64::try_from(written).unwrap_or_default();
        self.count.lines.fetch_add(lines, Ordering::Relaxed);
        self.count.bytes.fetch_add(bytes, Ordering::Relaxed);
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.file.flush()
    }
}
