//! Starts all roles of a small system in one process.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use catalogue::entry::Entry;
use control::Control;
use directory::Directory;
use gateway::Gateway;
use quick_error::quick_error;
use standin::StandIn;
use standin::runs::Runs;
use telemetry::log::silent;
use testutils::Operator;
use testutils::Plan;
use testutils::operator::OperatorError;
use testutils::system::SystemError;
use testutils::system::wait;
use wire::catalogue::Edit;
use wire::catalogue::edit::Kind;
use wire::directory::HostPhase;

/// Control replicas.
const REPLICAS: usize = 3;
/// Entry hosts, each with a directory and a gateway.
const ENTRIES: usize = 4;
/// Instances of each service.
const INSTANCES: usize = 3;

quick_error! {
    /// Why the roles can't be started or changed.
    #[derive(Debug)]
    pub enum RolesError {
        /// The folder for the replicas' data can't be created.
        Folder(err: io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// A control replica can't be started.
        Control(err: control::ControlError) {
            from()
            source(err)
            display("control: {err}")
        }
        /// A directory can't be started.
        Directory(err: directory::StartError) {
            from()
            source(err)
            display("directory: {err}")
        }
        /// A gateway can't be started.
        Gateway(err: gateway::StartError) {
            from()
            source(err)
            display("gateway: {err}")
        }
        /// A stand-in can't be started.
        StandIn(err: standin::StartError) {
            from()
            source(err)
            display("stand-in: {err}")
        }
        /// A change of the catalogue was not applied.
        Operator(err: OperatorError) {
            from()
            source(err)
            display("operator: {err}")
        }
        /// A condition was not met in time.
        Timeout(err: SystemError) {
            from()
            source(err)
            display("{err}")
        }
    }
}

/// The running roles.
pub struct Roles {
    /// Settings of all roles.
    pub plan: Plan,
    /// An operator of the system.
    pub operator: Operator,
    /// The stand-ins by instance, without those that were killed.
    pub upstreams: BTreeMap<String, StandIn>,
    /// Runs of every stand-in by instance, including those that were killed.
    pub runs: BTreeMap<String, Runs>,
    /// The gateways; `None` once stopped.
    pub gateways: Vec<Option<Gateway>>,
    directories: Vec<Directory>,
    control: Vec<Control>,
}

impl Roles {
    /// Starts all roles, with `entries` in force on every entry host.
    ///
    /// # Errors
    ///
    /// Fails if a role can't start or is not ready in time.
    pub async fn start(entries: &[Entry]) -> Result<Self, RolesError> {
        let plan = Plan::new(REPLICAS, ENTRIES)?;
        let mut roles = Self {
            operator: Operator::new(&plan.replicas()),
            upstreams: BTreeMap::new(),
            runs: BTreeMap::new(),
            gateways: vec![],
            directories: vec![],
            control: vec![],
            plan,
        };
        roles.start_hosts().await?;
        let puts = entries.iter().map(|e| Kind::Put(e.to_wire()));
        let names = roles.plan.names();
        let hosts = names.iter().map(|h| Kind::AddGateway(h.to_string()));
        let edits = puts.chain(hosts).map(|kind| Edit { kind: Some(kind) });
        let version = roles.operator.apply(0, edits.collect()).await?;
        roles.wait_in_force(version).await?;
        for entry in entries {
            roles.start_upstreams(entry.service.as_str()).await?;
        }
        roles.wait_routes(entries).await?;
        Ok(roles)
    }

    async fn start_hosts(&mut self) -> Result<(), RolesError> {
        let metrics = telemetry::metrics::silent;
        for settings in self.plan.control.clone() {
            let control = control::start(settings, silent()).await?;
            self.control.push(control);
        }
        for settings in self.plan.directories.clone() {
            let directory = directory::start(settings, silent(), metrics()).await?;
            self.directories.push(directory);
        }
        for settings in self.plan.gateways.clone() {
            let gateway = gateway::start(settings, silent(), metrics()).await?;
            self.gateways.push(Some(gateway));
        }
        Ok(())
    }

    async fn start_upstreams(&mut self, service: &str) -> Result<(), RolesError> {
        for number in 0..INSTANCES {
            let settings = self.plan.standin(service, number);
            let instance = settings.instance.to_string();
            let upstream = standin::start(settings, silent()).await?;
            self.runs.insert(instance.clone(), upstream.runs().clone());
            self.upstreams.insert(instance, upstream);
        }
        Ok(())
    }

    /// Waits until `version` or a later one is in force on every entry host with a running
    /// gateway.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than [`WAIT_TIMEOUT`](testutils::process::WAIT_TIMEOUT).
    pub async fn wait_in_force(&self, version: u64) -> Result<(), RolesError> {
        let directory = self.plan.directories[0].rpc;
        let serving = self.gateways.iter().flatten().count();
        let what = format!("version {version} on {serving} hosts");
        wait(&what, async || {
            let hosts = testutils::operator::hosts(directory).await;
            let in_force = hosts
                .unwrap_or_default()
                .into_iter()
                .filter(|h| h.phase() == HostPhase::Serving && h.version >= version);
            in_force.count() >= serving
        })
        .await?;
        Ok(())
    }

    async fn wait_routes(&self, entries: &[Entry]) -> Result<(), RolesError> {
        let caller = testutils::Caller::new();
        for entry in entries {
            for address in self.directory_addresses() {
                let service = entry.service.as_str();
                let what = format!("route to {service} at {address}");
                wait(&what, async || {
                    let route = caller.route(address, service).await;
                    route.is_some_and(|r| r.addresses.len() > 1)
                })
                .await?;
            }
        }
        Ok(())
    }

    /// HTTP addresses of the directories.
    #[must_use]
    pub fn directory_addresses(&self) -> Vec<SocketAddr> {
        self.plan.directory_addresses()
    }

    /// Stops all roles gracefully, the gateways first.
    pub async fn stop(self) {
        let gateways = self.gateways.into_iter().flatten().map(Gateway::stop);
        futures::future::join_all(gateways).await;
        let directories = self.directories.into_iter().map(Directory::stop);
        futures::future::join_all(directories).await;
        let control = self.control.into_iter().map(Control::stop);
        futures::future::join_all(control).await;
    }
}
