//! The entry process's view of the route table and the instances.
//!
//! Invariant: while the process runs, the table's version never decreases, and no instance
//! returns to an earlier incarnation or phase.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use http::Uri;
use registry::Digest;
use registry::Merged;
use registry::TOMBSTONE_RETENTION;
use registry::merge;
use table::Index;
use table::KeyIndex;
use table::Limits;
use table::Table;
use wire::hub::Hearing;
use wire::hub::Instance;
use wire::hub::Phase;

use crate::pool::Pool;

/// The current route table with its lookup structures, which are empty without one.
#[derive(Debug, Default)]
pub struct Routes {
    /// The route table; `None` until the first one is received.
    pub table: Option<Table>,
    /// The table's routes, indexed by host and path.
    pub index: Index,
    /// The table's workspaces, indexed by key.
    pub keys: KeyIndex,
    /// The path of each service's health page.
    pub health: HashMap<ServiceName, Uri>,
}

impl Routes {
    /// Builds the lookup structures for `table`.
    #[must_use]
    pub fn new(table: Table) -> Self {
        let index = Index::new(&table);
        let keys = KeyIndex::new(&table);
        let paths = table.services.iter();
        let health = paths.filter_map(|s| Some((s.name.clone(), s.health.parse().ok()?)));
        Self {
            index,
            keys,
            health: health.collect(),
            table: Some(table),
        }
    }

    /// The version of the route table; `None` until the first one is received.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.table.as_ref().map(|table| table.version)
    }

    /// The limits on callers; the defaults until the first table is received.
    #[must_use]
    pub fn limits(&self) -> Limits {
        self.table
            .as_ref()
            .map_or_else(Limits::default, |table| table.limits)
    }
}

/// An announced instance with its connection pool.
#[derive(Debug)]
pub struct Upstream {
    /// Unique among running instances.
    pub id: InstanceId,
    /// Increases with each start under the same id.
    pub incarnation: u64,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// The number of requests that it handles concurrently.
    pub slots: u32,
    /// How long it remained cold at the time of its announcement.
    pub cold: Duration,
    /// Connections to it.
    pub pool: Pool,
}

