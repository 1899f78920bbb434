//! An entry process with a test table, and upstreams with scripted behavior.
#![allow(dead_code, reason = "each test binary uses its own part")]

pub mod caller;
pub mod lines;
pub mod proxy;
pub mod scripted;
pub mod upstream;

use std::env;
use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use entry::Dialect;
use entry::Entry;
use entry::Settings;
use entry::settings::Retry;
use entry::settings::Stop;
use slog::Level;
use slog::Logger;
use table::Host;
use table::Kind;
use table::Route;
use table::Service;
use table::Table;
use table::Target;
use table::WeightedService;
use telemetry::log::LogGuard;
use wire::hub::EntryHost;
use wire::hub::Instance;
use wire::hub::Phase;

use self::proxy::Path;
use self::proxy::Proxy;
use self::upstream::Behavior;
use self::upstream::Upstream;

/// Names the file that the processes of a fleet append their logs to; without it they log
/// nothing.
const LOG_VARIABLE: &str = "RWR_FLEET_LOG";
/// The host name of all routes.
pub const HOST: &str = "example.org";
/// The hub that reports instances.
pub const HUB: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7012);
/// The port at which processes on hosts of their own take relayed requests.
pub const RELAY_PORT: u16 = 7013;
/// The port at which proxies of a fleet listen, each at an address of its own.
const PROXY_PORT: u16 = 7914;
/// A route with idempotent requests.
pub const READ: &str = "/read/";
/// A route whose requests must not run twice.
pub const ONCE: &str = "/once/";
/// A route with a short timeout.
pub const SHORT: &str = "/short/";

fn name(text: &str) -> ServiceName {
    ServiceName::new(text).expect("a name")
}

fn route(prefix: &str, kind: Kind, timeout: Duration) -> Route {
    Route {
        name: prefix.into(),
        prefix: prefix.into(),
        kind,
        timeout: Some(timeout),
        aim: Some(Duration::from_secs(10)),
        priority: 0,
        attempts: 2,
        target: Target::Service(name("status")),
        public: false,
    }
}

/// A table with two services and a route of each kind.
pub fn table(version: u64) -> Table {
    let long = Duration::from_secs(30);
    let short = Duration::from_millis(200);
    Table {
        version,
        services: ["status", "other"]
            .map(|service| Service {
                name: name(service),
                health: "/health".into(),
                connections: 240,
                cold: None,
            })
            .into(),
        hosts: vec![Host {
            name: HOST.into(),
            routes: vec![
                route(READ, Kind::Idempotent, long),
                route(ONCE, Kind::Once, long),
                Route {
                    aim: Some(short / 4),
                    ..route(SHORT, Kind::Once, short)
                },
            ],
        }],
        ..Table::default()
    }
}

/// The same table with the read route split between two services.
pub fn split(version: u64, weights: [u32; 2]) -> Table {
    let mut table = table(version);
    let parts = ["status", "other"].into_iter().zip(weights);
    let parts = parts.map(|(service, weight)| WeightedService {
        service: name(service),
        weight,
    });
    table.hosts[0].routes[0].target = Target::Split(parts.collect());
    table
}

pub fn settings() -> Settings {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let host = HostName::new("entry-1").expect("a name");
    let domain = DomainName::new("a").expect("a name");
    Settings {
        probes: 1_000,
        // Each request earns a retry.
        retry: Retry {
            percent: 200,
            ..Retry::default()
        },
        stop: Stop {
            linger: Duration::from_millis(300),
            grace: Duration::from_secs(20),
        },
        ..Settings::local(host, domain, free)
    }
}

/// Starts an entry process without a table or instances.
pub async fn start_unconfigured() -> Entry {
    start_with(settings()).await
}

pub async fn start_with(settings: Settings) -> Entry {
    let log = telemetry::log::silent();
    let entry = Entry::start(settings, Dialect::default(), log).await;
    entry.expect("starts")
}

/// Starts an entry process with the test table, and the upstreams as instances of one service.
pub async fn entry(upstreams: &[&Upstream]) -> Entry {
    configure(start_unconfigured().await, upstreams)
}

