//! What the process knows of table and instances.
//!
//! Invariant: the table's version never goes back while the process lives, nor
//! does an instance to an earlier incarnation or phase.

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
use table::Table;
use wire::hub::Hearing;
use wire::hub::Instance;
use wire::hub::Phase;

use crate::pool::Pool;

/// The table in force, arranged for look-ups.
#[derive(Debug, Default)]
pub struct Routes {
    /// The table.
    pub table: Table,
    /// Its routes by host and path.
    pub index: Index,
    /// Where each service's instances tell of themselves.
    pub health: HashMap<ServiceName, Uri>,
}

impl Routes {
    /// Arranges `table`.
    #[must_use]
    pub fn new(table: Table) -> Self {
        let index = Index::new(&table);
        let paths = table.services.iter();
        let health = paths.filter_map(|s| Some((s.name.clone(), s.health.parse().ok()?)));
        Self {
            index,
            health: health.collect(),
            table,
        }
    }
}

/// One instance, with connections to it.
#[derive(Debug)]
pub struct Upstream {
    /// Unique among the instances that run.
    pub id: InstanceId,
    /// Rises with each start under the same id.
    pub incarnation: u64,
    /// The service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// How long it is still slow after its start, when it was announced.
    pub cold: Duration,
    /// Connections to it.
    pub pool: Pool,
}

/// What is kept of one instance.
#[derive(Debug)]
struct Row {
    told: Instance,
    /// None for one that left before it was ever announced.
    upstream: Option<Arc<Upstream>>,
    /// The hubs that have heard it lately.
    hearers: BTreeSet<SocketAddr>,
    /// Since when it is held as one that has left.
    left: Option<Moment>,
}

impl Row {
    fn new(told: Instance) -> Self {
        Self {
            upstream: upstream(&told),
            told,
            hearers: BTreeSet::new(),
            left: None,
        }
    }

    /// Takes whether a hub has heard it; gives whether it falls silent or is heard again.
    fn hear(&mut self, hub: SocketAddr, heard: bool) -> bool {
        let before = self.hearers.is_empty();
        if heard {
            self.hearers.insert(hub);
        } else {
            self.hearers.remove(&hub);
        }
        before != self.hearers.is_empty()
    }

    /// Takes a newer announcement; connections stay with what they were opened to.
    fn replace(&mut self, next: Instance) {
        if next.incarnation != self.told.incarnation {
            self.hearers.clear();
        }
        let same = next.address == self.told.address && next.incarnation == self.told.incarnation;
        if next.phase() != Phase::Gone && !same {
            self.upstream = upstream(&next);
        }
        self.told = next;
    }

    fn service(&self) -> Option<ServiceName> {
        self.upstream.as_ref().map(|u| u.service.clone())
    }
}

/// One instance of a service as it stands now.
#[derive(Clone, Copy, Debug)]
pub struct Listed<'a> {
    /// What it announced.
    pub phase: Phase,
    /// No hub has heard it lately.
    pub silent: bool,
    /// It, with connections to it.
    pub upstream: &'a Arc<Upstream>,
}

/// All instances that any hub told of.
///
/// Invariant: `digest` is that of all rows.
#[derive(Debug, Default)]
pub struct Instances {
    rows: HashMap<String, Row>,
    digest: Digest,
}

impl Instances {
    /// Takes what a hub tells of an instance; gives the services whose instances have
    /// changed, two where an instance started again in another one.
    pub fn take(&mut self, hub: SocketAddr, instance: &Instance) -> Vec<ServiceName> {
        let Some(row) = self.rows.get_mut(&instance.id) else {
            let mut row = Row::new(instance.clone());
            row.hear(hub, instance.heard);
            let service = row.service();
            self.digest.add(instance);
            self.rows.insert(instance.id.clone(), row);
            return service.into_iter().collect();
        };
        let before = row.service();
        match merge(&row.told, instance.clone()) {
            Merged::Stale => return Vec::new(),
            Merged::Known(next) => {
                row.told = next;
                let changed = row.hear(hub, instance.heard);
                return before.into_iter().filter(|_| changed).collect();
            }
            Merged::Changed(next) => {
                self.digest.remove(&row.told);
                self.digest.add(&next);
                row.replace(next);
            }
        }
        row.hear(hub, instance.heard);
        let after = row.service().filter(|after| before.as_ref() != Some(after));
        before.into_iter().chain(after).collect()
    }

    /// Takes whether a hub hears an instance; gives the service whose instances have
    /// changed by it.
    pub fn hear(&mut self, hub: SocketAddr, hearing: &Hearing) -> Option<ServiceName> {
        let row = self.rows.get_mut(&hearing.id)?;
        let same = row.told.incarnation == hearing.incarnation;
        let changed = same && row.hear(hub, hearing.heard);
        row.service().filter(|_| changed)
    }

    /// Whether none is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Whether the instance of this id has left, as far as is known.
    #[must_use]
    pub fn has_left(&self, id: &str) -> bool {
        let row = self.rows.get(id);
        row.is_some_and(|row| row.told.phase() == Phase::Gone)
    }

    /// Whether this start of the instance has announced nothing but that it is ready.
    #[must_use]
    pub fn is_ready(&self, upstream: &Upstream) -> bool {
        let row = self.rows.get(upstream.id.as_str());
        row.is_some_and(|row| {
            row.told.phase() == Phase::Ready && row.told.incarnation == upstream.incarnation
        })
    }

    /// Forgets ids that left long ago, as hubs do.
    pub fn forget(&mut self, now: Moment) {
        let digest = &mut self.digest;
        self.rows.retain(|_, row| {
            if row.told.phase() != Phase::Gone {
                row.left = None;
                return true;
            }
            let kept = now.since(*row.left.get_or_insert(now)) < TOMBSTONE_RETENTION;
            if !kept {
                digest.remove(&row.told);
            }
            kept
        });
    }

    /// What is held, to be compared with what a hub holds.
    #[must_use]
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Forgets what hubs other than `hubs` have heard; gives the services with an
    /// instance that falls silent.
    pub fn keep_hearers(&mut self, hubs: &BTreeSet<SocketAddr>) -> Vec<ServiceName> {
        let mut changed = Vec::new();
        for row in self.rows.values_mut() {
            let before = row.hearers.is_empty();
            row.hearers.retain(|hub| hubs.contains(hub));
            if before != row.hearers.is_empty() {
                changed.extend(row.service());
            }
        }
        changed
    }

    /// The instances of a service that have not left.
    pub fn of(&self, service: &ServiceName) -> impl Iterator<Item = Listed<'_>> {
        let here = |row: &&Row| row.told.phase() != Phase::Gone;
        let rows = self.rows.values().filter(here);
        let found = rows.filter_map(|row| {
            Some(Listed {
                phase: row.told.phase(),
                silent: row.hearers.is_empty(),
                upstream: row.upstream.as_ref()?,
            })
        });
        found.filter(move |listed| listed.upstream.service == *service)
    }
}

/// The instance with checked types; none where its announcement isn't usable.
fn upstream(instance: &Instance) -> Option<Arc<Upstream>> {
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
