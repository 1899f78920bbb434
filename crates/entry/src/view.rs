//! What the process knows of table and instances.
//!
//! Invariant: the table's version never goes back while the process lives, nor
//! does the phase of an instance, nor an id that has left come back.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use http::Uri;
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
    /// Unique for each start of it.
    pub id: InstanceId,
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
    sequence: u64,
    phase: Phase,
    /// None for one that left before it was ever announced.
    upstream: Option<Arc<Upstream>>,
}

/// All instances that any hub told of.
#[derive(Debug, Default)]
pub struct Instances {
    rows: HashMap<String, Row>,
}

impl Instances {
    /// Takes an announcement; gives the service whose instances have changed.
    pub fn take(&mut self, instance: &Instance) -> Option<ServiceName> {
        let phase = instance.phase();
        if let Some(row) = self.rows.get_mut(&instance.id) {
            if row.phase == Phase::Gone
                || (instance.sequence < row.sequence && phase != Phase::Gone)
            {
                return None;
            }
            row.sequence = row.sequence.max(instance.sequence);
            let moved = row
                .upstream
                .as_ref()
                .is_some_and(|u| phase != Phase::Gone && u.address.to_string() != instance.address);
            if phase <= row.phase && !moved {
                return None;
            }
            row.phase = row.phase.max(phase);
            if moved {
                row.upstream = upstream(instance);
            }
            return row.upstream.as_ref().map(|u| u.service.clone());
        }
        let upstream = upstream(instance);
        let service = upstream.as_ref().map(|u| u.service.clone());
        let row = Row {
            sequence: instance.sequence,
            phase,
            upstream,
        };
        self.rows.insert(instance.id.clone(), row);
        service
    }

    /// The instances of a service that have not left.
    pub fn of(&self, service: &ServiceName) -> impl Iterator<Item = (Phase, &Arc<Upstream>)> {
        let rows = self.rows.values().filter(|row| row.phase != Phase::Gone);
        let found = rows.filter_map(|row| Some((row.phase, row.upstream.as_ref()?)));
        found.filter(move |(_, upstream)| upstream.service == *service)
    }
}

/// The instance with checked types; none where its announcement isn't usable.
fn upstream(instance: &Instance) -> Option<Arc<Upstream>> {
    let address = instance.address.parse().ok()?;
    Some(Arc::new(Upstream {
        id: InstanceId::new(&instance.id).ok()?,
        service: ServiceName::new(&instance.service).ok()?,
        address,
        domain: DomainName::new(&instance.domain).ok()?,
        slots: instance.slots.max(1),
        cold: Duration::from_millis(instance.warmup_ms.into()),
        pool: Pool::new(address),
    }))
}
