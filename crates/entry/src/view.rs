//! What the process knows of table and instances.
//!
//! Invariant: the table's version never goes back while the process lives, nor
//! does an instance to an earlier incarnation or phase.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use http::Uri;
use registry::Merged;
use registry::merge;
use table::Index;
use table::Table;
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
}

impl Row {
    fn new(told: Instance) -> Self {
        Self {
            upstream: upstream(&told),
            told,
        }
    }

    /// Takes a newer announcement; connections stay with what they were opened to.
    fn replace(&mut self, next: Instance) {
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

/// All instances that any hub told of.
#[derive(Debug, Default)]
pub struct Instances {
    rows: HashMap<String, Row>,
}

impl Instances {
    /// Takes an announcement; gives the services whose instances have changed, two where
    /// an instance started again in another one.
    pub fn take(&mut self, instance: &Instance) -> Vec<ServiceName> {
        let Some(row) = self.rows.get_mut(&instance.id) else {
            let row = Row::new(instance.clone());
            let service = row.service();
            self.rows.insert(instance.id.clone(), row);
            return service.into_iter().collect();
        };
        let before = row.service();
        match merge(&row.told, instance.clone()) {
            Merged::Stale => return Vec::new(),
            Merged::Known(next) => {
                row.told = next;
                return Vec::new();
            }
            Merged::Changed(next) => row.replace(next),
        }
        let after = row.service().filter(|after| before.as_ref() != Some(after));
        before.into_iter().chain(after).collect()
    }

    /// The instances of a service that have not left.
    pub fn of(&self, service: &ServiceName) -> impl Iterator<Item = (Phase, &Arc<Upstream>)> {
        let here = |row: &&Row| row.told.phase() != Phase::Gone;
        let rows = self.rows.values().filter(here);
        let found = rows.filter_map(|row| Some((row.told.phase(), row.upstream.as_ref()?)));
        found.filter(move |(_, upstream)| upstream.service == *service)
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
