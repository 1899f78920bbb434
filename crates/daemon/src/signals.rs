//! The signals that ask a daemon to stop or to read its settings again.

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

/// Between two looks at the settings file, which may change without a signal.
const LOOK: Duration = Duration::from_secs(1);

/// What a daemon is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalAction {
    /// Stop gracefully.
    Stop,
    /// Read the settings again.
    Reload,
}

/// SIGTERM, SIGINT and SIGHUP, held from the moment this is made, and changes of
/// the settings file.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    looks: Interval,
    path: PathBuf,
    content: Option<Vec<u8>>,
}

impl Signals {
    /// Takes over the signals; `path` is the settings file as it was just read.
    ///
    /// # Errors
    ///
    /// Fails when the system doesn't hand them over.
    pub fn new(path: &Path) -> io::Result<Self> {
        let mut looks = tokio::time::interval(LOOK);
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            looks,
            path: path.to_owned(),
            content: fs::read(path).ok(),
        })
    }

    /// The settings file.
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

    /// Waits until the daemon is asked for something.
    pub async fn next(&mut self) -> SignalAction {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return SignalAction::Stop,
                _ = self.interrupt.recv() => return SignalAction::Stop,
                _ = self.hangup.recv() => {
                    self.is_changed();
                    return SignalAction::Reload;
                }
                _ = self.looks.tick() => {
                    if self.is_changed() {
                        return SignalAction::Reload;
                    }
                }
            }
        }
    }

    /// Whether the file reads otherwise than at the last look. One that can't be
    /// read now is being replaced, and is looked at again.
    fn is_changed(&mut self) -> bool {
        let Ok(content) = fs::read(&self.path) else {
            return false;
        };
        let changed = self.content.as_ref() != Some(&content);
        self.content = Some(content);
        changed
    }
}
