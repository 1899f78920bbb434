//! A plan of a system on loopback hosts: the settings of each of its processes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;

use crate::folder::Folder;
use crate::host::Host;

/// Port of the replicas' and directories' and gateways' own protocol.
const RPC: u16 = 7001;
/// Port between replicas.
const REPLICA: u16 = 7002;
/// Port where callers ask a directory or hub.
pub(crate) const ASK: u16 = 7003;
/// Port of a gateway's own protocol.
const GATEWAY_RPC: u16 = 7004;
/// Port where callers connect, and where upstreams serve.
pub(crate) const SERVE: u16 = 7080;
/// How long callers keep a directory's answer in tests.
const KEEP: Duration = Duration::from_secs(1);
/// How long a gateway serves on after it told of its stop, longer than [`KEEP`] and
/// than a busy machine takes for one call.
const LINGER: Duration = Duration::from_secs(3);
/// How long a stopping process waits for what is in flight.
const FINISH: Duration = Duration::from_secs(20);
/// The region of all hosts.
const REGION: &str = "north-west";
/// The failure domains, over which hosts are spread in turn.
const DOMAINS: [&str; 3] = ["milano", "torino", "genova"];

/// Settings of all processes of one system.
pub struct Plan {
    /// The control replicas.
    pub control: Vec<control::Settings>,
    /// The directories, one on each entry host.
    pub directories: Vec<directory::Settings>,
    /// The gateways, one on each entry host.
    pub gateways: Vec<gateway::settings::Settings>,
    // The numbers and folders are free again when the plan is dropped.
    hosts: Vec<Host>,
    _folder: Folder,
}

impl Plan {
    /// A plan of `replicas` control replicas and `entries` entry hosts.
    ///
    /// # Errors
    ///
    /// Fails when no folder for the replicas' data can be had.
    pub fn new(replicas: usize, entries: usize) -> io::Result<Self> {
        let hosts: Vec<Host> = (0..replicas + entries).map(|_| Host::new()).collect();
        let (control, entry) = hosts.split_at(replicas);
        let folder = Folder::new()?;
        let plan = Self {
            control: plan_control(control, &folder),
            directories: plan_directories(entry, control),
            gateways: plan_gateways(entry, control),
            hosts,
            _folder: folder,
        };
        Ok(plan)
    }

    /// Where operators reach the replicas.
    #[must_use]
    pub fn replicas(&self) -> Vec<SocketAddr> {
        self.control.iter().map(|c| c.rpc).collect()
    }

    /// Where callers and upstreams reach the directories.
    #[must_use]
    pub fn asks(&self) -> Vec<SocketAddr> {
        self.directories.iter().map(|d| d.http).collect()
    }

    /// The names of the entry hosts.
    #[must_use]
    pub fn names(&self) -> Vec<HostName> {
        self.gateways.iter().map(|g| g.host.clone()).collect()
    }

    /// Settings of a stand-in on a host of its own, announced to two directories.
    ///
    /// # Panics
    ///
    /// Panics when `service` is no name, which is a fault of the test.
    pub fn standin(&mut self, service: &str, number: usize) -> standin::Settings {
        let host = Host::new();
        let settings = plan_standin(service, number, &host, &self.asks());
        self.hosts.push(host);
        settings
    }
}

/// Settings of a stand-in on `host`, announced to two of `asks`.
///
/// # Panics
///
/// Panics when `service` is no name, which is a fault of the test.
pub(crate) fn plan_standin(
    service: &str,
    number: usize,
    host: &Host,
    asks: &[SocketAddr],
) -> standin::Settings {
    let mut settings = standin::Settings::new(
        ServiceName::new(service).expect("a valid service name"),
        InstanceId::new(&format!("{service}-{number}")).expect("a valid name"),
        domain(number),
    );
    settings.listen = host.at(SERVE);
    settings.time = Duration::from_millis(2);
    settings.drain = Duration::from_secs(2);
    settings.seed = number as u64;
    // Two of them, so that one may be lost; they pass it on.
    let homes = asks.iter().cycle().skip(number).take(asks.len().min(2));
    settings.directories = homes.copied().collect();
    settings
}

fn plan_control(hosts: &[Host], folder: &Folder) -> Vec<control::Settings> {
    let initial: Vec<SocketAddr> = hosts.iter().map(|h| h.at(REPLICA)).collect();
    let plan = |(i, host): (usize, &Host)| {
        let region = RegionName::new(REGION).expect("a valid name");
        let data = folder.path().join(format!("control-{i}"));
        let mut settings = control::Settings::local(name("control", i), domain(i), region, data);
        settings.rpc = host.at(RPC);
        settings.replica.listen = host.at(REPLICA);
        settings.replica.address = host.at(REPLICA);
        settings.replica.initial.clone_from(&initial);
        settings
    };
    hosts.iter().enumerate().map(plan).collect()
}

fn plan_directories(hosts: &[Host], control: &[Host]) -> Vec<directory::Settings> {
    let plan = |(i, host): (usize, &Host)| {
        let mut settings = directory::Settings::local(name("entry", i), domain(i));
        settings.http = host.at(ASK);
        settings.rpc = host.at(RPC);
        let others = hosts.iter().enumerate().filter(|(j, _)| *j != i);
        settings.peers = others.map(|(_, h)| h.at(RPC)).collect();
        settings.control = turned(control, i, RPC);
        settings.answers.keep = KEEP;
        settings
    };
    hosts.iter().enumerate().map(plan).collect()
}

fn plan_gateways(hosts: &[Host], control: &[Host]) -> Vec<gateway::settings::Settings> {
    let plan = |(i, host): (usize, &Host)| {
        let mut settings = gateway::settings::Settings::local(name("entry", i), domain(i));
        settings.http = host.at(SERVE);
        settings.rpc = host.at(GATEWAY_RPC);
        settings.directories = turned(hosts, i, RPC);
        settings.control = turned(control, i, RPC);
        settings.stop.linger = LINGER;
        settings.stop.finish = FINISH;
        settings
    };
    hosts.iter().enumerate().map(plan).collect()
}

/// The addresses of all hosts at `port`, beginning with number `first`.
fn turned(hosts: &[Host], first: usize, port: u16) -> Vec<SocketAddr> {
    let all = hosts.iter().cycle().skip(first).take(hosts.len());
    all.map(|h| h.at(port)).collect()
}

pub(crate) fn name(kind: &str, number: usize) -> HostName {
    HostName::new(&format!("{kind}-{number}")).expect("a valid name")
}

pub(crate) fn domain(number: usize) -> DomainName {
    DomainName::new(DOMAINS[number % DOMAINS.len()]).expect("a valid name")
}
