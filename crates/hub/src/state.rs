//! What all tasks of one hub share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::prelude::*;
use bytes::Bytes;
use control::LocalClient;
use quarantine::Revision;
use quarantine::Tracker;
use registry::Registry;
use registry::Taken;
use slog::Logger;
use slog::warn;
use tokio::sync::watch;
use wire::hub::EntryHost;
use wire::hub::Instance;

use crate::entries::Entries;
use crate::list::List;
use crate::list::Lists;
use crate::settings::Settings;

/// What changes while the hub runs.
#[derive(Debug, Default)]
pub struct Known {
    /// The announced upstreams.
    pub registry: Registry,
    /// The log's index up to which announcements are in it.
    pub announced: u64,
    /// The entry hosts that watch.
    pub entries: Entries,
    /// Lists of them, as they were told.
    pub lists: Lists,
    /// The hubs of the group, this one included, sorted.
    pub hubs: Vec<SocketAddr>,
    /// Names that list, 0 before the first.
    pub group: u64,
    /// Requests that crash instances.
    pub tracker: Tracker,
    /// How long callers may keep a list of entry hosts, as last read.
    pub ttl: Option<Duration>,
    /// All instances, packed, and the cursor that they stand for.
    packed: (u64, Bytes),
}

/// The shared state.
pub struct State {
    /// As they were read at the start.
    pub settings: Settings,
    /// Names this process: cursors of another one mean nothing.
    pub epoch: u64,
    /// The process's clock.
    pub clock: Clock,
    /// The route table.
    pub tables: LocalClient,
    /// The log.
    pub log: Logger,
    /// The registry's cursor, for whoever waits for a change.
    pub cursor: watch::Sender<u64>,
    /// The mark of the newest list of entry hosts, for whoever waits for a change.
    pub list: watch::Sender<u64>,
    /// The revision of the suspects, for whoever waits for a change.
    pub suspects: watch::Sender<Revision>,
    known: Mutex<Known>,
}

impl State {
    /// A hub that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, tables: LocalClient, log: Logger) -> Arc<Self> {
        Arc::new(Self {
            settings,
            epoch: rand::random::<u64>().max(1),
            clock: Clock::start(),
            tables,
            log,
            cursor: watch::Sender::new(0),
            list: watch::Sender::default(),
            suspects: watch::Sender::default(),
            known: Mutex::default(),
        })
    }

    /// The changing part, locked; never held across a wait.
    pub fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes announcements and wakes whoever waits for them.
    pub fn take<'a>(&self, instances: impl IntoIterator<Item = &'a Instance>) -> Taken {
        let now = self.clock.now();
        let mut last = Taken::Known;
        {
            let mut known = self.known();
            for instance in instances {
                match known.registry.take(now, instance.clone()) {
                    Taken::Changed => last = Taken::Changed,
                    taken @ (Taken::Stale | Taken::Unusable) if last == Taken::Known => {
                        last = taken;
                    }
                    Taken::Stale | Taken::Unusable | Taken::Known => {}
                }
            }
        }
        if last == Taken::Changed {
            self.publish();
        }
        last
    }

    /// All instances as they are told to a watcher without a cursor, and the cursor that
    /// goes with them. They are packed once for all who ask between two changes.
    pub fn whole(&self) -> (u64, Bytes) {
        let mut known = self.known();
        let cursor = known.registry.cursor();
        if known.packed.0 != cursor {
            let packed = self.pack(known.registry.shown());
            if packed.is_empty() {
                // From cursor 0 the watcher asks again.
                return (0, packed);
            }
            known.packed = (cursor, packed);
        }
        known.packed.clone()
    }

    /// The rows as they are told to a watcher; nothing where they can't be packed.
    pub fn pack(&self, rows: Vec<Instance>) -> Bytes {
        match registry::pack(rows) {
            Ok(packed) => packed.into(),
            Err(err) => {
                warn!(self.log, "instances not packed"; "error" => %err);
                Bytes::new()
            }
        }
    }

    /// Takes the entry hosts of this moment, and wakes whoever waits for a change of them.
    pub fn list(&self, hosts: Vec<EntryHost>) {
        let list = List::new(hosts);
        let mark = list.mark;
        {
            let mut known = self.known();
            if known.lists.mark() == mark {
                return;
            }
            match registry::pack_hosts(list.hosts.clone()) {
                Ok(packed) => known.lists.push(Arc::new(list), packed.into()),
                Err(err) => {
                    warn!(self.log, "entry hosts not packed"; "error" => %err);
                    return;
                }
            }
        }
        self.list.send_replace(mark);
    }

    /// Wakes whoever waits for a change of the registry.
    pub fn publish(&self) {
        let cursor = self.known().registry.cursor();
        self.cursor
            .send_if_modified(|held| std::mem::replace(held, cursor) != cursor);
    }
}
