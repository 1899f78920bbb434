//! State shared by all tasks of an entry process.

mod backoffs;
mod evacuate;
mod keys;
mod limits;
mod paths;
mod peers;
mod share;
mod suspects;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use attempt::stop::Grace;
use backoff::Backoff;
use backoff::Backoffs;
use base::prelude::*;
use bounds::Clients;
use crash::Guard;
use evacuation::EvacuationState;
use http::Uri;
use limit::Limits;
use reach::Path;
use reach::PeerSearch;
use registry::Digest;
use slog::Logger;
use slog::info;
use slog::warn;
use table::Confirmation;
use table::Table;
use table::WeightedRoundRobin;
use tokio::sync::watch;
use wire::hub::EntryHost;
use wire::hub::Hearing;
use wire::hub::Instance;
use wire::hub::Phase;

pub use self::peers::SearchProgress;
pub use self::suspects::ReportCursor;
use crate::balancer::Balancer;
use crate::counters::Counters;
use crate::dialect::Dialect;
use crate::place_client::PlaceClients;
use crate::place_client::Role;
use crate::processes::Processes;
use crate::quota;
use crate::quota::Quotas;
use crate::relay::Peer;
use crate::relay::RelayCount;
use crate::route_stats::RouteStats;
use crate::settings::Settings;
use crate::view::Instances;
use crate::view::Routes;
use crate::view::Upstream;

/// Maximum number of instances in one update that are logged one by one. A larger update is
/// logged as one line with counts, plus a line for each instance that is not ready.
const MAX_INSTANCE_LOG_LINES: usize = 32;

/// Log key of a hub's address.
const HUB_KEY: &str = "hub";

/// The stages of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Serves requests.
    Serving,
    /// Still serves requests, but reports itself as not ready.
    Draining,
    /// Accepts no new connections or requests.
    Closing,
}

/// The mutable state of the process.
#[derive(Debug, Default)]
pub struct State {
    instances: Instances,
    balancers: HashMap<ServiceName, Balancer>,
    splits: HashMap<Arc<str>, WeightedRoundRobin>,
    route_stats_by_name: HashMap<Arc<str>, RouteStats>,
    hosts: Vec<EntryHost>,
    entry_count: u32,
    /// The evacuated failure domains.
    evacuations: EvacuationState,
    /// The dispatchers of the services that another process dispatches.
    dispatcher_addresses: HashMap<ServiceName, SocketAddr>,
    /// The entry processes that share the capacity of cold instances.
    processes: Arc<Processes>,
    /// What instances named as their limits.
    limits: Limits,
    /// The instances that asked this process to send them nothing.
    backoffs: Backoffs,
    /// What the process believes of its path to each service's instances.
    paths: HashMap<ServiceName, Path>,
    /// The processes that may relay requests, by the address at which they take them.
    peers: HashMap<SocketAddr, Arc<Peer>>,
    /// The search for peers that reach the instances of each service whose path was cut.
    searches: HashMap<ServiceName, PeerSearch>,
}

/// An entry process.
pub struct Core {
    settings: RwLock<Arc<Settings>>,
    /// The names of its headers.
    pub dialect: Dialect,
    /// Its log.
    pub log: Logger,
    /// Its metrics.
    pub counters: Counters,
    /// Its clock.
    pub clock: Clock,
    /// The current stage of the shutdown.
    pub stage: watch::Sender<Stage>,
    /// The time that is left for requests once a shutdown has begun.
    pub grace: watch::Sender<Option<Grace>>,
    /// The dispatchers of other processes.
    pub dispatchers: PlaceClients,
    /// Whether there is a route table that may be obeyed.
    pub table_known: watch::Sender<bool>,
    /// The version of the route table in force, if there is one.
    pub table_version: watch::Sender<Option<u64>>,
    /// Whether any instance has ever been known.
    pub instances_known: watch::Sender<bool>,
    /// Requests suspected of crashing instances.
    pub guard: Arc<Guard>,
    /// The number of the newest limit to report to the hubs.
    pub newest_limit: watch::Sender<u64>,
    /// Whether other processes have to relay all requests, as no instance is reached from here.
    pub depends_on_peers: watch::Sender<bool>,
    /// Number of changes to what is believed of paths, of this process and of its peers.
    pub path_changes: watch::Sender<u64>,
    /// Number of requests that this process relays for others.
    pub relayed: RelayCount,
    /// The quotas of workspaces.
    pub quotas: Quotas,
    /// The connections of callers and peers, and the memory that is kept for them.
    pub clients: Clients,
    routes: RwLock<Arc<Routes>>,
    confirmation: Mutex<Confirmation>,
    state: Mutex<State>,
}

