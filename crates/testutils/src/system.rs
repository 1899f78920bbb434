//! Starts a whole system of control replicas, directories and gateways as processes.

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
use crate::process::Process;
use crate::process::ProcessError;
use crate::process::WAIT_TIMEOUT;
use crate::upstream::Upstream;

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

quick_error! {
    /// Why a system could not be started, or did not reach an expected state.
    #[derive(Debug)]
    pub enum SystemError {
        /// The folder for the replicas' data can't be created.
        Folder(err: std::io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// A process can't be started or used.
        Process(err: ProcessError) {
            from()
            source(err)
            display("{err}")
        }
        /// A change of the catalogue was not applied.
        Operator(err: OperatorError) {
            from()
            source(err)
            display("{err}")
        }
        /// A condition did not become true within [`WAIT_TIMEOUT`].
        Timeout(what: String) {
            display("no {what} within {WAIT_TIMEOUT:?}")
        }
    }
}

/// A running system, whose processes are killed when it is dropped.
pub struct System {
    /// Settings of all processes.
    pub plan: Plan,
    /// The control replicas; `None` if taken out by the test.
    pub control: Vec<Option<Process>>,
    /// The directories, by entry host; `None` if taken out by the test.
    pub directories: Vec<Option<Process>>,
    /// The gateways, by entry host; `None` if taken out by the test.
    pub gateways: Vec<Option<Process>>,
    /// An operator of the system.
    pub operator: Operator,
    /// The catalogue version returned by the last [`apply`](Self::apply).
    pub version: u64,
}

impl System {
    /// Starts `replicas` control replicas and `entries` entry hosts, with
    /// `catalogue` in force on each of them.
    ///
    /// # Errors
    ///
    /// Fails if a process is not ready in time, or the catalogue is not in force in time.
    pub async fn start(
        replicas: usize,
        entries: usize,
        catalogue: &[Entry],
    ) -> Result<Self, SystemError> {
        Self::start_plan(Plan::new(replicas, entries)?, catalogue).await
    }

    /// Starts all processes of `plan`, with `catalogue` in force on each gateway.
    ///
    /// # Errors
    ///
    /// Fails if a process is not ready in time, or the catalogue is not in force in time.
    pub async fn start_plan(plan: Plan, catalogue: &[Entry]) -> Result<Self, SystemError> {
        let (replicas, entries) = (plan.control.len(), plan.gateways.len());
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
            let process = system.start_control(index).await?;
            system.control.push(Some(process));
        }
        for index in 0..entries {
            let process = system.start_directory(index).await?;
            system.directories.push(Some(process));
        }
        for index in 0..entries {
            let process = system.start_gateway(index).await?;
            system.gateways.push(Some(process));
        }
        system.bootstrap(catalogue).await?;
        Ok(system)
    }

    async fn bootstrap(&mut self, catalogue: &[Entry]) -> Result<(), SystemError> {
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

    /// Applies `edits` to the version applied last and returns the new version.
    ///
    /// # Errors
    ///
    /// Fails if the change is refused, or no replica confirms its outcome.
    pub async fn apply(&mut self, edits: Vec<Edit>) -> Result<u64, SystemError> {
        self.version = self.operator.apply(self.version, edits).await?;
        Ok(self.version)
    }

    /// Starts the control replica at `index` with the data on its disk.
    ///
    /// # Errors
    ///
    /// Fails if the process is not ready in time.
    pub async fn start_control(&self, index: usize) -> Result<Process, SystemError> {
        let ini = self.plan.control[index].to_string();
        Ok(Process::start(Binary::Control, &ini).await?)
    }

    /// Starts the directory at `index`.
    ///
    /// # Errors
    ///
    /// Fails if the process is not ready in time.
    pub async fn start_directory(&self, index: usize) -> Result<Process, SystemError> {
        let ini = self.plan.directories[index].to_string();
        Ok(Process::start(Binary::Directory, &ini).await?)
    }

    /// Starts the gateway at `index`.
    ///
    /// # Errors
    ///
    /// Fails if the process is not ready in time.
    pub async fn start_gateway(&self, index: usize) -> Result<Process, SystemError> {
        let ini = self.plan.gateways[index].to_string();
        Ok(Process::start(Binary::Gateway, &ini).await?)
    }

    /// Decisions logged by the gateways, for the message of a failed assertion.
    #[must_use]
    pub fn decisions(&self) -> String {
        let lines = self.gateways.iter().flatten().flat_map(Process::lines);
        let decisions: Vec<String> = lines.filter(|l| l.contains("request=")).collect();
        decisions.join("\n")
    }

    /// Address at which callers reach the gateway at `index`.
    #[must_use]
    pub fn gateway(&self, index: usize) -> SocketAddr {
        self.plan.gateways[index].http
    }

    /// HTTP address of the directory at `index`.
    #[must_use]
    pub fn directory(&self, index: usize) -> SocketAddr {
        self.plan.directories[index].http
    }

    /// Waits until the directory at `index` reports that the gateway there is serving
    /// with `version` or a later one in force.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than [`WAIT_TIMEOUT`].
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

    /// Waits until the gateway at `index` isn't fenced. Unlike [`Self::wait_in_force`], this can't
    /// be satisfied by what a directory still knows of a process before a restart.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than [`WAIT_TIMEOUT`].
    pub async fn wait_unfenced(&self, index: usize, service: &str) -> Result<(), SystemError> {
        let address = self.plan.gateways[index].rpc;
        wait(&format!("unfenced gateway {index}"), async || {
            let reply = operator::explain(address, service).await;
            reply.is_some_and(|reply| !reply.fenced)
        })
        .await
    }

    /// Starts stand-in `number` of `service`, and waits until every gateway has learned
    /// of it.
    ///
    /// # Errors
    ///
    /// Fails if the process is not ready in time.
    pub async fn upstream(
        &mut self,
        service: &'static str,
        number: usize,
    ) -> Result<Upstream, SystemError> {
        let settings = self.plan.standin(service, number);
        self.start_upstream(&settings).await
    }

    /// Starts a stand-in with `settings`, and waits until every gateway has learned of it.
    ///
    /// # Errors
    ///
    /// Fails if the process is not ready in time.
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

    /// Waits until the gateway at `index` has learned of the instance.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than [`WAIT_TIMEOUT`].
    pub async fn wait_instance(
        &self,
        index: usize,
        service: &str,
        instance: &str,
    ) -> Result<(), SystemError> {
        let address = self.plan.gateways[index].rpc;
        wait(&format!("{instance} at gateway {index}"), async || {
            let reply = operator::explain(address, service).await;
            let candidates = reply.map(|r| r.candidates).unwrap_or_default();
            candidates.iter().any(|c| c.instance == instance)
        })
        .await
    }

    /// Waits until the directory at `index` returns at least `count` gateways for `service`.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than [`WAIT_TIMEOUT`].
    pub async fn wait_route(
        &self,
        index: usize,
        service: &str,
        count: usize,
    ) -> Result<Route, SystemError> {
        let caller = Caller::new();
        let address = self.directory(index);
        let find_route = async || {
            let route = caller.route(address, service).await;
            route.filter(|r| r.addresses.len() >= count)
        };
        wait_some(&format!("route of {service}"), find_route).await
    }
}

/// Waits until `test` returns true.
///
/// # Errors
///
/// Fails if that takes longer than [`WAIT_TIMEOUT`]; the error names `what`.
pub async fn wait(what: &str, test: impl AsyncFn() -> bool) -> Result<(), SystemError> {
    wait_some(what, async || test().await.then_some(())).await
}

/// Waits until `find` returns a value.
///
/// # Errors
///
/// Fails if that takes longer than [`WAIT_TIMEOUT`]; the error names `what`.
pub async fn wait_some<T>(what: &str, find: impl AsyncFn() -> Option<T>) -> Result<T, SystemError> {
    let end = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < end {
        if let Some(found) = find().await {
            return Ok(found);
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(SystemError::Timeout(what.into()))
}
