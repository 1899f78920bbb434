//! A role in its own process, so that its processor time and memory can be measured.

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

use crate::fault::MeasureError;
use crate::fields::Fields;

/// First argument of a role's process.
pub const ROLE: &str = "role";

/// Resource use of a role's process since its start.
#[derive(Clone, Copy, Debug)]
pub struct ResourceUsage {
    /// Processor time.
    pub cpu: Duration,
    /// Resident memory in KiB.
    pub rss: u64,
    /// Lines logged.
    pub lines: u64,
    /// Bytes logged.
    pub bytes: u64,
}

impl ResourceUsage {
    /// Processor time used since `before`.
    pub fn cpu_since(&self, before: &Self) -> Duration {
        self.cpu.saturating_sub(before.cpu)
    }
}

/// A role's process, killed when dropped.
pub struct Process {
    child: process::Child,
    input: ChildStdin,
    output: Lines<BufReader<ChildStdout>>,
}

impl Process {
    /// Starts this program again as the role that `args` name.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub fn start(args: &[&str]) -> Result<Self, MeasureError> {
        let mut child = Command::new(std::env::current_exe()?)
            .arg(ROLE)
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let missing = || MeasureError::Role("no pipe".into());
        let input = child.stdin.take().ok_or_else(missing)?;
        let output = child.stdout.take().ok_or_else(missing)?;
        Ok(Self {
            child,
            input,
            output: BufReader::new(output).lines(),
        })
    }

    /// Reads the next line from the process.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub async fn read_line(&mut self) -> Result<Fields, MeasureError> {
        let line = self.output.next_line().await?;
        line.map(Fields::new)
            .ok_or_else(|| MeasureError::Role("the process has exited".into()))
    }

    /// Sends `line` to the process and reads the reply.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub async fn request(&mut self, line: &str) -> Result<Fields, MeasureError> {
        self.input.write_all(line.as_bytes()).await?;
        self.input.write_all(b"\n").await?;
        self.input.flush().await?;
        self.read_line().await
    }

    /// Queries the resource use of the process.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub async fn stat(&mut self) -> Result<ResourceUsage, MeasureError> {
        let reply = self.request("stat").await?;
        Ok(ResourceUsage {
            cpu: Duration::from_micros(reply.number("cpu_us")?),
            rss: reply.number("rss_kib")?,
            lines: reply.number("lines")?,
            bytes: reply.number("bytes")?,
        })
    }

    /// Kills the process and waits for its exit.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be killed.
    pub async fn kill(mut self) -> Result<(), MeasureError> {
        self.child.kill().await?;
        Ok(())
    }
}
