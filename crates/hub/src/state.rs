//! State shared by all tasks of a hub.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::prelude::*;
use bytes::Bytes;
use control::LocalClient;
use limit::Limits;
use quarantine::Revision;
use quarantine::Tracker;
use registry::ApplyOutcome;
use registry::Registry;
use slog::Logger;
use slog::warn;
use tokio::sync::watch;
use wire::hub::EntryHost;
use wire::hub::Instance;

use crate::confirm::Confirmations;
use crate::entries::Entries;
use crate::list::HostList;
use crate::list::ListHistory;
use crate::settings::Settings;

/// How long a packed list of all instances is reused. Its receivers then request the changes since.
const PACK_INTERVAL: Duration = Duration::from_millis(200);

/// The part of the state that is guarded by a lock.
#[derive(Debug, Default)]
pub struct Inner {
    /// The announced instances.
    pub registry: Registry,
    /// Index of the log up to which its announcements are in the registry.
    pub announced_index: u64,
    /// The entry hosts that watch.
    pub entries: Entries,
    /// The lists of entry hosts that watchers may have.
    pub lists: ListHistory,
    /// The hubs of the group including this one, sorted.
    pub hubs: Vec<SocketAddr>,
    /// Hash of `hubs`, 0 before the first list.
    pub hubs_hash: u64,
    /// Tracks requests that crash instances.
    pub tracker: Tracker,
    /// The limits that instances name.
    pub limits: Limits,
    /// How long callers may cache a list of entry hosts; set by a reload.
    pub ttl: Option<Duration>,
    /// The list of the last call of [`State::packed_instances`].
    packed: Option<PackedList>,
}

/// All instances as they were at a cursor, packed for watchers that have none.
#[derive(Clone, Debug, Default)]
pub struct PackedList {
    /// The cursor; what has changed since then is sent with the next reply.
    pub cursor: u64,
    /// The digest of the instances.
    pub digest: u64,
    /// Index of the log up to which its announcements are in the list.
    pub announced: u64,
    /// The instances; empty if they could not be packed.
    pub bytes: Bytes,
    /// When the list was packed.
    packed_at: Moment,
}

/// What watchers are told of at once from the applied state, besides instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    /// The version of the route table, if there is one.
    pub table: Option<u64>,
    /// The revision of the evacuations.
    pub evacuations: u64,
}

/// The shared state.
pub struct State {
    /// The settings of the start.
    pub settings: Settings,
    /// Random id of this process; cursors are valid only within one epoch.
    pub epoch: u64,
    /// The clock of the process.
    pub clock: Clock,
    /// Access to the replicated log.
    pub tables: LocalClient,
    /// The logger.
    pub log: Logger,
    /// Publishes the applied versions. Watchers wait for these and not for the applied state itself,
    /// which changes with each announcement in the log.
    pub versions: watch::Sender<Versions>,
    /// Publishes the cursor of the registry.
    pub cursor: watch::Sender<u64>,
    /// Publishes the hash of the newest list of entry hosts.
    pub list_hash: watch::Sender<u64>,
    /// Publishes the revision of the suspects.
    pub suspects: watch::Sender<Revision>,
    /// Publishes the number of the newest limit.
    pub limits: watch::Sender<u64>,
    /// The newest table that a majority has confirmed.
    pub confirmations: Confirmations,
    inner: Mutex<Inner>,
}

impl State {
    /// Creates the state of a hub that has just started.
    #[must_use]
    pub fn new(settings: Settings, tables: LocalClient, log: Logger) -> Arc<Self> {
        Arc::new(Self {
            settings,
            epoch: rand::random::<u64>().max(1),
            clock: Clock::start(),
            tables,
            log,
            versions: watch::Sender::default(),
            cursor: watch::Sender::new(0),
            list_hash: watch::Sender::default(),
            suspects: watch::Sender::default(),
            limits: watch::Sender::default(),
            confirmations: Confirmations::default(),
            inner: Mutex::default(),
        })
    }

    /// Locks the mutable part. The guard must not be held across an await.
    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies announcements; watchers are notified by [`State::publish_cursor`].
    ///
    /// Returns [`ApplyOutcome::Changed`] if any did, otherwise the first outcome that isn't
    /// [`ApplyOutcome::Known`].
    pub fn apply<'a>(&self, instances: impl IntoIterator<Item = &'a Instance>) -> ApplyOutcome {
        let now = self.clock.now();
        let mut outcome = ApplyOutcome::Known;
        {
            let mut inner = self.lock();
            for instance in instances {
                match inner.registry.apply(now, instance.clone()) {
                    ApplyOutcome::Changed => outcome = ApplyOutcome::Changed,
                    other @ (ApplyOutcome::Stale | ApplyOutcome::Unusable)
                        if outcome == ApplyOutcome::Known =>
                    {
                        outcome = other;
                    }
                    ApplyOutcome::Stale | ApplyOutcome::Unusable | ApplyOutcome::Known => {}
                }
            }
        }
        outcome
    }

    /// All instances, packed, for a watcher without a cursor.
    ///
    /// The list is packed at most once per [`PACK_INTERVAL`]. While instances and entry processes start
    /// together, the registry changes between any two watchers, and packing 3,000 instances for each
    /// of them takes all of a hub's processor time.
    pub fn packed_instances(&self) -> PackedList {
        let now = self.clock.now();
        let mut inner = self.lock();
        let cursor = inner.registry.cursor();
        let is_usable =
            |list: &&PackedList| list.cursor == cursor || now.since(list.packed_at) < PACK_INTERVAL;
        if let Some(list) = inner.packed.as_ref().filter(is_usable) {
            return list.clone();
        }
        let bytes = self.pack(inner.registry.all_with_liveness());
        if bytes.is_empty() {
            // With cursor 0 the watcher asks for all instances again.
            return PackedList::default();
        }
        let list = PackedList {
            cursor,
            digest: inner.registry.digest().total(),
            announced: inner.announced_index,
            bytes,
            packed_at: now,
        };
        inner.packed.insert(list).clone()
    }

    /// Packs `instances`; returns no bytes if that fails.
    pub fn pack(&self, instances: Vec<Instance>) -> Bytes {
        match registry::pack(instances) {
            Ok(packed) => packed.into(),
            Err(err) => {
                warn!(self.log, "could not pack the list of instances"; "error" => %err);
                Bytes::new()
            }
        }
    }

    /// Sets the current entry hosts and notifies watchers if they have changed.
    pub fn update_host_list(&self, hosts: Vec<EntryHost>) {
        let list = HostList::new(hosts);
        let hash = list.hash;
        {
            let mut inner = self.lock();
            if inner.lists.latest_hash() == hash {
                return;
            }
            match registry::pack_hosts(list.hosts.clone()) {
                Ok(packed) => inner.lists.push(Arc::new(list), packed.into()),
                Err(err) => {
                    warn!(self.log, "could not pack the list of entry hosts"; "error" => %err);
                    return;
                }
            }
        }
        self.list_hash.send_replace(hash);
    }

    /// Notifies watchers if the cursor of the registry has changed.
    pub fn publish_cursor(&self) {
        let cursor = self.lock().registry.cursor();
        self.cursor
            .send_if_modified(|last| std::mem::replace(last, cursor) != cursor);
    }
}
