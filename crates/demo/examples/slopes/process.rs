//! A role in a process of its own, so that its time and memory are its alone.

use std::process::Stdio;
use std::time::Duration;

use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::io::Lines;
use tokio::process;
use tokio::process::ChildStdin;
use tokio::process::ChildStdout;
use tokio::process::Command;

use crate::fault::Fault;
use crate::fields::Fields;

/// The first argument of a role's process.
pub const ROLE: &str = "role";

/// What a role's process has used so far.
#[derive(Clone, Copy, Debug)]
pub struct Stat {
    /// Processor time.
    pub cpu: Duration,
    /// Resident memory in KiB.
    pub rss: u64,
    /// Lines of its log.
    pub lines: u64,
    /// Bytes of its log.
    pub bytes: u64,
}

impl Stat {
    /// Processor time used since `before`.
    pub fn cpu_since(&self, before: &Self) -> Duration {
        self.cpu.saturating_sub(before.cpu)
    }
}

/// A role's process; it ends with this value.
pub struct Process {
    child: process::Child,
    input: ChildStdin,
    output: Lines<BufReader<ChildStdout>>,
}

impl Process {
    /// Starts this program once more, as the role that `args` name.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be started.
    pub fn start(args: &[&str]) -> Result<Self, Fault> {
        let mut child = Command::new(std::env::current_exe()?)
            .arg(ROLE)
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let missing = || Fault::Role("no pipe".into());
        let input = child.stdin.take().ok_or_else(missing)?;
        let output = child.stdout.take().ok_or_else(missing)?;
        Ok(Self {
            child,
            input,
            output: BufReader::new(output).lines(),
        })
    }

    /// The next line that it says.
    ///
    /// # Errors
    ///
    /// Fails when it has ended.
    pub async fn hear(&mut self) -> Result<Fields, Fault> {
        let line = self.output.next_line().await?;
        line.map(Fields::new)
            .ok_or_else(|| Fault::Role("nothing, it ended".into()))
    }

    /// Says `line` and hears the answer.
    ///
    /// # Errors
    ///
    /// Fails when it has ended.
    pub async fn ask(&mut self, line: &str) -> Result<Fields, Fault> {
        self.input.write_all(line.as_bytes()).await?;
        self.input.write_all(b"\n").await?;
        self.input.flush().await?;
        self.hear().await
    }

    /// What it has used so far.
    ///
    /// # Errors
    ///
    /// Fails when it has ended.
    pub async fn stat(&mut self) -> Result<Stat, Fault> {
        let said = self.ask("stat").await?;
        Ok(Stat {
            cpu: Duration::from_micros(said.number("cpu_us")?),
            rss: said.number("rss_kib")?,
            lines: said.number("lines")?,
            bytes: said.number("bytes")?,
        })
    }

    /// Kills it and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when it can't be killed.
    pub async fn kill(mut self) -> Result<(), Fault> {
        self.child.kill().await?;
        Ok(())
    }
}
