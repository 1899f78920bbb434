//! A whole system of real processes.

use std::net::SocketAddr;
use std::time::Duration;

use catalogue::entry::Entry;
use quick_error::quick_error;
use tokio::time::Instant;
use tokio::time::sleep;
use wire::catalogue::Edit;
use wire::catalogue::edit::Kind;
use wire::directory::HostPhase;

use crate::caller::Caller;
use crate::caller::Route;
use crate::operator;
use crate::operator::Operator;
use crate::operator::OperatorError;
use crate::plan::Plan;
use crate::process::Binary;
use crate::process::PATIENCE;
use crate::process::Process;
use crate::process::ProcessError;
use crate::upstream::Upstream;

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(20);

quick_error! {
    /// Why a system isn't as a test needs it.
    #[derive(Debug)]
    pub enum SystemError {
        /// The folder of the replicas' data.
        Folder(err: std::io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// A process.
        Process(err: ProcessError) {
            from()
            source(err)
            display("{err}")
        }
        /// The catalogue.
        Operator(err: OperatorError) {
            from()
            source(err)
            display("{err}")
        }
        /// Something didn't come about within [`PATIENCE`].
        Late(what: String) {
            display("no {what} within {PATIENCE:?}")
        }
    }
}

/// A system whose processes run; all are killed when it is dropped.
pub struct System {
    /// The settings of all processes.
    pub plan: Plan,
    /// The control replicas; `None` once taken.
    pub control: Vec<Option<Process>>,
    /// The directories, by entry host.
    pub directories: Vec<Option<Process>>,
    /// The gateways, by entry host.
    pub gateways: Vec<Option<Process>>,
    /// An operator of it.
    pub operator: Operator,
    /// The version of the catalogue that was last applied here.
    pub version: u64,
}

impl System {
    /// Starts `replicas` control replicas and `entries` entry hosts, with
    /// `catalogue` in force on each of them.
    ///
    /// # Errors
    ///
    /// Fails when a process isn't ready in time.
    pub async fn start(
        replicas: usize,
        entries: usize,
        catalogue: &[Entry],
    ) -> Result<Self, SystemError> {
        let plan = Plan::new(replicas, entries)?;
        let operator = Operator::new(&plan.replicas());
        let mut system = Self {
            control: vec![],
            directories: vec![],
            gateways: vec![],
            operator,
            version: 0,
            plan,
        };
        for index in 0..replicas {
            let process = system.new_control(index).await?;
            system.control.push(Some(process));
        }
        for index in 0..entries {
            let process = system.new_directory(index).await?;
            system.directories.push(Some(process));
        }
        for index in 0..entries {
            let process = system.new_gateway(index).await?;
            system.gateways.push(Some(process));
        }
        system.found(catalogue).await?;
        Ok(system)
    }

    async fn found(&mut self, catalogue: &[Entry]) -> Result<(), SystemError> {
        let puts = catalogue.iter().map(|e| Kind::Put(e.to_wire()));
        let names = self.plan.names();
        let hosts = names.iter().map(|h| Kind::AddGateway(h.to_string()));
        let edits = puts.chain(hosts).map(|kind| Edit { kind: Some(kind) });
        let version = self.apply(edits.collect()).await?;
        for index in 0..self.gateways.len() {
            self.wait_in_force(index, version).await?;
        }
        Ok(())
    }

    /// Applies `edits` on top of the version applied last; the new version.
    ///
    /// # Errors
    ///
    /// Fails when the change is refused.
    pub async fn apply(&mut self, edits: Vec<Edit>) -> Result<u64, SystemError> {
        self.version = self.operator.apply(self.version, edits).await?;
        Ok(self.version)
    }

    /// Starts the replica at `index` anew, with the data it has.
    ///
    /// # Errors
    ///
    /// Fails when it isn't ready in time.
    pub async fn new_control(&self, index: usize) -> Result<Process, SystemError> {
        let ini = self.plan.control[index].to_string();
        Ok(Process::start(Binary::Control, &ini).await?)
    }

    /// Starts the directory at `index` anew.
    ///
    /// # Errors
    ///
    /// Fails when it isn't ready in time.
    pub async fn new_directory(&self, index: usize) -> Result<Process, SystemError> {
        let ini = self.plan.directories[index].to_string();
        Ok(Process::start(Binary::Directory, &ini).await?)
    }

    /// Starts the gateway at `index` anew.
    ///
    /// # Errors
    ///
    /// Fails when it isn't ready in time.
    pub async fn new_gateway(&self, index: usize) -> Result<Process, SystemError> {
        let ini = self.plan.gateways[index].to_string();
        Ok(Process::start(Binary::Gateway, &ini).await?)
    }

    /// The decisions that the gateways logged, for a failed test's report.
    #[must_use]
    pub fn decisions(&self) -> String {
        let lines = self.gateways.iter().flatten().flat_map(Process::lines);
        let decisions: Vec<String> = lines.filter(|l| l.contains("request=")).collect();
        decisions.join("\n")
    }

    /// Where callers connect to the gateway at `index`.
    #[must_use]
    pub fn gateway(&self, index: usize) -> SocketAddr {
        self.plan.gateways[index].http
    }

    /// Where callers ask the directory at `index`.
    #[must_use]
    pub fn directory(&self, index: usize) -> SocketAddr {
        self.plan.directories[index].http
    }

    /// Waits until `version` or a later one is in force at the gateway at
    /// `index`, and its directory says that it serves.
    ///
    /// # Errors
    ///
    /// Fails when that takes longer than [`PATIENCE`].
    pub async fn wait_in_force(&self, index: usize, version: u64) -> Result<(), SystemError> {
        let directory = self.plan.directories[index].rpc;
        let name = self.plan.gateways[index].host.to_string();
        wait(&format!("version {version} at {name}"), async || {
            let hosts = operator::hosts(directory).await.unwrap_or_default();
            hosts
                .iter()
                .any(|h| h.host == name && h.version >= version && h.phase() == HostPhase::Serving)
        })
        .await
    }

    /// Starts stand-in `number` of `service` and waits until every gateway knows it.
    ///
    /// # Errors
    ///
    /// Fails when it isn't ready in time.
    pub async fn upstream(
        &mut self,
        service: &'static str,
        number: usize,
    ) -> Result<Upstream, SystemError> {
        let settings = self.plan.standin(service, number);
        self.start_upstream(&settings).await
    }

    /// Starts a stand-in with `settings` and waits until every gateway knows it.
    ///
    /// # Errors
    ///
    /// Fails when it isn't ready in time.
    pub async fn start_upstream(
        &self,
        settings: &standin::Settings,
    ) -> Result<Upstream, SystemError> {
        let upstream = Upstream::start(settings).await?;
        for index in 0..self.gateways.len() {
            self.wait_instance(index, settings.service.as_str(), &upstream.instance)
                .await?;
        }
        Ok(upstream)
    }

    /// Waits until the gateway at `index` knows the instance.
    ///
    /// # Errors
    ///
    /// Fails when that takes longer than [`PATIENCE`].
    pub async fn wait_instance(
        &self,
        index: usize,
        service: &str,
        instance: &str,
    ) -> Result<(), SystemError> {
        let address = self.plan.gateways[index].rpc;
        wait(&format!("{instance} at gateway {index}"), async || {
            let reply = operator::explain(address, service).await;
            let known = reply.map(|r| r.candidates).unwrap_or_default();
            known.iter().any(|c| c.instance == instance)
        })
        .await
    }

    /// Waits until the directory at `index` names at least `count` gateways for `service`.
    ///
    /// # Errors
    ///
    /// Fails when that takes longer than [`PATIENCE`].
    pub async fn wait_route(
        &self,
        index: usize,
        service: &str,
        count: usize,
    ) -> Result<Route, SystemError> {
        let caller = Caller::new();
        let address = self.directory(index);
        let found = async || {
            let route = caller.route(address, service).await;
            route.filter(|r| r.addresses.len() >= count)
        };
        wait_some(&format!("route of {service}"), found).await
    }
}

/// Waits until `test` holds.
///
/// # Errors
///
/// Fails, naming `what`, when that takes longer than [`PATIENCE`].
pub async fn wait(what: &str, test: impl AsyncFn() -> bool) -> Result<(), SystemError> {
    wait_some(what, async || test().await.then_some(())).await
}

/// Waits until `find` finds something.
///
/// # Errors
///
/// Fails, naming `what`, when that takes longer than [`PATIENCE`].
pub async fn wait_some<T>(what: &str, find: impl AsyncFn() -> Option<T>) -> Result<T, SystemError> {
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end {
        if let Some(found) = find().await {
            return Ok(found);
        }
        sleep(PAUSE).await;
    }
    Err(SystemError::Late(what.into()))
}
