//! Immutable snapshot of the catalogue, of the announced instances and of the
//! time when the catalogue was last confirmed.
//!
//! Invariant: the catalogue version never decreases. A confirmation states that
//! a version was the newest at some moment; it is accepted only if the current
//! version is the same or newer.

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

/// A service of the catalogue, validated.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Class of the requests.
    pub class: Class,
    /// Limits as the catalogue states them.
    pub limits: wire::catalogue::Limits,
}

/// An announced instance, validated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamInstance {
    /// Service of the instance.
    pub service: ServiceName,
    /// Id, unique within the service.
    pub id: InstanceId,
    /// Start number, which increases with each start under the same id.
    pub incarnation: u64,
    /// Address that the instance listens on.
    pub address: SocketAddr,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Number of requests that the instance serves concurrently.
    pub slots: u32,
    /// Limit of connections from all gateways together.
    pub connections: u32,
    /// Announced phase.
    pub phase: Phase,
}

impl UpstreamInstance {
    /// The run of the instance.
    #[must_use]
    pub fn run(&self) -> InstanceRun {
        InstanceRun {
            instance: self.id.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// The announced instances of one service.
pub type Instances = Arc<Vec<Arc<UpstreamInstance>>>;

/// Snapshot of the catalogue and the instances.
#[derive(Clone, Debug)]
pub struct View {
    version: u64,
    services: HashMap<ServiceName, Arc<Service>>,
    registry: Arc<Registry>,
    instances: HashMap<ServiceName, Instances>,
    // Time at which the newest confirmation was requested; never before the process started.
    confirmed_at: Option<Moment>,
}

impl Default for View {
    fn default() -> Self {
        Self {
            version: 0,
            services: HashMap::new(),
            registry: Arc::new(registry_of(&Catalogue::default())),
            instances: HashMap::new(),
            confirmed_at: None,
        }
    }
}

impl View {
    /// Catalogue version, 0 before the first catalogue arrives.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Number of gateways registered in the catalogue, at least 1.
    #[must_use]
    pub fn gateways(&self) -> u32 {
        let count = self.registry.gateways.len();
        u32::try_from(count).unwrap_or(u32::MAX).max(1)
    }

    /// Gateways and probe budgets of the catalogue.
    #[must_use]
    pub fn registry(&self) -> &Arc<Registry> {
        &self.registry
    }

    /// Time at which the newest confirmation was requested.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Moment> {
        self.confirmed_at
    }

    /// The service `name` of the catalogue.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services in the catalogue.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Announced instances of a service.
    #[must_use]
    pub fn instances(&self, service: &ServiceName) -> &[Arc<UpstreamInstance>] {
        self.instances
            .get(service)
            .map_or(&[], |instances| instances)
    }

    /// The announced instance `id` of a service.
    #[must_use]
    pub fn instance(
        &self,
        service: &ServiceName,
        id: &InstanceId,
    ) -> Option<&Arc<UpstreamInstance>> {
        let instances = self.instances(service);
        instances.iter().find(|instance| instance.id == *id)
    }

    /// Shared list of a service's instances. If the pointers of two lists are equal, the
    /// instances are unchanged.
    #[must_use]
    pub fn shared_instances(&self, service: &ServiceName) -> Instances {
        self.instances.get(service).cloned().unwrap_or_default()
    }

    /// Announced instances of all services.
    pub fn all_instances(&self) -> impl Iterator<Item = &Arc<UpstreamInstance>> {
        self.instances
            .values()
            .flat_map(|instances| instances.iter())
    }

    /// Time since the current version was last confirmed as the newest.
    #[must_use]
    pub fn confirmed_age(&self, now: Moment) -> Option<Duration> {
        self.confirmed_at.map(|moment| now.since(moment))
    }

    /// Whether the newest confirmation is missing or at least `lease` old.
    #[must_use]
    pub fn is_fenced(&self, now: Moment, lease: Duration) -> bool {
        self.confirmed_age(now).is_none_or(|age| age >= lease)
    }

    /// The view after applying `reply` to a request sent at `sent_at`.
    #[must_use]
    pub fn updated(&self, sent_at: Moment, reply: SyncReply) -> Self {
        let mut view = self.clone();
        if let Some(catalogue) = reply.catalogue {
            view.apply_catalogue(&catalogue);
        }
        view.apply_confirmation(sent_at, reply.confirmed, reply.confirmed_age_ms);
        view.apply_instances(reply.whole, &reply.changes);
        view
    }

    fn apply_catalogue(&mut self, catalogue: &Catalogue) {
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

    fn apply_confirmation(&mut self, sent_at: Moment, version: u64, age_ms: u32) {
        if version == 0 || version > self.version {
            return;
        }
        let age = Duration::from_millis(age_ms.into());
        // A previous process of this gateway may have used a newer version from
        // another directory, so a confirmation from before the start proves nothing.
        if age > sent_at.since(Moment::ZERO) {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(sent_at.before(age)));
    }

    fn apply_instances(&mut self, whole: bool, changes: &[InstanceChange]) {
        if whole {
            self.instances.clear();
        }
        for change in changes {
            let Some(instance) = change.instance.as_ref().and_then(upstream_of) else {
                continue;
            };
            let instances = self.instances.entry(instance.service.clone()).or_default();
            let instances = Arc::make_mut(instances);
            instances.retain(|existing| existing.id != instance.id);
            if !change.gone {
                instances.push(Arc::new(instance));
            }
        }
        self.instances.retain(|_, instances| !instances.is_empty());
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
    use wire::catalogue::Class as WireClass;
    let class = match WireClass::try_from(entry.class).ok()? {
        WireClass::Unspecified => return None,
        WireClass::Urgent => Class::Urgent,
        WireClass::Once => Class::Once,
        WireClass::Durable => Class::Durable,
        WireClass::Deferred => Class::Deferred,
    };
    Some(Service {
        name: ServiceName::new(&entry.service).ok()?,
        class,
        limits: entry.limits.unwrap_or_default(),
    })
}

fn upstream_of(instance: &Instance) -> Option<UpstreamInstance> {
    Some(UpstreamInstance {
        service: ServiceName::new(&instance.service).ok()?,
        id: InstanceId::new(&instance.id).ok()?,
        address: instance.address.parse().ok()?,
        domain: DomainName::new(&instance.domain).ok()?,
        slots: instance.slots.max(1),
        connections: instance.connections.max(1),
        incarnation: instance.incarnation,
        phase: Phase::try_from(instance.phase).ok()?,
    })
}
