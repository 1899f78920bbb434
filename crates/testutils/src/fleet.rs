//! Starts hubs and entry processes, and upstreams that announce themselves to the hubs.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use table::Table;
use wire::hub::TableOutcome;
use wire::link::within;
use wire::peer;

use crate::caller::Caller;
use crate::caller::Reply;
use crate::caller::Request;
use crate::folder::Folder;
use crate::host::Host;
use crate::plan::HTTP_PORT;
use crate::plan::SERVICE_PORT;
use crate::plan::domain;
use crate::plan::name;
use crate::plan::plan_standin;
use crate::process::Binary;
use crate::process::Process;
use crate::process::ProcessError;
use crate::process::field;
use crate::system::SystemError;
use crate::system::wait;
use crate::tables;
use crate::upstream::Upstream;

/// Port of a hub's own protocol, and the first of the ports that it uses.
const HUB_PORT: u16 = 7010;
/// Port of an entry process's readiness page.
const READY_PORT: u16 = 7081;
/// Timeout of one call to a hub.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings of all processes of a fleet, each on its own loopback host.
pub struct Layout {
    /// Settings of the hubs.
    pub hubs: Vec<hub::Settings>,
    /// Settings of the entry processes.
    pub entries: Vec<entry::Settings>,
    // Dropping the layout releases the addresses and removes the data.
    hosts: Vec<Host>,
    _folder: Folder,
}

impl Layout {
    /// Plans `hubs` hubs, which bootstrap a new system, and `entries` entry processes.
    ///
    /// # Errors
    ///
    /// Fails if the folder for the hubs' data can't be created.
    pub fn new(hubs: usize, entries: usize) -> io::Result<Self> {
        let hosts: Vec<Host> = (0..hubs + entries).map(|_| Host::new()).collect();
        let folder = Folder::new()?;
        let (core, edge) = hosts.split_at(hubs);
        let seeds: Vec<SocketAddr> = core.iter().map(|h| h.at(HUB_PORT)).collect();
        let hubs = core.iter().enumerate();
        let hubs = hubs.map(|(i, host)| plan_hub(i, host, &seeds, &folder));
        let entries = edge.iter().enumerate();
        let entries = entries.map(|(i, host)| plan_entry(i, host, &seeds));
        Ok(Self {
            hubs: hubs.collect(),
            entries: entries.collect(),
            hosts,
            _folder: folder,
        })
    }

    /// Settings of a stand-in on its own host, which announces itself to two hubs.
    ///
    /// # Panics
    ///
    /// Panics if `service` is not a valid service name.
    pub fn upstream(&mut self, service: &str, number: usize) -> standin::Settings {
        let host = Host::new();
        let settings = plan_standin(service, number, &host, &self.hub_http_addresses());
        self.hosts.push(host);
        settings
    }

    /// HTTP addresses of the hubs, for upstreams and callers.
    #[must_use]
    pub fn hub_http_addresses(&self) -> Vec<SocketAddr> {
        self.hubs.iter().filter_map(|plan| plan.http).collect()
    }

    /// Sends a route table to the hubs, retrying until one accepts it.
    ///
    /// # Errors
    ///
    /// Fails if none accepts the table within [`WAIT_TIMEOUT`](crate::process::WAIT_TIMEOUT).
    pub async fn put(&self, table: &Table) -> Result<(), SystemError> {
        wait("accepted route table", async || self.put_once(table).await).await
    }

    /// Sends a route table to each hub in turn, and returns whether one accepted it.
    ///
    /// # Panics
    ///
    /// Panics if the table can't be encoded.
    pub async fn put_once(&self, table: &Table) -> bool {
        let content = table::codec::encode(table).expect("a table that can be encoded");
        let row = wire::hub::Table {
            version: table.version,
            content: content.into(),
            ..wire::hub::Table::default()
        };
        for plan in &self.hubs {
            if put(plan, &row).await {
                return true;
            }
        }
        false
    }
}

/// Whether the hub accepted the table, or already had that or a newer version.
async fn put(plan: &hub::Settings, row: &wire::hub::Table) -> bool {
    let link = peer::hub(plan.hub_at(plan.address));
    let Ok(client) = link.client().await else {
        return false;
    };
    let reply = client.put_table(within(CALL_TIMEOUT), row.clone()).await;
    reply.is_ok_and(|reply| reply.outcome() != TableOutcome::Unspecified)
}

/// A running fleet, whose processes are killed when it is dropped.
pub struct Fleet {
    /// The hubs; `None` if taken out by the test.
    pub hubs: Vec<Option<Process>>,
    /// The entry processes; `None` if taken out by the test.
    pub entries: Vec<Option<Process>>,
    /// Settings of all processes.
    pub layout: Layout,
}

impl Fleet {
    /// Starts `hubs` hubs and `entries` entry processes, without a route table.
    ///
    /// # Errors
    ///
    /// Fails if a process is not ready in time.
    pub async fn start(hubs: usize, entries: usize) -> Result<Self, SystemError> {
        Self::start_layout(Layout::new(hubs, entries)?).await
    }