impl Core {
    /// Creates a process without a route table or instances.
    #[must_use]
    pub fn new(settings: Settings, dialect: Dialect, log: Logger, counters: Counters) -> Arc<Self> {
        let clock = Clock::start();
        let metrics = Arc::clone(counters.client());
        Arc::new(Self {
            clients: Clients::new(settings.client_limits(), log.clone(), metrics),
            quotas: Quotas::new(&settings, clock, log.clone()),
            settings: RwLock::new(Arc::new(settings)),
            dialect,
            guard: Arc::new(Guard::new(log.clone(), clock, HUB_KEY)),
            dispatchers: PlaceClients::new(Role::Dispatcher, clock, log.clone()),
            log,
            counters,
            clock,
            stage: watch::Sender::new(Stage::Serving),
            grace: watch::Sender::default(),
            table_known: watch::Sender::new(false),
            table_version: watch::Sender::default(),
            instances_known: watch::Sender::new(false),
            newest_limit: watch::Sender::default(),
            depends_on_peers: watch::Sender::default(),
            path_changes: watch::Sender::default(),
            relayed: RelayCount::default(),
            routes: RwLock::default(),
            confirmation: Mutex::default(),
            state: Mutex::default(),
        })
    }

    /// The current settings.
    #[must_use]
    pub fn settings(&self) -> Arc<Settings> {
        let current = self.settings.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&current)
    }

    /// Applies reloaded settings, except for ports and names, which need a restart.
    pub fn set_settings(&self, settings: &Settings) {
        let current = self.settings();
        let next = Settings {
            seeds: settings.seeds.clone(),
            ttl: settings.ttl,
            spread: settings.spread,
            crossing: settings.crossing,
            cold: settings.cold,
            returning: settings.returning,
            retry: settings.retry,
            probes: settings.probes,
            max_dispatched: settings.max_dispatched,
            keys: settings.keys,
            parts: settings.parts,
            stop: settings.stop,
            quota: settings.quota.clone(),
            ..(*current).clone()
        };
        info!(self.log, "settings reloaded"; "seeds" => format!("{:?}", next.seeds),
            "restart_needed" => next != *settings);
        let entry_count = std::mem::take(&mut self.state().entry_count);
        *self
            .settings
            .write()
            .unwrap_or_else(PoisonError::into_inner) = Arc::new(next);
        self.set_entry_count(entry_count);
        let settings = self.settings();
        let hosts = self.state().hosts.clone();
        self.quotas.set_hosts(self.clock.now(), &settings, &hosts);
        quota::check_bound(self);
        self.assign_dispatchers(&mut self.state(), None);
    }

    /// The current routes; there are none until the first table is received.
    #[must_use]
    pub fn routes(&self) -> Arc<Routes> {
        Arc::clone(&self.routes.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts a table into effect unless the current one is as new or newer.
    pub fn set_table(&self, table: Table) {
        let version = table.version;
        let routes = Arc::new(Routes::new(table));
        {
            let mut current = self.routes.write().unwrap_or_else(PoisonError::into_inner);
            if current.version() >= Some(version) {
                return;
            }
            *current = routes;
        }
        self.confirmation().put_in_force(version);
        self.table_version.send_if_modified(|known| {
            let before = std::mem::replace(known, Some(version).max(*known));
            before < Some(version)
        });
        self.evict_routes();
        self.set_warmups(&mut self.state());
        info!(self.log, "route table"; "version" => version);
        self.obey_table();
        quota::check_bound(self);
    }

    /// Lets requests in by the route table.
    pub fn obey_table(&self) {
        let changed = self
            .table_known
            .send_if_modified(|table_known| !std::mem::replace(table_known, true));
        if changed {
            info!(self.log, "route table obeyed"; "version" => self.routes().version());
        }
    }

    /// Refuses new requests until the table is known to be the newest, or a newer one comes.
    pub fn withhold_table(&self) {
        let changed = self
            .table_known
            .send_if_modified(|table_known| std::mem::replace(table_known, false));
        if changed {
            warn!(self.log, "route table withheld"; "version" => self.routes().version());
        }
    }

    /// Evicts the state of routes that are no longer in the table. Route names change with every
    /// version.
    fn evict_routes(&self) {
        let routes = self.routes();
        let hosts = routes.table.iter().flat_map(|table| &table.hosts);
        let names: HashSet<&Arc<str>> = hosts.flat_map(|h| &h.routes).map(|r| &r.name).collect();
        let mut state = self.state();
        state
            .route_stats_by_name
            .retain(|name, _| names.contains(name));
        state.splits.retain(|name, _| names.contains(name));
    }

    /// Whether the process is ready for callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        *self.table_known.borrow() && *self.stage.borrow() == Stage::Serving
    }

    /// The digest of the known instances, to compare with a hub's digest.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.state().instances.digest().clone()
    }

    /// Whether the instance is ready and has not restarted since `upstream` was announced, nor said
    /// in a response that it is shutting down.
    #[must_use]
    pub fn is_ready_instance(&self, upstream: &Upstream) -> bool {
        let now = self.clock.now();
        let state = self.state();
        let backoff = state.backoffs.get(now, &upstream.run());
        state.instances.is_ready(upstream) && backoff != Some(Backoff::Leaving)
    }

    /// Evicts instances that were removed long ago, and backoffs that are over.
    pub fn evict_removed_instances(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        let state = &mut *state;
        state.instances.evict_removed(now);
        state
            .backoffs
            .retain(now, |run| state.instances.is_known(run));
    }

    /// Applies what the hub at `hub` reports: instances, and which of them it receives
    /// heartbeats from.
    pub fn apply_instances(
        &self,
        hub: SocketAddr,
        instances: &[Instance],
        liveness_changes: &[Hearing],
    ) {
        if instances.is_empty() && liveness_changes.is_empty() {
            return;
        }
        // A process that starts receives hundreds of instances while requests wait for them. 900
        // lines take 11 ms of processor time, a tenth of a second with a tenth of a core.
        let many = instances.len() + liveness_changes.len() > MAX_INSTANCE_LOG_LINES;
        if many {
            info!(self.log, "instances"; "hub" => %hub, "rows" => instances.len(),
                "heard" => liveness_changes.len());
        }
        let mut state = self.state();
        let mut changed = BTreeSet::new();
        for instance in instances {
            for service in state.instances.apply(hub, instance) {
                if !many || instance.phase() != Phase::Ready {
                    self.log_instance(hub, instance, &service);
                }
                changed.insert(service);
            }
        }
        for liveness in liveness_changes {
            if let Some(service) = state.instances.apply_liveness(hub, liveness) {
                if !many {
                    info!(self.log, "instance"; "instance" => &liveness.id,
                        "service" => %service, "incarnation" => liveness.incarnation,
                        "heard" => liveness.heard, "hub" => %hub);
                }
                changed.insert(service);
            }
        }
        self.update_balancers(&mut state, &changed);
        let instances_known = !state.instances.is_empty();
        drop(state);
        self.instances_known
            .send_if_modified(|current| instances_known && !std::mem::replace(current, true));
    }

    fn log_instance(&self, hub: SocketAddr, instance: &Instance, service: &ServiceName) {
        info!(self.log, "instance"; "instance" => &instance.id, "service" => %service,
            "phase" => instance.phase().as_str_name(), "address" => &instance.address,
            "incarnation" => instance.incarnation, "sequence" => instance.sequence,
            "heard" => instance.heard, "hub" => %hub);
    }

    /// Discards heartbeat information from hubs that aren't in `hubs`.
    pub fn retain_reporting_hubs(&self, hubs: &BTreeSet<SocketAddr>) {
        let mut state = self.state();
        let changed = state.instances.retain_reporting_hubs(hubs);
        self.update_balancers(&mut state, &changed.into_iter().collect());
    }

    /// Updates the balancers of the changed services, each once per update.
    fn update_balancers(&self, state: &mut State, changed: &BTreeSet<ServiceName>) {
        let now = self.clock.now();
        let settings = self.settings();
        let shared = settings.shared_budgets(state.entry_count);
        let domain = &settings.domain;
        for service in changed {
            let instances = state.instances.of_service(service);
            let instances =
                instances.map(|status| evacuate::apply_evacuation(&state.evacuations, status));
            let balancer = state.balancers.entry(service.clone());
            let new = || Balancer::new(domain.clone(), &shared, rand::random(), now);
            let balancer = balancer.or_insert_with(new);
            balancer.set_returning(settings.returning);
            balancer.update(now, instances);
            limits::apply_known_limits(state, service, now);
            backoffs::apply_known_backoffs(state, service, now);
        }
        self.set_warmups(state);
        self.assign_dispatchers(state, Some(changed));
    }

    /// The address of the service's dispatcher, if that is another process.
    pub fn dispatcher(&self, service: &ServiceName) -> Option<SocketAddr> {
        self.state().dispatcher_addresses.get(service).copied()
    }

    /// Sets the number of entry processes that share the budgets; 0 if it is unknown.
    pub fn set_entry_count(&self, entry_count: u32) {
        if self.state().entry_count != entry_count {
            info!(self.log, "entry count"; "count" => entry_count);
            self.distribute_budgets(entry_count);
        }
    }

    fn distribute_budgets(&self, entry_count: u32) {
        let now = self.clock.now();
        let settings = self.settings();
        let shared = settings.shared_budgets(entry_count);
        let mut state = self.state();
        state.entry_count = entry_count;
        for balancer in state.balancers.values_mut() {
            balancer.set_shared(&shared, now);
            balancer.set_returning(settings.returning);
        }
    }

    /// Calls `ask` with the service's balancer. Returns `None` if the service has never had an
    /// instance.
    pub fn balancer<T>(
        &self,
        service: &ServiceName,
        ask: impl FnOnce(&mut Balancer, Moment) -> T,
    ) -> Option<T> {
        let now = self.clock.now();
        let mut state = self.state();
        state
            .balancers
            .get_mut(service)
            .map(|balancer| ask(balancer, now))
    }

    /// Calls `ask` with the statistics of a route, which are created if missing.
    pub fn route_stats<T>(
        &self,
        route: &table::Route,
        ask: impl FnOnce(&mut RouteStats) -> T,
    ) -> T {
        let mut state = self.state();
        let route_stats = state.route_stats_by_name.entry(Arc::clone(&route.name));
        ask(route_stats.or_insert_with(|| RouteStats::initial(route.aim, route.timeout)))
    }

    /// Calls `ask` with the balancer of each service.
    pub fn balancers<T>(
        &self,
        mut ask: impl FnMut(&mut Balancer, Moment) -> T,
    ) -> Vec<(ServiceName, T)> {
        let now = self.clock.now();
        let mut state = self.state();
        let balancers = state.balancers.iter_mut();
        balancers
            .map(|(name, balancer)| (name.clone(), ask(balancer, now)))
            .collect()
    }

    /// Sets the entry hosts that callers may be sent to. An empty list is ignored: the hubs
    /// don't know any host yet.
    pub fn set_hosts(&self, hosts: Vec<EntryHost>) {
        let mut state = self.state();
        if !hosts.is_empty() && hosts != state.hosts {
            info!(self.log, "entry hosts"; "count" => hosts.len());
            state.hosts = hosts;
            let settings = self.settings();
            if let Some(port) = settings.relay {
                state.update_peers(settings.front, port, self.clock.now());
                self.update_dependence(&state);
                self.path_changes.send_modify(|changes| *changes += 1);
            }
            state.processes = Arc::new(self.processes(&state));
            self.quotas
                .set_hosts(self.clock.now(), &settings, &state.hosts);
            self.set_warmups(&mut state);
            self.assign_dispatchers(&mut state, None);
        }
    }

    /// The addresses of entry hosts for a caller, nearest first, and how long the caller may
    /// cache them. There are none until a hub has reported the hosts.
    #[must_use]
    pub fn resolve(&self, name: &str, domain: &str, region: &str) -> (Vec<String>, Duration) {
        let settings = self.settings();
        let hosts = &self.state().hosts;
        let addresses = place::nearest(hosts, name, domain, region, settings.spread);
        (addresses, settings.ttl)
    }

    /// The path of the service's health page.
    #[must_use]
    pub fn health_path(&self, service: &ServiceName) -> Option<Uri> {
        self.routes().health.get(service).cloned()
    }

    /// Selects the next service of a split, by weight.
    pub fn next_split_service(
        &self,
        route: &table::Route,
        parts: &[table::WeightedService],
    ) -> Option<ServiceName> {
        let mut state = self.state();
        let split = state.splits.entry(Arc::clone(&route.name)).or_default();
        split.next(parts).cloned()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
