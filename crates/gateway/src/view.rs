//! What the gateway knows of the catalogue, of the instances and of how
//! current that is: one immutable value, replaced whole.
//!
//! Invariant: the catalogue's version never goes back. A confirmation says that
//! some version was the newest at its moment; it counts here only when the
//! version in force is that one or a newer one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use measure::Registry;
use wire::catalogue::Catalogue;
use wire::catalogue::Entry;
use wire::directory::Instance;
use wire::directory::InstanceChange;
use wire::directory::Phase;
use wire::directory::SyncReply;

/// One service of the catalogue with checked types.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// How its requests are treated.
    pub class: Class,
    /// The catalogue's own row, for the limits.
    pub limits: wire::catalogue::Limits,
}

/// One announced instance with checked types.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its service.
    pub service: ServiceName,
    /// Its id, unique within the service.
    pub id: InstanceId,
    /// Rises with each start under the same id.
    pub incarnation: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Connections that it takes from all gateways together.
    pub connections: u32,
    /// What it announced.
    pub phase: Phase,
}

/// The announced instances of one service.
pub type Rows = Arc<Vec<Arc<Upstream>>>;

/// The state that a gateway decides from.
#[derive(Clone, Debug)]
pub struct View {
    version: u64,
    services: HashMap<ServiceName, Arc<Service>>,
    registry: Arc<Registry>,
    instances: HashMap<ServiceName, Rows>,
    /// The moment the youngest confirmation was asked for; never before the process began.
    confirmed: Option<Moment>,
}

impl Default for View {
    fn default() -> Self {
        Self {
            version: 0,
            services: HashMap::new(),
            registry: Arc::new(registry_of(&Catalogue::default())),
            instances: HashMap::new(),
            confirmed: None,
        }
    }
}

impl View {
    /// The catalogue's version, zero before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Gateways that the catalogue registers, at least 1.
    #[must_use]
    pub fn gateways(&self) -> u32 {
        let count = self.registry.gateways.len();
        u32::try_from(count).unwrap_or(u32::MAX).max(1)
    }

    /// What the catalogue says of measuring.
    #[must_use]
    pub fn registry(&self) -> &Arc<Registry> {
        &self.registry
    }

    /// The moment the youngest confirmation was asked for.
    #[must_use]
    pub fn confirmed(&self) -> Option<Moment> {
        self.confirmed
    }

    /// A service of the catalogue.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services of the catalogue.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// The announced instances of a service.
    #[must_use]
    pub fn instances(&self, service: &ServiceName) -> &[Arc<Upstream>] {
        self.instances.get(service).map_or(&[], |rows| rows)
    }

    /// The same, to be kept: equal pointers say that nothing has changed.
    #[must_use]
    pub fn rows(&self, service: &ServiceName) -> Rows {
        self.instances.get(service).cloned().unwrap_or_default()
    }

    /// All announced instances.
    pub fn all_instances(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.instances.values().flat_map(|rows| rows.iter())
    }

    /// How long ago the version in force was confirmed as current.
    #[must_use]
    pub fn confirmed_age(&self, now: Moment) -> Option<Duration> {
        self.confirmed.map(|moment| now.since(moment))
    }

    /// Whether no confirmation is younger than `lease`.
    #[must_use]
    pub fn is_fenced(&self, now: Moment, lease: Duration) -> bool {
        self.confirmed_age(now).is_none_or(|age| age >= lease)
    }

    /// The view after `reply` to a request sent at `sent`.
    #[must_use]
    pub fn after(&self, sent: Moment, reply: SyncReply) -> Self {
        let mut next = self.clone();
        if let Some(catalogue) = reply.catalogue {
            next.take_catalogue(&catalogue);
        }
        next.take_confirmation(sent, reply.confirmed, reply.confirmed_age_ms);
        next.take_instances(reply.whole, &reply.changes);
        next
    }

    fn take_catalogue(&mut self, catalogue: &Catalogue) {
        if catalogue.version <= self.version {
            return;
        }
        self.version = catalogue.version;
        self.registry = Arc::new(registry_of(catalogue));
        self.services = catalogue
            .entries
            .iter()
            .filter_map(service_of)
            .map(|s| (s.name.clone(), Arc::new(s)))
            .collect();
    }

    fn take_confirmation(&mut self, sent: Moment, version: u64, age_ms: u32) {
        if version == 0 || version > self.version {
            return;
        }
        let age = Duration::from_millis(age_ms.into());
        // Before its start the process may have had a newer version in force, by
        // way of another directory: it learns nothing from what was current then.
        if age > sent.since(Moment::ZERO) {
            return;
        }
        self.confirmed = self.confirmed.max(Some(sent.before(age)));
    }

    fn take_instances(&mut self, whole: bool, changes: &[InstanceChange]) {
        if whole {
            self.instances.clear();
        }
        for change in changes {
            let Some(row) = change.instance.as_ref().and_then(upstream_of) else {
                continue;
            };
            let rows = self.instances.entry(row.service.clone()).or_default();
            let rows = Arc::make_mut(rows);
            rows.retain(|kept| kept.id != row.id);
            if !change.gone {
                rows.push(Arc::new(row));
            }
        }
        self.instances.retain(|_, rows| !rows.is_empty());
    }
}

fn registry_of(catalogue: &Catalogue) -> Registry {
    let gateways = catalogue.gateways.iter();
    let mut gateways: Vec<HostName> = gateways.filter_map(|g| HostName::new(g).ok()).collect();
    gateways.sort();
    gateways.dedup();
    let budgets = catalogue.entries.iter().filter_map(|entry| {
        let millis = entry.limits.unwrap_or_default().probe_millis;
        Some((ServiceName::new(&entry.service).ok()?, millis))
    });
    Registry {
        version: catalogue.version,
        gateways: gateways.into(),
        budgets: budgets.collect(),
    }
}

fn service_of(entry: &Entry) -> Option<Service> {
    use wire::catalogue::Class as Wire;
    let class = match Wire::try_from(entry.class).ok()? {
        Wire::Unspecified => return None,
        Wire::Urgent => Class::Urgent,
        Wire::Once => Class::Once,
        Wire::Durable => Class::Durable,
        Wire::Deferred => Class::Deferred,
    };
    Some(Service {
        name: ServiceName::new(&entry.service).ok()?,
        class,
        limits: entry.limits.unwrap_or_default(),
    })
}

fn upstream_of(row: &Instance) -> Option<Upstream> {
    Some(Upstream {
        service: ServiceName::new(&row.service).ok()?,
        id: InstanceId::new(&row.id).ok()?,
        address: row.address.parse().ok()?,
        domain: DomainName::new(&row.domain).ok()?,
        slots: row.slots.max(1),
        connections: row.connections.max(1),
        incarnation: row.incarnation,
        phase: Phase::try_from(row.phase).ok()?,
    })
}
