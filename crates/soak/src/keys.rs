//! API keys of the callers, some of which are removed during a run.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::prelude::*;
use entry::settings::Keys as KeySettings;
use table::KeyDigest;
use table::Table;
use table::Workspace;
use testutils::tables;
use tokio::time::Instant;

/// The key that no table removes.
pub const STEADY_KEY: &str = "steady-key";
/// A key that no table has.
const UNKNOWN_KEY: &str = "unknown-key";
/// The workspace with [`STEADY_KEY`].
const STEADY: &str = "steady";
/// The workspace whose keys are replaced.
const ROTATING: &str = "rotating";
/// Time after which a key that is removed must not be accepted any more. Also how long processes
/// serve without a majority.
const REMOVAL_TIME: Duration = Duration::from_secs(2);
/// Number of keys of the rotating workspace that calls use, from the newest on.
const ROTATING_KEYS: u64 = 4;

/// Settings of entry processes with which the time of removals is bounded.
#[must_use]
pub fn settings() -> KeySettings {
    KeySettings {
        fail_closed: true,
        confirm: REMOVAL_TIME,
    }
}

/// The key that a call presents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKey {
    /// [`STEADY_KEY`].
    Steady,
    /// The key of the rotating workspace with this number.
    Rotating(u64),
    /// [`UNKNOWN_KEY`].
    Unknown,
    /// None.
    Missing,
}

impl CallKey {
    /// The key itself.
    #[must_use]
    pub fn text(self) -> Option<String> {
        match self {
            Self::Steady => Some(STEADY_KEY.into()),
            Self::Rotating(number) => Some(rotating_key(number)),
            Self::Unknown => Some(UNKNOWN_KEY.into()),
            Self::Missing => None,
        }
    }

    /// The workspace that holds it, if any table has it.
    #[must_use]
    pub fn workspace(self) -> Option<&'static str> {
        match self {
            Self::Steady => Some(STEADY),
            Self::Rotating(_) => Some(ROTATING),
            Self::Unknown | Self::Missing => None,
        }
    }
}

impl fmt::Display for CallKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.text().as_deref().unwrap_or("no key"))
    }
}

fn rotating_key(number: u64) -> String {
    format!("rotating-key-{number}")
}

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: WorkspaceName::new(name).unwrap_or_else(|_| unreachable!("a valid name")),
        keys: keys.iter().map(KeyDigest::of).collect(),
        priority: 0,
        quota: None,
    }
}

#[derive(Debug, Default)]
struct State {
    /// The newest version that was sent to the hubs.
    sent: u64,
    /// Accepted versions, and when their acknowledgement arrived.
    accepted: Vec<(u64, Instant)>,
}

/// The tables of a run and their keys: table `n` has the rotating keys `n` and `n + 1`. Clones
/// share one state.
#[derive(Clone, Debug, Default)]
pub struct Keys(Arc<Mutex<State>>);

impl Keys {
    /// The table with this version, which is about to be sent.
    #[must_use]
    pub fn table(&self, version: u64) -> Table {
        self.state().sent = version;
        let rotating = [version, version + 1].map(rotating_key);
        let rotating: Vec<&str> = rotating.iter().map(String::as_str).collect();
        let mut table = tables::with_fragile(version);
        table.workspaces = vec![
            workspace(STEADY, &[STEADY_KEY]),
            workspace(ROTATING, &rotating),
        ];
        table
    }

    /// Records that a majority has accepted the table.
    pub fn record_accepted(&self, version: u64) {
        self.state().accepted.push((version, Instant::now()));
    }

    /// The key of the call with this number.
    #[must_use]
    pub fn of_call(&self, number: u64) -> CallKey {
        match number / 4 % 6 {
            0..3 => CallKey::Steady,
            3 => {
                let newest = self.state().sent + 1;
                CallKey::Rotating(newest.saturating_sub(number / 24 % ROTATING_KEYS))
            }
            4 => CallKey::Unknown,
            _ => CallKey::Missing,
        }
    }

    /// Whether a call that is sent at `at` must not run with this key.
    #[must_use]
    pub fn is_invalid(&self, key: CallKey, at: Instant) -> bool {
        match key {
            CallKey::Steady => false,
            CallKey::Unknown | CallKey::Missing => true,
            CallKey::Rotating(number) => {
                let state = self.state();
                let removals = state
                    .accepted
                    .iter()
                    .filter(|(version, _)| *version > number);
                let removed_at = removals.map(|(_, at)| *at).min();
                removed_at.is_some_and(|removed_at| at > removed_at + REMOVAL_TIME)
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
