//! What all tasks of one entry process share.

mod evacuate;
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

use base::prelude::*;
use evacuation::Domains;
use http::Uri;
use quarantine::Quarantine;
use registry::Digest;
use slog::Logger;
use slog::info;
use table::Split;
use table::Table;
use tokio::sync::watch;
use wire::hub::EntryHost;
use wire::hub::Hearing;
use wire::hub::Instance;
use wire::hub::Phase;

use crate::counters::Counters;
use crate::desk::Desk;
use crate::dialect::Dialect;
use crate::habit::Habit;
use crate::placing::Places;
use crate::processes::Processes;
use crate::settings::Settings;
use crate::view::Instances;
use crate::view::Routes;
use crate::view::Upstream;

/// Instances told at once of which each has a log line: a change of a few dozen. Of more,
/// one line tells how many, and only those that leave have their own.
const MOST_LINES: usize = 32;

/// How far a graceful stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Serves.
    Serving,
    /// Serves on, while callers stop being sent here.
    Leaving,
    /// Takes no new connection and no new request.
    Closing,
}

/// What changes while the process runs.
#[derive(Debug, Default)]
pub struct Known {
    instances: Instances,
    desks: HashMap<ServiceName, Desk>,
    splits: HashMap<Arc<str>, Split>,
    habits: HashMap<Arc<str>, Habit>,
    hosts: Vec<EntryHost>,
    entries: u32,
    /// The failure domains to which nothing is sent.
    evacuations: Domains,
    /// Where others decide for a service.
    dispatchers: HashMap<ServiceName, SocketAddr>,
    /// Who shares what cold instances take.
    processes: Arc<Processes>,
    /// Requests that crash instances.
    quarantine: Quarantine,
}

/// The state of one entry process.
pub struct Core {
    settings: RwLock<Arc<Settings>>,
    /// Names of headers.
    pub dialect: Dialect,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub counters: Counters,
    /// The process's clock.
    pub clock: Clock,
    /// How far the stop has come.
    pub stage: watch::Sender<Stage>,
    /// Dispatchers of services.
    pub places: Places,
    /// Whether the table is known.
    pub routed: watch::Sender<bool>,
    /// Whether any instance was ever known.
    pub stocked: watch::Sender<bool>,
    /// The number of the newest crash or acquittal that the hubs are to be told of.
    pub events: watch::Sender<u64>,
    /// The number of the newest that a hub has been told of.
    pub reported: watch::Sender<u64>,
    routes: RwLock<Arc<Routes>>,
    known: Mutex<Known>,
}

