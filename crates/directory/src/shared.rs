//! What the tasks of one directory share.
//!
//! One lock guards the decisions' state; it is held for a step and never across
//! a wait. After each step the [`Stamp`] tells those who wait what moved.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use base::prelude::*;
use cadence::StatsdClient;
use members::Confirmed;
use members::Freshness;
use members::Members;
use members::homes::Location;
use slog::Logger;
use slog::info;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wire::catalogue::Catalogue;

use crate::placement_cache::PlacementCache;
use crate::settings::Settings;

/// Where the state stands; those who wait look at it first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stamp {
    /// Epoch and cursor of the own home's table.
    pub own: (u64, u64),
    /// Cursor of the living instances.
    pub instances: u64,
    /// Cursor of the living hosts.
    pub hosts: u64,
    /// Catalogue version held.
    pub version: u64,
    /// The version was confirmed within the lease.
    pub current: bool,
}

/// The state that decisions work on.
pub struct Inner {
    /// Who is there.
    pub members: Members,
    /// How current the catalogue is.
    pub freshness: Freshness,
    /// The catalogue; present exactly when its version was confirmed.
    pub catalogue: Option<Arc<Catalogue>>,
    /// Where services are placed.
    pub placed: PlacementCache,
}

impl Inner {
    /// The catalogue version held, zero without one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.catalogue.as_ref().map_or(0, |c| c.version)
    }

    /// Takes a confirmation, with the catalogue when it is newer than the one held.
    ///
    /// Nothing is taken whose moment lies before the start, and no confirmation
    /// of another version than the one held.
    pub fn confirm(&mut self, found: Confirmed, catalogue: Option<Catalogue>) -> bool {
        if self.freshness.predates_start(found) {
            return false;
        }
        let newer = catalogue.filter(|c| c.version == found.version && c.version > self.version());
        let rose = newer.is_some();
        if let Some(catalogue) = newer {
            self.catalogue = Some(Arc::new(catalogue));
        }
        let held = self.catalogue.as_ref().map(|c| c.version);
        if held == Some(found.version) {
            self.freshness.merge(found);
        }
        rose
    }

    fn stamp(&self, now: Moment) -> Stamp {
        Stamp {
            own: self.members.own_position(),
            instances: self.members.instances().cursor(),
            hosts: self.members.hosts().cursor(),
            version: self.version(),
            current: self.freshness.is_current(now),
        }
    }
}

/// Shared by all tasks.
pub struct Shared {
    /// The runtime's clock.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: StatsdClient,
    /// The settings.
    pub settings: Settings,
    /// Set when the directory stops.
    pub stop: CancellationToken,
    inner: Mutex<Inner>,
    changed: watch::Sender<Stamp>,
}

impl Shared {
    /// The state of a directory that starts now.
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
        let inner = Inner {
            members: Members::new(host, location, epoch, settings.limits(), now),
            freshness: Freshness::new(now, settings.leases.confirmation),
            catalogue: None,
            placed: PlacementCache::default(),
        };
        let changed = watch::Sender::new(inner.stamp(now));
        Self {
            clock,
            log,
            metrics,
            settings,
            stop: CancellationToken::new(),
            inner: Mutex::new(inner),
            changed,
        }
    }

    /// Does one step on the state and wakes those who wait for what moved.
    pub fn step<R>(&self, act: impl FnOnce(&mut Inner, Moment) -> R) -> R {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        let result = act(&mut inner, now);
        let stamp = inner.stamp(now);
        self.changed.send_if_modified(|old| {
            let moved = *old != stamp;
            *old = stamp;
            moved
        });
        result
    }

    /// Tells when the state moves.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Stamp> {
        self.changed.subscribe()
    }

    /// Takes a confirmation and logs a version that came into force.
    pub fn confirm(&self, from: &str, found: Confirmed, catalogue: Option<Catalogue>) {
        let rose = self.step(|inner, _| inner.confirm(found, catalogue));
        if rose {
            info!(self.log, "catalogue"; "version" => found.version, "from" => from.to_owned());
        }
    }
}