/// Like [`entry`], but the process probes no instance.
pub async fn entry_without_probes(upstreams: &[&Upstream]) -> Entry {
    let settings = Settings {
        probes: 0,
        ..settings()
    };
    configure(start_with(settings).await, upstreams)
}

/// Gives the process the test table, and the upstreams as instances of one service.
pub fn configure(entry: Entry, upstreams: &[&Upstream]) -> Entry {
    entry.core().set_table(table(1));
    let instances: Vec<Instance> = upstreams.iter().map(|u| instance(u, "status")).collect();
    entry.core().apply_instances(HUB, &instances, &[]);
    entry
}

pub fn instance(upstream: &Upstream, service: &str) -> Instance {
    Instance {
        address: upstream.address.to_string(),
        ..instance_of(&upstream.id, service)
    }
}

/// An instance without an address.
pub fn instance_of(id: &str, service: &str) -> Instance {
    Instance {
        id: id.into(),
        service: service.into(),
        domain: "a".into(),
        slots: 6,
        phase: Phase::Ready.into(),
        sequence: 1,
        ..Instance::default()
    }
}

/// The instance as a balancer selects it.
pub fn selected(upstream: &Upstream, entry: &Entry) -> Arc<entry::view::Upstream> {
    let heard = Instance {
        sequence: 2,
        heard: true,
        ..instance(upstream, "status")
    };
    entry.core().apply_instances(HUB, &[heard], &[]);
    let service = ServiceName::new("status").expect("a name");
    let live = entry.core().live_instances(&service);
    live.into_iter().next().expect("the instance")
}

/// Sends a probe to the instance, and waits briefly for its end.
pub async fn probe(selected: &Arc<entry::view::Upstream>, entry: &Entry) {
    let (core, service) = (entry.core(), &selected.service);
    let ids = [selected.id.to_string()];
    let picks = core.balancer(service, |balancer, _| balancer.picks(&ids));
    let probed = picks.into_iter().flatten();
    let probed = probed.map(|pick| (pick, Arc::clone(selected))).collect();
    entry::probe::probe_instances(core, service, probed).await;
}

/// Entry processes on hosts of their own, and the upstreams that all of them know. Each process
/// reaches the upstreams through proxies of its own.
pub struct Fleet {
    pub upstreams: Vec<Upstream>,
    /// The failure domain of each upstream.
    pub upstream_domains: Vec<String>,
    /// The proxies of each process.
    pub proxies: Vec<Vec<Proxy>>,
    pub entries: Vec<Entry>,
    _logs: Vec<LogGuard>,
}

impl Fleet {
    /// Starts `count` processes of one failure domain at addresses of the given network, so that
    /// their ports are free.
    pub async fn start(network: u8, count: u8, behavior: Behavior) -> Self {
        Self::start_domains(network, &[("a", count)], behavior).await
    }

    /// Starts the given number of processes in each failure domain, and three upstreams in `a`.
    pub async fn start_domains(network: u8, domains: &[(&str, u8)], behavior: Behavior) -> Self {
        Self::start_with_upstreams(network, domains, &[("a", 3)], behavior).await
    }