impl Upstream {
    /// The run of the instance.
    #[must_use]
    pub fn run(&self) -> InstanceRun {
        InstanceRun {
            instance: self.id.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// The stored state of one instance.
#[derive(Debug)]
struct KnownInstance {
    announced: Instance,
    /// `None` if the instance was removed before its first valid announcement.
    upstream: Option<Arc<Upstream>>,
    /// The hubs that currently receive its heartbeats.
    reporting_hubs: BTreeSet<SocketAddr>,
    /// When the process first saw that the instance was removed.
    removed_at: Option<Moment>,
}

impl KnownInstance {
    fn new(announced: Instance) -> Self {
        Self {
            upstream: parse_upstream(&announced),
            announced,
            reporting_hubs: BTreeSet::new(),
            removed_at: None,
        }
    }

    /// Records whether `hub` receives the instance's heartbeats. Returns whether the instance
    /// became silent or stopped being silent.
    fn set_reporting(&mut self, hub: SocketAddr, reporting: bool) -> bool {
        let before = self.reporting_hubs.is_empty();
        if reporting {
            self.reporting_hubs.insert(hub);
        } else {
            self.reporting_hubs.remove(&hub);
        }
        before != self.reporting_hubs.is_empty()
    }

    /// Stores a newer announcement. Connections are kept only if the instance still has the same
    /// address and incarnation.
    fn replace(&mut self, next: Instance) {
        if next.incarnation != self.announced.incarnation {
            self.reporting_hubs.clear();
        }
        let same = next.address == self.announced.address
            && next.incarnation == self.announced.incarnation;
        if next.phase() != Phase::Gone && !same {
            self.upstream = parse_upstream(&next);
        }
        self.announced = next;
    }

    fn service(&self) -> Option<ServiceName> {
        self.upstream.as_ref().map(|u| u.service.clone())
    }
}

/// The current status of an instance.
#[derive(Clone, Copy, Debug)]
pub struct InstanceStatus<'a> {
    /// The announced phase.
    pub phase: Phase,
    /// Whether no hub currently receives its heartbeats.
    pub silent: bool,
    /// The instance and its connections.
    pub upstream: &'a Arc<Upstream>,
}

/// All instances that were reported by any hub.
///
/// Invariant: `digest` covers all entries.
#[derive(Debug, Default)]
pub struct Instances {
    by_id: HashMap<String, KnownInstance>,
    digest: Digest,
}

impl Instances {
    /// Applies what a hub reports about an instance. Returns the services whose instances
    /// changed: two if the instance restarted in another service.
    pub fn apply(&mut self, hub: SocketAddr, instance: &Instance) -> Vec<ServiceName> {
        let Some(known) = self.by_id.get_mut(&instance.id) else {
            let mut known = KnownInstance::new(instance.clone());
            known.set_reporting(hub, instance.heard);
            let service = known.service();
            self.digest.add(instance);
            self.by_id.insert(instance.id.clone(), known);
            return service.into_iter().collect();
        };
        let before = known.service();
        match merge(&known.announced, instance.clone()) {
            Merged::Stale => return Vec::new(),
            Merged::Known(next) => {
                known.announced = next;
                let changed = known.set_reporting(hub, instance.heard);
                return before.into_iter().filter(|_| changed).collect();
            }
            Merged::Changed(next) => {
                self.digest.remove(&known.announced);
                self.digest.add(&next);
                known.replace(next);
            }
        }
        known.set_reporting(hub, instance.heard);
        let after = known
            .service()
            .filter(|after| before.as_ref() != Some(after));
        before.into_iter().chain(after).collect()
    }

    /// Applies whether a hub receives an instance's heartbeats. Returns the service if its
    /// instances changed.
    pub fn apply_liveness(&mut self, hub: SocketAddr, liveness: &Hearing) -> Option<ServiceName> {
        let known = self.by_id.get_mut(&liveness.id)?;
        let same = known.announced.incarnation == liveness.incarnation;
        let changed = same && known.set_reporting(hub, liveness.heard);
        known.service().filter(|_| changed)
    }

    /// Whether no instance is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Whether the instance is known to be removed.
    #[must_use]
    pub fn is_removed(&self, id: &str) -> bool {
        let known = self.by_id.get(id);
        known.is_some_and(|known| known.announced.phase() == Phase::Gone)
    }

    /// The instance of which this is a run, if it is stored.
    #[must_use]
    pub fn upstream(&self, run: &InstanceRun) -> Option<Arc<Upstream>> {
        let known = self.by_id.get(run.instance.as_str())?;
        let upstream = known.upstream.as_ref()?;
        (upstream.incarnation == run.incarnation).then(|| Arc::clone(upstream))
    }

    /// Whether this run of an instance is stored.
    #[must_use]
    pub fn is_known(&self, run: &InstanceRun) -> bool {
        let known = self.by_id.get(run.instance.as_str());
        known.is_some_and(|known| known.announced.incarnation == run.incarnation)
    }

    /// Whether the instance is ready and has not restarted since `upstream` was announced.
    #[must_use]
    pub fn is_ready(&self, upstream: &Upstream) -> bool {
        let known = self.by_id.get(upstream.id.as_str());
        known.is_some_and(|known| {
            known.announced.phase() == Phase::Ready
                && known.announced.incarnation == upstream.incarnation
        })
    }

    /// Evicts instances that were removed more than [`TOMBSTONE_RETENTION`] ago, as hubs do.
    pub fn evict_removed(&mut self, now: Moment) {
        let digest = &mut self.digest;
        self.by_id.retain(|_, known| {
            if known.announced.phase() != Phase::Gone {
                known.removed_at = None;
                return true;
            }
            let retained = now.since(*known.removed_at.get_or_insert(now)) < TOMBSTONE_RETENTION;
            if !retained {
                digest.remove(&known.announced);
            }
            retained
        });
    }

    /// The digest of all entries, to compare with a hub's digest.
    #[must_use]
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Discards heartbeat information from hubs that aren't in `hubs`. Returns the services of
    /// the instances that became silent.
    pub fn retain_reporting_hubs(&mut self, hubs: &BTreeSet<SocketAddr>) -> Vec<ServiceName> {
        let mut changed = Vec::new();
        for known in self.by_id.values_mut() {
            let before = known.reporting_hubs.is_empty();
            known.reporting_hubs.retain(|hub| hubs.contains(hub));
            if before != known.reporting_hubs.is_empty() {
                changed.extend(known.service());
            }
        }
        changed
    }

    /// The instances of a service that are not removed.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = InstanceStatus<'_>> {
        let is_present = |known: &&KnownInstance| known.announced.phase() != Phase::Gone;
        let present = self.by_id.values().filter(is_present);
        let found = present.filter_map(|known| {
            Some(InstanceStatus {
                phase: known.announced.phase(),
                silent: known.reporting_hubs.is_empty(),
                upstream: known.upstream.as_ref()?,
            })
        });
        found.filter(move |status| status.upstream.service == *service)
    }
}

/// Validates an announcement. Returns `None` if it is invalid.
fn parse_upstream(instance: &Instance) -> Option<Arc<Upstream>> {
    let address = instance.address.parse().ok()?;
    Some(Arc::new(Upstream {
        id: InstanceId::new(&instance.id).ok()?,
        incarnation: instance.incarnation,
        service: ServiceName::new(&instance.service).ok()?,
        address,
        domain: DomainName::new(&instance.domain).ok()?,
        slots: instance.slots.max(1),
        cold: Duration::from_millis(instance.warmup_ms.into()),
        pool: Pool::new(address),
    }))
}
