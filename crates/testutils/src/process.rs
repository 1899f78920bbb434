//! Starts a built binary as a child process, reads its log and sends it signals.

use std::env;
use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
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

/// Longest wait for an event of a process.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Name of the settings file in a process's folder.
const SETTINGS_FILE: &str = "settings.ini";
/// Maximum number of a process's log lines in the output of a failed test.
const MAX_PRINTED_LINES: usize = 400;
/// Interval between checks for whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

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
    /// Why a process can't be started or used.
    #[derive(Debug)]
    pub enum ProcessError {
        /// The binary has not been built.
        Missing(path: PathBuf) {
            display("{} isn't built; run `cargo build --workspace` (or the whole `cargo test --workspace`)", path.display())
        }
        /// An I/O error of the operating system.
        System(err: io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// A signal could not be sent.
        Signal(err: rustix::io::Errno) {
            from()
            source(err)
            display("signal: {err}")
        }
        /// The process exited before it was ready.
        Ended(binary: Binary, log: String) {
            display("{binary} exited before it was ready:\n{log}")
        }
        /// An event did not happen within [`WAIT_TIMEOUT`].
        Timeout(binary: Binary, event: &'static str, state: String, log: String) {
            display("{binary}: no {event} within {WAIT_TIMEOUT:?}; process state: {state}\n{log}")
        }
    }
}

impl Binary {
    /// The `msg` of the log line that reports readiness.
    fn ready_message(self) -> &'static str {
        match self {
            Self::Hub => "hub serves",
            Self::Entry => "entry serves",
            _ => "ready",
        }
    }

    /// Path of the binary in cargo's output folder, next to that of the running test.
    ///
    /// # Errors
    ///
    /// Fails if the binary has not been built.
    pub fn path(self) -> Result<PathBuf, ProcessError> {
        let test = env::current_exe()?;
        // Test executables are in `deps` or `examples` below the binaries' folder.
        let folders = test.ancestors().skip(1).take(2);
        let path = folders
            .map(|folder| folder.join(self.to_string()))
            .find(|path| path.is_file());
        path.ok_or_else(|| ProcessError::Missing(test.with_file_name(self.to_string())))
    }
}

/// Lines that a process wrote to stdout and stderr.
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
        // A thread of its own, so that a full pipe never blocks the process.
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

/// A child process, killed when dropped.
pub struct Process {
    binary: Binary,
    child: Child,
    log: Log,
    readers: Vec<JoinHandle<()>>,
    ready_line: String,
    folder: Folder,
}

impl Process {
    /// Starts `binary` with the settings `ini` and waits until it logs readiness.
    ///
    /// # Errors
    ///
    /// Fails if the binary has not been built, exits before it is ready, or is not
    /// ready within [`WAIT_TIMEOUT`].
    pub async fn start(binary: Binary, ini: &str) -> Result<Self, ProcessError> {
        Self::start_at(&binary.path()?, binary, ini).await
    }