    /// Starts the given number of processes and of upstreams in each failure domain.
    pub async fn start_with_upstreams(
        network: u8,
        domains: &[(&str, u8)],
        upstream_domains: &[(&str, u8)],
        behavior: Behavior,
    ) -> Self {
        let domains = repeat_domains(domains);
        let upstream_domains = repeat_domains(upstream_domains);
        let mut upstreams = Vec::new();
        for (number, _) in (1..).zip(&upstream_domains) {
            upstreams.push(Upstream::start(&format!("i-{number}"), behavior).await);
        }
        let start_proxies = |entry| {
            let upstreams = (1..).zip(&upstreams);
            let proxies = upstreams.map(|(number, upstream)| {
                let address = SocketAddr::from(([127, network, entry, number], PROXY_PORT));
                Proxy::start(address, upstream.address)
            });
            proxies.collect()
        };
        let numbered = (1..).zip(&domains);
        let proxies = numbered.map(|(entry, _)| start_proxies(entry)).collect();
        let mut entries = Vec::new();
        let mut logs = Vec::new();
        for (number, domain) in (1_u8..).zip(domains) {
            let address = SocketAddr::from(([127, 81, network, number], 0));
            let settings = Settings {
                host: HostName::new(&format!("entry-{number}")).expect("a name"),
                domain: DomainName::new(domain).expect("a name"),
                front: address,
                ready: address,
                relay: Some(RELAY_PORT),
                ..settings()
            };
            let (log, guard) = start_log(settings.host.as_str());
            logs.extend(guard);
            let entry = Entry::start(settings, Dialect::default(), log).await;
            entries.push(entry.expect("starts"));
        }
        let fleet = Self {
            upstreams,
            upstream_domains: upstream_domains.into_iter().map(Into::into).collect(),
            proxies,
            entries,
            _logs: logs,
        };
        fleet.announce();
        fleet
    }

    fn announce(&self) {
        let hosts: Vec<EntryHost> = self.entries.iter().map(host_of).collect();
        for (entry, proxies) in self.entries.iter().zip(&self.proxies) {
            let domains = self.upstream_domains.iter();
            let instances = self.upstreams.iter().zip(proxies).zip(domains);
            let instances = instances.map(|((upstream, proxy), domain)| Instance {
                address: proxy.address.to_string(),
                domain: domain.clone(),
                heard: true,
                ..instance(upstream, "status")
            });
            let instances: Vec<Instance> = instances.collect();
            entry.core().set_table(table(1));
            entry.core().apply_instances(HUB, &instances, &[]);
            entry.core().set_hosts(hosts.clone());
        }
    }

    /// Changes the path from the first process to all upstreams.
    pub async fn set_path(&self, path: Path) {
        self.set_path_of(0, path).await;
    }

    /// Changes the path from one of the processes to all upstreams.
    pub async fn set_path_of(&self, index: usize, path: Path) {
        for proxy in &self.proxies[index] {
            proxy.set(path).await;
        }
    }

    /// Opens the path from the first process again, and waits for a connection on it.
    pub async fn open_path(&self) {
        let proxies = &self.proxies[0];
        let before: Vec<usize> = proxies.iter().map(Proxy::accepted).collect();
        self.set_path(Path::Open).await;
        let waits = proxies.iter().zip(before);
        let waits = waits.map(|(proxy, before)| Box::pin(proxy.wait_for_more(before)));
        futures::future::select_all(waits).await;
    }

    /// Number of requests that the upstreams received.
    pub fn received(&self) -> usize {
        let received = self.upstreams.iter().map(Upstream::received_requests);
        received.map(|requests| requests.len()).sum()
    }

    /// How often the upstreams received the request.
    pub fn runs(&self, id: &str) -> usize {
        let received = self.upstreams.iter().flat_map(Upstream::received_requests);
        let is_same = |request: &upstream::ReceivedRequest| {
            request.header("rwr-request-id").as_deref() == Some(id)
        };
        received.filter(is_same).count()
    }
}

/// The name of each failure domain, as often as its number says.
fn repeat_domains<'a>(domains: &[(&'a str, u8)]) -> Vec<&'a str> {
    let domains = domains.iter();
    let names = domains.flat_map(|(domain, count)| std::iter::repeat_n(*domain, (*count).into()));
    names.collect()
}

/// A log for a process of a fleet.
fn start_log(host: &str) -> (Logger, Option<LogGuard>) {
    let Some(path) = env::var_os(LOG_VARIABLE) else {
        return (telemetry::log::silent(), None);
    };
    let file = File::options().create(true).append(true).open(path);
    let file = file.expect("a writable file");
    let (log, guard) = telemetry::log::start(file, Level::Info, "rwr-entry", host);
    (log, Some(guard))
}

/// The process as hubs list it.
pub fn host_of(entry: &Entry) -> EntryHost {
    EntryHost {
        address: entry.front().to_string(),
        domain: entry.core().settings().domain.to_string(),
        ..EntryHost::default()
    }
}
