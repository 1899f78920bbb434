//! Signals and file changes that make a daemon stop or reload its settings.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::Interval;
use tokio::time::MissedTickBehavior;

/// Interval between checks of the settings file, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Action requested by a signal or by a change of the settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalAction {
    /// Stop gracefully.
    Stop,
    /// Reload the settings.
    Reload,
}

/// Receives SIGTERM, SIGINT and SIGHUP from its creation on, and detects changes of the
/// settings file.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    poll_timer: Interval,
    path: PathBuf,
    content: Option<Vec<u8>>,
}

impl Signals {
    /// Installs the signal handlers; `path` is the settings file, which was just read.
    ///
    /// # Errors
    ///
    /// Fails if a signal handler can't be installed.
    pub fn new(path: &Path) -> io::Result<Self> {
        let mut poll_timer = tokio::time::interval(POLL_INTERVAL);
        poll_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            poll_timer,
            path: path.to_owned(),
            content: fs::read(path).ok(),
        })
    }

    /// Path of the settings file.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Waits for SIGTERM or SIGINT.
    pub async fn stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Waits for the next requested action.
    pub async fn next(&mut self) -> SignalAction {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return SignalAction::Stop,
                _ = self.interrupt.recv() => return SignalAction::Stop,
                _ = self.hangup.recv() => {
                    self.check_changed();
                    return SignalAction::Reload;
                }
                _ = self.poll_timer.tick() => {
                    if self.check_changed() {
                        return SignalAction::Reload;
                    }
                }
            }
        }
    }

    /// Whether the file's content has changed since the previous check.
    ///
    /// A file that can't be read is assumed to be in the middle of a replacement and counts as
    /// unchanged.
    fn check_changed(&mut self) -> bool {
        let Ok(content) = fs::read(&self.path) else {
            return false;
        };
        let changed = self.content.as_ref() != Some(&content);
        self.content = Some(content);
        changed
    }
}