    /// Starts the program at `path`, which logs and reads settings as `binary` does.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be started, exits before it is ready, or is not
    /// ready within [`WAIT_TIMEOUT`].
    pub async fn start_at(path: &Path, binary: Binary, ini: &str) -> Result<Self, ProcessError> {
        let folder = Folder::new()?;
        let config = folder.write(SETTINGS_FILE, ini)?;
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
            ready_line: String::new(),
            folder,
        };
        process.ready_line = process.wait_ready().await?;
        Ok(process)
    }

    async fn wait_ready(&mut self) -> Result<String, ProcessError> {
        let log = self.log.clone();
        let ready_message = self.binary.ready_message();
        let line = wait_for_line(&log, |line| field(line, "msg") == Some(ready_message));
        tokio::select! {
            line = line => Ok(line),
            _ = wait_for_exit(&mut self.child) => {
                self.drain_log();
                Err(ProcessError::Ended(self.binary, self.log_text()))
            }
            () = sleep(WAIT_TIMEOUT) => Err(self.timeout_error("readiness line")),
        }
    }

    /// The address logged under `key` in the readiness line.
    #[must_use]
    pub fn address(&self, key: &str) -> Option<SocketAddr> {
        field(&self.ready_line, key)?.parse().ok()
    }

    /// All lines logged so far.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.log.all()
    }

    /// Waits for a log line that satisfies `test`; lines logged earlier count.
    ///
    /// # Errors
    ///
    /// Fails if there is none within [`WAIT_TIMEOUT`].
    pub async fn wait_line(&self, test: impl Fn(&str) -> bool) -> Result<String, ProcessError> {
        let line = timeout(WAIT_TIMEOUT, wait_for_line(&self.log, test)).await;
        line.map_err(|_| self.timeout_error("matching log line"))
    }

    /// Sends `SIGTERM`, which asks for a graceful stop.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent.
    pub fn terminate(&self) -> Result<(), ProcessError> {
        self.signal(Signal::TERM)
    }

    /// Sends `SIGHUP`, which asks for a reload of the settings.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent.
    pub fn hang_up(&self) -> Result<(), ProcessError> {
        self.signal(Signal::HUP)
    }

    /// Replaces the process's settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn write_settings(&self, ini: &str) -> Result<(), ProcessError> {
        self.folder.write(SETTINGS_FILE, ini)?;
        Ok(())
    }

    /// Sends `SIGSTOP`, which suspends the process with its sockets open.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent.
    pub fn freeze(&self) -> Result<(), ProcessError> {
        self.signal(Signal::STOP)
    }

    /// Sends `SIGCONT`, which resumes a suspended process.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent.
    pub fn resume(&self) -> Result<(), ProcessError> {
        self.signal(Signal::CONT)
    }

    /// Sends `SIGKILL` and waits for the process to exit.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent, or the process takes longer than
    /// [`WAIT_TIMEOUT`] to exit.
    pub async fn kill(mut self) -> Result<(), ProcessError> {
        self.child.kill()?;
        match timeout(WAIT_TIMEOUT, wait_for_exit(&mut self.child)).await {
            Ok(status) => {
                status?;
                Ok(())
            }
            Err(_) => Err(self.timeout_error("exit after SIGKILL")),
        }
    }

    /// Waits for the process to exit.
    ///
    /// # Errors
    ///
    /// Fails if the process does not exit within [`WAIT_TIMEOUT`].
    pub async fn wait(&mut self) -> Result<ExitStatus, ProcessError> {
        match timeout(WAIT_TIMEOUT, wait_for_exit(&mut self.child)).await {
            Ok(status) => {
                self.drain_log();
                Ok(status?)
            }
            Err(_) => Err(self.timeout_error("exit")),
        }
    }

    /// The most memory that the process has had resident, in bytes.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn peak_memory(&self) -> Result<u64, ProcessError> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kibibytes = line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse().ok());
        let kibibytes: u64 = kibibytes.ok_or_else(|| io::Error::other("no VmHWM"))?;
        Ok(kibibytes * 1024)
    }

    /// The number of the process's open descriptors.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn descriptors(&self) -> Result<usize, ProcessError> {
        Ok(fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }

    /// Checks what must hold whatever the process's clients do: that it lives, and that its peak
    /// memory and its open descriptors stayed within these bounds.
    ///
    /// # Panics
    ///
    /// Panics if one of them doesn't hold.
    #[track_caller]
    pub fn assert_within(&mut self, max_memory: u64, max_descriptors: usize) {
        assert!(!self.has_ended(), "{} has ended", self.binary);
        let memory = self.peak_memory().expect("a running process");
        let descriptors = self.descriptors().expect("a running process");
        println!("peak memory {memory} bytes, {descriptors} descriptors");
        assert!(memory <= max_memory, "peak memory: {memory} bytes");
        assert!(
            descriptors <= max_descriptors,
            "open descriptors: {descriptors}"
        );
    }

    /// Whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Reads the rest of the log after the process has exited.
    fn drain_log(&mut self) {
        for reader in self.readers.drain(..) {
            // A panic in a reader has already been printed.
            let _ = reader.join();
        }
    }

    fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        // The child has not been reaped, so its id can't belong to another process.
        kill_process(Pid::from_child(&self.child), signal)?;
        Ok(())
    }

    fn timeout_error(&self, event: &'static str) -> ProcessError {
        ProcessError::Timeout(self.binary, event, self.state(), self.log_text())
    }

    /// Kernel state of the process; its wait channel tells a stalled disk from a deadlock.
    fn state(&self) -> String {
        let folder = format!("/proc/{}", self.child.id());
        let read = |name: &str| fs::read_to_string(format!("{folder}/{name}"));
        match (read("stat"), read("wchan")) {
            (Ok(stat), Ok(wchan)) => format!("{} in {wchan}", stat.trim()),
            (Err(err), _) | (_, Err(err)) => err.to_string(),
        }
    }

    /// Prints the last lines of the log, for the output of a failed test.
    fn print_log(&self) {
        let lines = self.log.all();
        let first = lines.len().saturating_sub(MAX_PRINTED_LINES);
        eprintln!(
            "-- {} (process {}), {first} lines left out",
            self.binary,
            self.child.id()
        );
        for line in &lines[first..] {
            eprintln!("{line}");
        }
    }

    fn log_text(&self) -> String {
        self.log.all().join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // An error means that the process has already exited.
        let _ = self.child.kill();
        let end = Instant::now() + WAIT_TIMEOUT;
        while matches!(self.child.try_wait(), Ok(None)) && Instant::now() < end {
            thread::sleep(POLL_INTERVAL);
        }
        if thread::panicking() {
            self.drain_log();
            self.print_log();
        }
    }
}

async fn wait_for_line(log: &Log, test: impl Fn(&str) -> bool) -> String {
    let mut changes = log.changes.subscribe();
    let mut seen = 0;
    loop {
        let lines = log.all();
        if let Some(line) = lines[seen..].iter().find(|line| test(line)) {
            return line.clone();
        }
        seen = lines.len();
        // The sender is owned by `log`, so the channel can't be closed here.
        let _ = changes.wait_for(|count| *count > seen).await;
    }
}

async fn wait_for_exit(child: &mut Child) -> io::Result<ExitStatus> {
    loop {
        if let Some(status) = child.try_wait()? {
            return Ok(status);
        }
        sleep(POLL_INTERVAL).await;
    }
}
