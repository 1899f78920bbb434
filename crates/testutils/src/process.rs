//! A process of one of the built binaries: its log, its signals, its end.

use std::env;
use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use quick_error::quick_error;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use strum::Display;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::folder::Folder;

pub use telemetry::logfmt::field;

/// Longest wait for an event of a process; far above what any takes.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// The file in which a process finds its settings.
const SETTINGS: &str = "settings.ini";
/// Time between two looks at whether a process has ended.
const LOOK: Duration = Duration::from_millis(10);

/// A built binary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(prefix = "rwr-", serialize_all = "kebab-case")]
pub enum Binary {
    /// A control replica.
    Control,
    /// A directory.
    Directory,
    /// A gateway.
    Gateway,
    /// A hub.
    Hub,
    /// An entry process.
    Entry,
    /// A stand-in for an upstream.
    Standin,
    /// The load tool.
    Load,
    /// The operators' client.
    #[strum(to_string = "rwrctl")]
    Ctl,
}

quick_error! {
    /// Why a process can't be had or used.
    #[derive(Debug)]
    pub enum ProcessError {
        /// The binary isn't built.
        Missing(path: PathBuf) {
            display("{} isn't built; run `cargo build --workspace` (or the whole `cargo test --workspace`)", path.display())
        }
        /// The system didn't do as asked.
        System(err: io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// A signal couldn't be sent.
        Signal(err: rustix::io::Errno) {
            from()
            source(err)
            display("signal: {err}")
        }
        /// It ended before it was ready.
        Ended(binary: Binary, log: String) {
            display("{binary} ended before it was ready:\n{log}")
        }
        /// An event didn't come within [`PATIENCE`].
        Late(binary: Binary, event: &'static str, state: String, log: String) {
            display("{binary}: no {event} within {PATIENCE:?}; its state: {state}\n{log}")
        }
    }
}

impl Binary {
    /// The message of the line that says that it serves.
    fn ready(self) -> &'static str {
        match self {
            Self::Hub => "hub serves",
            Self::Entry => "entry serves",
            _ => "ready",
        }
    }

    /// Where cargo puts it: beside the folder of the running test.
    ///
    /// # Errors
    ///
    /// Fails when it isn't built.
    pub fn path(self) -> Result<PathBuf, ProcessError> {
        let test = env::current_exe()?;
        // Tests run in `deps` or `examples` under the folder of the binaries.
        let folders = test.ancestors().skip(1).take(2);
        let path = folders
            .map(|folder| folder.join(self.to_string()))
            .find(|path| path.is_file());
        path.ok_or_else(|| ProcessError::Missing(test.with_file_name(self.to_string())))
    }
}

/// The lines that a process wrote.
#[derive(Clone)]
struct Log {
    lines: Arc<Mutex<Vec<String>>>,
    changes: watch::Sender<usize>,
}

impl Log {
    fn new() -> Self {
        Self {
            lines: Arc::default(),
            changes: watch::Sender::new(0),
        }
    }

    fn read(&self, pipe: impl Read + Send + 'static) -> JoinHandle<()> {
        let log = self.clone();
        // A thread, so that a process never waits for a test that is busy.
        thread::spawn(move || {
            for line in BufReader::new(pipe).lines().map_while(Result::ok) {
                log.push(line);
            }
        })
    }

    fn push(&self, line: String) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(line);
        self.changes.send_replace(lines.len());
    }

    fn all(&self) -> Vec<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.clone()
    }
}

/// A running process; killed when dropped.
pub struct Process {
    binary: Binary,
    child: Child,
    log: Log,
    readers: Vec<JoinHandle<()>>,
    ready: String,
    folder: Folder,
}

impl Process {
    /// Starts `binary` with the settings `ini` and waits for its ready line.
    ///
    /// # Errors
    ///
    /// Fails when it isn't built, or ends before it is ready.
    pub async fn start(binary: Binary, ini: &str) -> Result<Self, ProcessError> {
        let path = binary.path()?;
        let folder = Folder::new()?;
        let config = folder.write(SETTINGS, ini)?;
        let mut child = Command::new(path)
            .arg("--config")
            .arg(config)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let log = Log::new();
        let out = child.stdout.take().map(|pipe| log.read(pipe));
        let err = child.stderr.take().map(|pipe| log.read(pipe));
        let mut process = Self {
            binary,
            child,
            log,
            readers: out.into_iter().chain(err).collect(),
            ready: String::new(),
            folder,
        };
        process.ready = process.wait_ready().await?;
        Ok(process)
    }

    async fn wait_ready(&mut self) -> Result<String, ProcessError> {
        let log = self.log.clone();
        let ready = self.binary.ready();
        let line = log_line(&log, |line| field(line, "msg") == Some(ready));
        tokio::select! {
            line = line => Ok(line),
            _ = ended(&mut self.child) => {
                self.finish_log();
                Err(ProcessError::Ended(self.binary, self.text()))
            }
            () = sleep(PATIENCE) => Err(self.late("ready line")),
        }
    }