impl Core {
    /// A process that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, dialect: Dialect, log: Logger, counters: Counters) -> Arc<Self> {
        Arc::new(Self {
            settings: RwLock::new(Arc::new(settings)),
            dialect,
            log,
            counters,
            clock: Clock::start(),
            stage: watch::Sender::new(Stage::Serving),
            places: Places::default(),
            routed: watch::Sender::new(false),
            stocked: watch::Sender::new(false),
            events: watch::Sender::default(),
            reported: watch::Sender::default(),
            routes: RwLock::default(),
            known: Mutex::default(),
        })
    }

    /// As they were last read.
    #[must_use]
    pub fn settings(&self) -> Arc<Settings> {
        let held = self.settings.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&held)
    }

    /// Takes settings that were read again; ports and names stay as they are.
    pub fn set_settings(&self, settings: &Settings) {
        let held = self.settings();
        let next = Settings {
            seeds: settings.seeds.clone(),
            ttl: settings.ttl,
            spread: settings.spread,
            crossing: settings.crossing,
            cold: settings.cold,
            retry: settings.retry,
            probes: settings.probes,
            dispatched: settings.dispatched,
            stop: settings.stop,
            ..(*held).clone()
        };
        info!(self.log, "settings reloaded"; "seeds" => format!("{:?}", next.seeds),
            "restart_needed" => next != *settings);
        let entries = std::mem::take(&mut self.known().entries);
        *self
            .settings
            .write()
            .unwrap_or_else(PoisonError::into_inner) = Arc::new(next);
        self.set_entries(entries);
    }

    /// The table in force; version 0 before the first.
    #[must_use]
    pub fn routes(&self) -> Arc<Routes> {
        Arc::clone(&self.routes.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts a table in force unless a newer one is.
    pub fn set_table(&self, table: Table) {
        let version = table.version;
        let routes = Arc::new(Routes::new(table));
        {
            let mut held = self.routes.write().unwrap_or_else(PoisonError::into_inner);
            if held.table.version >= version {
                return;
            }
            *held = routes;
        }
        self.forget_routes();
        self.set_warmups(&mut self.known());
        // Only the first table changes anything for those who wait.
        self.routed
            .send_if_modified(|routed| !std::mem::replace(routed, true));
        info!(self.log, "route table"; "version" => version);
    }

    /// Drops what was learned of routes that the table no longer has, as names change
    /// with every version.
    fn forget_routes(&self) {
        let routes = self.routes();
        let hosts = routes.table.hosts.iter();
        let names: HashSet<&Arc<str>> = hosts.flat_map(|h| &h.routes).map(|r| &r.name).collect();
        let mut known = self.known();
        known.habits.retain(|name, _| names.contains(name));
        known.splits.retain(|name, _| names.contains(name));
    }

    /// Whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        *self.routed.borrow() && *self.stage.borrow() == Stage::Serving
    }

    /// What is held of instances, to be compared with what a hub holds.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.known().instances.digest().clone()
    }

    /// Whether the instance hasn't said that it leaves, nor started again.
    #[must_use]
    pub fn is_ready_instance(&self, upstream: &Upstream) -> bool {
        self.known().instances.is_ready(upstream)
    }

    /// Forgets instances that left long ago.
    pub fn forget_instances(&self) {
        let now = self.clock.now();
        self.known().instances.forget(now);
    }

    /// Takes what the hub at `hub` told of instances, and which it hears.
    pub fn take_instances(&self, hub: SocketAddr, instances: &[Instance], heard: &[Hearing]) {
        if instances.is_empty() && heard.is_empty() {
            return;
        }
        // A process that starts is told of hundreds: a line for each is 11 ms of work for 900
        // of them, a tenth of a second where it has a tenth of a core, as callers wait.
        let many = instances.len() + heard.len() > MOST_LINES;
        if many {
            info!(self.log, "instances"; "hub" => %hub, "rows" => instances.len(),
                "heard" => heard.len());
        }
        let mut known = self.known();
        let mut changed = BTreeSet::new();
        for instance in instances {
            for service in known.instances.take(hub, instance) {
                if !many || instance.phase() != Phase::Ready {
                    self.log_instance(hub, instance, &service);
                }
                changed.insert(service);
            }
        }
        for hearing in heard {
            if let Some(service) = known.instances.hear(hub, hearing) {
                if !many {
                    info!(self.log, "instance"; "instance" => &hearing.id,
                        "service" => %service, "incarnation" => hearing.incarnation,
                        "heard" => hearing.heard, "hub" => %hub);
                }
                changed.insert(service);
            }
        }
        self.update_desks(&mut known, changed);
        let stocked = !known.instances.is_empty();
        drop(known);
        self.stocked
            .send_if_modified(|held| stocked && !std::mem::replace(held, true));
    }

    fn log_instance(&self, hub: SocketAddr, instance: &Instance, service: &ServiceName) {
        info!(self.log, "instance"; "instance" => &instance.id, "service" => %service,
            "phase" => instance.phase().as_str_name(), "address" => &instance.address,
            "incarnation" => instance.incarnation, "sequence" => instance.sequence,
            "heard" => instance.heard, "hub" => %hub);
    }

    /// Takes which hubs answer: what others have heard counts no more.
    pub fn keep_hearers(&self, hubs: &BTreeSet<SocketAddr>) {
        let mut known = self.known();
        let changed = known.instances.keep_hearers(hubs);
        self.update_desks(&mut known, changed.into_iter().collect());
    }

    /// Hands each service's desk its instances, once for all that was told together: a
    /// process that starts is told of hundreds, and each time costs as many steps.
    fn update_desks(&self, known: &mut Known, changed: BTreeSet<ServiceName>) {
        let now = self.clock.now();
        let settings = self.settings();
        let shared = settings.shared(known.entries);
        let domain = &settings.domain;
        for service in changed {
            let rows = known.instances.of(&service);
            let rows = rows.map(|listed| evacuate::shun(&known.evacuations, listed));
            let desk = known.desks.entry(service.clone());
            let new = || Desk::new(domain.clone(), &shared, rand::random(), now);
            desk.or_insert_with(new).update(now, rows);
        }
        self.set_warmups(known);
        share::name_dispatchers(&settings, known, now);
    }

    /// Who decides for the service, where that is another process.
    pub fn dispatcher(&self, service: &ServiceName) -> Option<SocketAddr> {
        self.known().dispatchers.get(service).copied()
    }

    /// Takes how many entry processes share what is shared out.
    pub fn set_entries(&self, entries: u32) {
        if self.known().entries != entries {
            self.share_out(entries);
        }
    }

    fn share_out(&self, entries: u32) {
        let now = self.clock.now();
        let shared = self.settings().shared(entries);
        let mut known = self.known();
        known.entries = entries;
        for desk in known.desks.values_mut() {
            desk.set_shared(&shared, now);
        }
    }

    /// Asks the desk of a service; none while it has no instance.
    pub fn desk<T>(
        &self,
        service: &ServiceName,
        ask: impl FnOnce(&mut Desk, Moment) -> T,
    ) -> Option<T> {
        let now = self.clock.now();
        let mut known = self.known();
        known.desks.get_mut(service).map(|desk| ask(desk, now))
    }

    /// Reads or changes what is usual for a route.
    pub fn habit<T>(&self, route: &table::Route, ask: impl FnOnce(&mut Habit) -> T) -> T {
        let mut known = self.known();
        let habit = known.habits.entry(Arc::clone(&route.name));
        ask(habit.or_insert_with(|| Habit::guess(route.aim, route.timeout)))
    }

    /// Asks every service's desk.
    pub fn desks<T>(&self, mut ask: impl FnMut(&mut Desk, Moment) -> T) -> Vec<(ServiceName, T)> {
        let now = self.clock.now();
        let mut known = self.known();
        let desks = known.desks.iter_mut();
        desks
            .map(|(name, desk)| (name.clone(), ask(desk, now)))
            .collect()
    }

    /// Takes the entry hosts that callers may be sent to. An empty list tells that
    /// the hubs don't know yet, so the last one stays.
    pub fn set_hosts(&self, hosts: Vec<EntryHost>) {
        let mut known = self.known();
        if !hosts.is_empty() && hosts != known.hosts {
            info!(self.log, "entry hosts"; "count" => hosts.len());
            known.hosts = hosts;
            known.processes = Arc::new(self.processes(&known));
            self.set_warmups(&mut known);
            share::name_dispatchers(&self.settings(), &mut known, self.clock.now());
        }
    }

    /// Addresses of entry hosts for a caller, nearest first, and how long it may
    /// keep them; none while no hub has told any.
    #[must_use]
    pub fn resolve(&self, name: &str, domain: &str, region: &str) -> (Vec<String>, Duration) {
        let settings = self.settings();
        let hosts = &self.known().hosts;
        let addresses = place::nearest(hosts, name, domain, region, settings.spread);
        (addresses, settings.ttl)
    }

    /// Where a service's instances tell of themselves.
    #[must_use]
    pub fn health_path(&self, service: &ServiceName) -> Option<Uri> {
        self.routes().health.get(service).cloned()
    }

    /// Whose turn it is among the parts of a split.
    pub fn turn(&self, route: &table::Route, parts: &[table::Part]) -> Option<ServiceName> {
        let mut known = self.known();
        let split = known.splits.entry(Arc::clone(&route.name)).or_default();
        split.next(parts).cloned()
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
