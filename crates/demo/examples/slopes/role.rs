//! The processes of the roles: start as told, then answer commands by a line each.

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

use crate::fault::Fault;
use crate::fields::Fields;
use crate::usage;

/// Runs the role that the arguments name until its input ends.
///
/// # Errors
///
/// Fails when there is no such role, or it can't start.
pub async fn run(args: &[String]) -> Result<(), Fault> {
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["control", data, index, rpc, listen] => replica::run(data, index, rpc, listen).await,
        ["directories", count] => entry::directories(count).await,
        ["gateways", count] => entry::gateways(count).await,
        ["ledger", answer] => ledger::run(answer),
        _ => Err(Fault::Usage(words.join(" "))),
    }
}

/// The commands that this process hears.
struct Commands(Lines<BufReader<Stdin>>);

impl Commands {
    fn new() -> Self {
        Self(BufReader::new(tokio::io::stdin()).lines())
    }

    async fn next(&mut self) -> Result<Option<Fields>, Fault> {
        Ok(self.0.next_line().await?.map(Fields::new))
    }

    /// The next command, which must come.
    async fn expect(&mut self) -> Result<Fields, Fault> {
        let none = || Fault::Role("nothing, the input ended".into());
        self.next().await?.ok_or_else(none)
    }
}

/// Says one line.
fn say(line: &str) -> Result<(), Fault> {
    let mut out = io::stdout().lock();
    writeln!(out, "{line}")?;
    out.flush()?;
    Ok(())
}

/// Says what this process has used.
fn say_stat(log: &LogCount) -> Result<(), Fault> {
    let [lines, bytes] = [&log.lines, &log.bytes].map(|n| n.load(Ordering::Relaxed));
    say(&format!(
        "cpu_us={} rss_kib={} lines={lines} bytes={bytes}",
        usage::cpu().as_micros(),
        usage::resident_kib(),
    ))
}

/// Counts of what was written to a log.
#[derive(Clone, Default)]
pub struct LogCount {
    /// Lines.
    pub lines: Arc<AtomicU64>,
    /// Bytes.
    pub bytes: Arc<AtomicU64>,
}

/// Where a role logs to: writes like a file, and counts.
pub struct Sink {
    file: std::fs::File,
    count: LogCount,
}

impl Sink {
    /// A sink that the system throws away, at the price of the write.
    ///
    /// # Errors
    ///
    /// Fails when the system has no null device.
    pub fn open(count: LogCount) -> Result<Self, Fault> {
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
