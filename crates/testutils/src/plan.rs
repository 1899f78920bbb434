//! Settings of all processes of a system on loopback hosts.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;

use crate::folder::Folder;
use crate::host::Host;

/// Port of the control replicas' and directories' own protocol.
const RPC_PORT: u16 = 7001;
/// Port of the protocol between control replicas.
const REPLICA_PORT: u16 = 7002;
/// Port of a directory's or hub's HTTP interface.
pub(crate) const HTTP_PORT: u16 = 7003;
/// Port of a gateway's own protocol.
const GATEWAY_RPC_PORT: u16 = 7004;
/// Port where callers connect, and where upstreams serve.
pub(crate) const SERVICE_PORT: u16 = 7080;
/// How long callers may cache a directory's answer.
const ROUTE_MAX_AGE: Duration = Duration::from_secs(1);
/// How long a gateway keeps accepting calls after it has announced its stop; longer
/// than [`ROUTE_MAX_AGE`] and than one call takes on a busy machine.
const LINGER: Duration = Duration::from_secs(3);
/// How long a stopping gateway waits for calls in flight.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);
/// The region of all hosts.
const REGION: &str = "north-west";
/// Failure domains, assigned to hosts in turn.
const DOMAINS: [&str; 3] = ["milano", "torino", "genova"];

/// Settings of all processes of a system, each host on its own loopback address.
pub struct Plan {
    /// Settings of the control replicas.
    pub control: Vec<control::Settings>,
    /// Settings of the directories, one on each entry host.
    pub directories: Vec<directory::Settings>,
    /// Settings of the gateways, one on each entry host.
    pub gateways: Vec<gateway::settings::Settings>,
    // Dropping the plan releases the addresses and removes the data.
    hosts: Vec<Host>,
    _folder: Folder,
}

impl Plan {
    /// Plans `replicas` control replicas and `entries` entry hosts.
    ///
    /// # Errors
    ///
    /// Fails if the folder for the replicas' data can't be created.
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

    /// Addresses at which operators reach the control replicas.
    #[must_use]
    pub fn replicas(&self) -> Vec<SocketAddr> {
        self.control.iter().map(|c| c.rpc).collect()
    }

    /// HTTP addresses of the directories, for callers and upstreams.
    #[must_use]
    pub fn directory_addresses(&self) -> Vec<SocketAddr> {
        self.directories.iter().map(|d| d.http).collect()
    }

    /// Names of the entry hosts.
    #[must_use]
    pub fn names(&self) -> Vec<HostName> {
        self.gateways.iter().map(|g| g.host.clone()).collect()
    }

    /// Settings of a stand-in on its own host, which announces itself to two directories.
    ///
    /// # Panics
    ///
    /// Panics if `service` is not a valid service name.
    pub fn standin(&mut self, service: &str, number: usize) -> standin::Settings {
        let host = Host::new();
        let settings = plan_standin(service, number, &host, &self.directory_addresses());
        self.hosts.push(host);
        settings
    }
}

/// Settings of a stand-in on `host`, which announces itself to two of
/// `directory_addresses`.
///
/// # Panics
///
/// Panics if `service` is not a valid service name.
pub(crate) fn plan_standin(
    service: &str,
    number: usize,
    host: &Host,
    directory_addresses: &[SocketAddr],
) -> standin::Settings {
    let mut settings = standin::Settings::new(
        ServiceName::new(service).expect("a valid service name"),
        InstanceId::new(&format!("{service}-{number}")).expect("a valid name"),
        domain(number),
    );
    settings.listen = host.at(SERVICE_PORT);
    settings.time = Duration::from_millis(2);
    settings.drain = Duration::from_secs(2);
    settings.seed = number as u64;
    // Two, so that the instance stays announced while one is down.
    let directories = directory_addresses
        .iter()
        .cycle()
        .skip(number)
        .take(directory_addresses.len().min(2));
    settings.directories = directories.copied().collect();
    settings
}

fn plan_control(hosts: &[Host], folder: &Folder) -> Vec<control::Settings> {
    let initial: Vec<SocketAddr> = hosts.iter().map(|h| h.at(REPLICA_PORT)).collect();
    let plan = |(i, host): (usize, &Host)| {
        let region = RegionName::new(REGION).expect("a valid name");
        let data = folder.path().join(format!("control-{i}"));
        let mut settings = control::Settings::local(name("control", i), domain(i), region, data);
        settings.rpc = host.at(RPC_PORT);
        settings.replica.listen = host.at(REPLICA_PORT);
        settings.replica.address = host.at(REPLICA_PORT);
        settings.replica.initial.clone_from(&initial);
        settings
    };
    hosts.iter().enumerate().map(plan).collect()
}

fn plan_directories(hosts: &[Host], control: &[Host]) -> Vec<directory::Settings> {
    let plan = |(i, host): (usize, &Host)| {
        let mut settings = directory::Settings::local(name("entry", i), domain(i));
        settings.http = host.at(HTTP_PORT);
        settings.rpc = host.at(RPC_PORT);
        let others = hosts.iter().enumerate().filter(|(j, _)| *j != i);
        settings.peers = others.map(|(_, h)| h.at(RPC_PORT)).collect();
        settings.control = rotated_addresses(control, i, RPC_PORT);
        settings.answers.keep = ROUTE_MAX_AGE;
        settings
    };
    hosts.iter().enumerate().map(plan).collect()
}

fn plan_gateways(hosts: &[Host], control: &[Host]) -> Vec<gateway::settings::Settings> {
    let plan = |(i, host): (usize, &Host)| {
        let mut settings = gateway::settings::Settings::local(name("entry", i), domain(i));
        settings.http = host.at(SERVICE_PORT);
        settings.rpc = host.at(GATEWAY_RPC_PORT);
        settings.directories = rotated_addresses(hosts, i, RPC_PORT);
        settings.control = rotated_addresses(control, i, RPC_PORT);
        settings.stop.linger = LINGER;
        settings.stop.finish = DRAIN_TIMEOUT;
        settings
    };
    hosts.iter().enumerate().map(plan).collect()
}

/// Addresses of all hosts at `port`, rotated to start with host `first`.
fn rotated_addresses(hosts: &[Host], first: usize, port: u16) -> Vec<SocketAddr> {
    let all = hosts.iter().cycle().skip(first).take(hosts.len());
    all.map(|h| h.at(port)).collect()
}

pub(crate) fn name(kind: &str, number: usize) -> HostName {
    HostName::new(&format!("{kind}-{number}")).expect("a valid name")
}

pub(crate) fn domain(number: usize) -> DomainName {
    DomainName::new(DOMAINS[number % DOMAINS.len()]).expect("a valid name")
}