    /// Starts all hubs and entry processes of `layout`, without a route table.
    ///
    /// # Errors
    ///
    /// Fails if a process is not ready in time.
    pub async fn start_layout(layout: Layout) -> Result<Self, SystemError> {
        let (hubs, entries) = (layout.hubs.len(), layout.entries.len());
        let mut fleet = Self {
            hubs: vec![],
            entries: vec![],
            layout,
        };
        let started = join_all((0..hubs).map(|i| fleet.start_hub(i))).await;
        for process in started {
            fleet.hubs.push(Some(process?));
        }
        let started = join_all((0..entries).map(|i| fleet.start_entry(i))).await;
        for process in started {
            fleet.entries.push(Some(process?));
        }
        Ok(fleet)
    }

    /// Starts the hub at `index` with the data on its disk.
    ///
    /// # Errors
    ///
    /// Fails if the hub is not ready in time.
    pub async fn start_hub(&self, index: usize) -> Result<Process, ProcessError> {
        Process::start(Binary::Hub, &self.layout.hubs[index].to_string()).await
    }

    /// Starts the entry process at `index`.
    ///
    /// # Errors
    ///
    /// Fails if the entry process is not ready in time.
    pub async fn start_entry(&self, index: usize) -> Result<Process, ProcessError> {
        Process::start(Binary::Entry, &self.layout.entries[index].to_string()).await
    }

    /// Waits until the entry process at `index` has `version` or a later one in force.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than [`WAIT_TIMEOUT`](crate::process::WAIT_TIMEOUT).
    ///
    /// # Panics
    ///
    /// Panics if the test has taken the process out.
    pub async fn wait_table(&self, index: usize, version: u64) -> Result<(), SystemError> {
        let process = self.entries[index].as_ref().expect("a running process");
        let is_in_force = |line: &str| {
            let found = field(line, "version").and_then(|text| text.parse::<u64>().ok());
            field(line, "msg") == Some("route table") && found.is_some_and(|v| v >= version)
        };
        process.wait_line(is_in_force).await?;
        Ok(())
    }

    /// Starts a stand-in of `service` on its own host, and waits until every running
    /// entry process has learned of it.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in is not ready in time.
    pub async fn upstream(
        &mut self,
        service: &str,
        number: usize,
    ) -> Result<Upstream, SystemError> {
        let settings = self.layout.upstream(service, number);
        self.start_upstream(&settings).await
    }

    /// Starts a stand-in with `settings`, and waits until every running entry process
    /// has learned of it.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in is not ready in time.
    pub async fn start_upstream(
        &self,
        settings: &standin::Settings,
    ) -> Result<Upstream, SystemError> {
        let upstream = Upstream::start(settings).await?;
        let id_prefix = format!("{}:", upstream.instance);
        let is_announced = |line: &str| {
            let instance = field(line, "instance");
            field(line, "msg") == Some("instance")
                && instance.is_some_and(|id| id.starts_with(&id_prefix))
        };
        for process in self.entries.iter().flatten() {
            process.wait_line(is_announced).await?;
        }
        Ok(upstream)
    }

    /// Starts three hubs, `entries` entry processes with the plain route table, and `instances`
    /// stand-ins of the status service with settings that `configure` may change.
    ///
    /// # Errors
    ///
    /// Fails if a process is not ready in time, or the table is not accepted.
    pub async fn start_with_status(
        entries: usize,
        instances: usize,
        configure: impl Fn(&mut standin::Settings),
    ) -> Result<(Self, Vec<Upstream>), SystemError> {
        let mut fleet = Self::start(3, entries).await?;
        fleet.layout.put(&tables::plain(1)).await?;
        for index in 0..entries {
            fleet.wait_table(index, 1).await?;
        }
        let mut upstreams = Vec::new();
        for number in 0..instances {
            let mut settings = fleet.layout.upstream(tables::STATUS, number);
            configure(&mut settings);
            upstreams.push(fleet.start_upstream(&settings).await?);
        }
        Ok((fleet, upstreams))
    }

    /// Sends `request` to the entry process at `index`.
    pub async fn call(&self, index: usize, request: &Request) -> Reply {
        let address = self.layout.entries[index].front;
        Caller::new().call(address, request).await
    }
}

fn plan_hub(index: usize, host: &Host, seeds: &[SocketAddr], folder: &Folder) -> hub::Settings {
    let data = folder.path().join(format!("hub-{index}"));
    hub::Settings {
        port: HUB_PORT,
        http: Some(host.at(HTTP_PORT)),
        seeds: seeds.to_vec(),
        found: true,
        ..hub::Settings::local(
            name("hub", index),
            domain(index),
            data,
            host.at(HUB_PORT).ip(),
        )
    }
}

fn plan_entry(index: usize, host: &Host, seeds: &[SocketAddr]) -> entry::Settings {
    entry::Settings {
        ready: host.at(READY_PORT),
        port: HUB_PORT,
        seeds: seeds.to_vec(),
        ..entry::Settings::local(name("entry", index), domain(index), host.at(SERVICE_PORT))
    }
}