    /// The address under `key` in the ready line.
    #[must_use]
    pub fn address(&self, key: &str) -> Option<SocketAddr> {
        field(&self.ready, key)?.parse().ok()
    }

    /// All lines so far.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.log.all()
    }

    /// Waits for a line that satisfies `test`, from the start on.
    ///
    /// # Errors
    ///
    /// Fails when none comes within [`PATIENCE`].
    pub async fn wait_line(&self, test: impl Fn(&str) -> bool) -> Result<String, ProcessError> {
        let line = timeout(PATIENCE, log_line(&self.log, test)).await;
        line.map_err(|_| self.late("such line"))
    }

    /// Sends `SIGTERM`, which asks for a graceful stop.
    ///
    /// # Errors
    ///
    /// Fails when the system refuses.
    pub fn terminate(&self) -> Result<(), ProcessError> {
        self.signal(Signal::TERM)
    }

    /// Sends `SIGHUP`, which asks to read the settings again.
    ///
    /// # Errors
    ///
    /// Fails when the system refuses.
    pub fn hang_up(&self) -> Result<(), ProcessError> {
        self.signal(Signal::HUP)
    }

    /// Replaces its settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be written.
    pub fn write_settings(&self, ini: &str) -> Result<(), ProcessError> {
        self.folder.write(SETTINGS, ini)?;
        Ok(())
    }

    /// Sends `SIGSTOP`: the process freezes, its sockets stay open.
    ///
    /// # Errors
    ///
    /// Fails when the system refuses.
    pub fn freeze(&self) -> Result<(), ProcessError> {
        self.signal(Signal::STOP)
    }

    /// Sends `SIGCONT`.
    ///
    /// # Errors
    ///
    /// Fails when the system refuses.
    pub fn resume(&self) -> Result<(), ProcessError> {
        self.signal(Signal::CONT)
    }

    /// Sends `SIGKILL` and waits for the end.
    ///
    /// # Errors
    ///
    /// Fails when the system refuses, or keeps the process for longer than [`PATIENCE`].
    pub async fn kill(mut self) -> Result<(), ProcessError> {
        self.child.kill()?;
        match timeout(PATIENCE, ended(&mut self.child)).await {
            Ok(status) => {
                status?;
                Ok(())
            }
            Err(_) => Err(self.late("end after SIGKILL")),
        }
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when it doesn't end within [`PATIENCE`].
    pub async fn wait(&mut self) -> Result<ExitStatus, ProcessError> {
        match timeout(PATIENCE, ended(&mut self.child)).await {
            Ok(status) => {
                self.finish_log();
                Ok(status?)
            }
            Err(_) => Err(self.late("end")),
        }
    }

    /// Whether it has ended by now.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Reads what is left of the log of a process that has ended.
    fn finish_log(&mut self) {
        for reader in self.readers.drain(..) {
            // A panic of the reader has printed itself.
            let _ = reader.join();
        }
    }

    fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        // The child wasn't waited for, so that its id can't be another process's.
        kill_process(Pid::from_child(&self.child), signal)?;
        Ok(())
    }

    fn late(&self, event: &'static str) -> ProcessError {
        ProcessError::Late(self.binary, event, self.state(), self.text())
    }

    /// What the kernel says of the process: what it waits for tells a stalled disk
    /// from a process that is stuck by itself.
    fn state(&self) -> String {
        let folder = format!("/proc/{}", self.child.id());
        let read = |name: &str| fs::read_to_string(format!("{folder}/{name}"));
        match (read("stat"), read("wchan")) {
            (Ok(stat), Ok(wchan)) => format!("{} in {wchan}", stat.trim()),
            (Err(err), _) | (_, Err(err)) => err.to_string(),
        }
    }

    fn text(&self) -> String {
        self.log.all().join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already, which is as good.
        let _ = self.child.kill();
        let end = Instant::now() + PATIENCE;
        while matches!(self.child.try_wait(), Ok(None)) && Instant::now() < end {
            thread::sleep(LOOK);
        }
    }
}

async fn log_line(log: &Log, test: impl Fn(&str) -> bool) -> String {
    let mut changes = log.changes.subscribe();
    let mut seen = 0;
    loop {
        let lines = log.all();
        if let Some(line) = lines[seen..].iter().find(|line| test(line)) {
            return line.clone();
        }
        seen = lines.len();
        // The sender lives in `log`, so that this only ever wakes on a change.
        let _ = changes.wait_for(|count| *count > seen).await;
    }
}

async fn ended(child: &mut Child) -> io::Result<ExitStatus> {
    loop {
        if let Some(status) = child.try_wait()? {
            return Ok(status);
        }
        sleep(LOOK).await;
    }
}
