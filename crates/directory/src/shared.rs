//! State shared by the tasks of one directory.
//!
//! A single lock guards the state. It is held for one step and never across an await. After
//! each step, tasks that wait are notified by the new [`StateVersion`].

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use base::prelude::*;
use bounds::Clients;
use cadence::StatsdClient;
use members::Confirmed;
use members::Freshness;
use members::Members;
use members::homes::Location;
use quarantine::EventLog;
use quarantine::Tracker;
use slog::Logger;
use slog::info;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wire::catalogue::Catalogue;

use crate::placement_cache::PlacementCache;
use crate::settings::Settings;

/// Versions of the parts of the state, which tell waiting tasks what changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateVersion {
    /// Epoch and cursor of the own partition.
    pub own: (u64, u64),
    /// Cursor of the live instances.
    pub instances: u64,
    /// Cursor of the live hosts.
    pub hosts: u64,
    /// Current catalogue version.
    pub version: u64,
    /// Whether the version was confirmed within the lease.
    pub current: bool,
    /// Revision of the suspects at the last new refusal.
    pub refusal: u64,
}

/// The state behind the lock.
pub struct Inner {
    /// Instances, hosts and their leases.
    pub members: Members,
    /// When the catalogue was last confirmed.
    pub freshness: Freshness,
    /// The catalogue; absent until a version is confirmed.
    pub catalogue: Option<Arc<Catalogue>>,
    /// Cached placement of the services.
    pub placement: PlacementCache,
    /// Tracks requests that crash instances, as all gateways report them.
    pub tracker: Tracker,
    /// What gateways reported to this directory, to pass on to the others.
    pub events: EventLog,
}

impl Inner {
    /// Version of the catalogue; zero without one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.catalogue.as_ref().map_or(0, |c| c.version)
    }

    /// Merges a confirmation, with the catalogue if that is newer than the current one.
    ///
    /// Ignores confirmations from before the start of the process, and those of a version other
    /// than the current one.
    pub fn confirm(&mut self, confirmation: Confirmed, catalogue: Option<Catalogue>) -> bool {
        if self.freshness.predates_start(confirmation) {
            return false;
        }
        let newer =
            catalogue.filter(|c| c.version == confirmation.version && c.version > self.version());
        let increased = newer.is_some();
        if let Some(catalogue) = newer {
            self.catalogue = Some(Arc::new(catalogue));
        }
        let current = self.catalogue.as_ref().map(|c| c.version);
        if current == Some(confirmation.version) {
            self.freshness.merge(confirmation);
        }
        increased
    }

    fn state_version(&self, now: Moment) -> StateVersion {
        StateVersion {
            own: self.members.own_position(),
            instances: self.members.instances().cursor(),
            hosts: self.members.hosts().cursor(),
            version: self.version(),
            current: self.freshness.is_current(now),
            refusal: self.tracker.revision().refusal,
        }
    }
}

/// Context shared by all tasks.
pub struct Shared {
    /// Clock for all decisions.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: Arc<StatsdClient>,
    /// The connections of callers and upstreams, and the memory that is kept for them.
    pub clients: Clients,
    /// The settings.
    pub settings: Settings,
    /// Cancelled when the directory stops.
    pub stop: CancellationToken,
    /// Number of the newest event to pass on to the other directories.
    pub newest_event: watch::Sender<u64>,
    inner: Mutex<Inner>,
    changed: watch::Sender<StateVersion>,
}

impl Shared {
    /// Creates the state of a directory that starts now.
    #[must_use]
    pub fn new(
        settings: Settings,
        location: Location,
        epoch: u64,
        log: Logger,
        metrics: StatsdClient,
    ) -> Self {
        let clock = Clock::start();
        let now = clock.now();
        let host = settings.host.clone();
        let metrics = Arc::new(metrics);
        let limits = settings.client_limits();
        let inner = Inner {
            members: Members::new(host, location, epoch, settings.limits(), now),
            freshness: Freshness::new(now, settings.leases.confirmation),
            catalogue: None,
            placement: PlacementCache::default(),
            tracker: Tracker::default(),
            events: EventLog::default(),
        };
        let changed = watch::Sender::new(inner.state_version(now));
        Self {
            clients: Clients::new(limits, log.clone(), Arc::clone(&metrics)),
            clock,
            log,
            metrics,
            settings,
            stop: CancellationToken::new(),
            newest_event: watch::Sender::default(),
            inner: Mutex::new(inner),
            changed,
        }
    }

    /// Runs `act` on the state under the lock and notifies subscribers of changes.
    pub fn step<R>(&self, act: impl FnOnce(&mut Inner, Moment) -> R) -> R {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        let result = act(&mut inner, now);
        let version = inner.state_version(now);
        self.changed.send_if_modified(|old| {
            let modified = *old != version;
            *old = version;
            modified
        });
        result
    }

    /// Subscribes to changes of the state.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<StateVersion> {
        self.changed.subscribe()
    }

    /// Merges a confirmation and logs a version that comes into force.
    pub fn confirm(&self, from: &str, confirmation: Confirmed, catalogue: Option<Catalogue>) {
        let increased = self.step(|inner, _| inner.confirm(confirmation, catalogue));
        if increased {
            info!(self.log, "catalogue"; "version" => confirmation.version, "from" => from.to_owned());
        }
    }
}
