//! Hubs and entry processes as real processes, and upstreams that announce
//! themselves to the hubs.

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
use crate::plan::ASK;
use crate::plan::SERVE;
use crate::plan::domain;
use crate::plan::name;
use crate::plan::plan_standin;
use crate::process::Binary;
use crate::process::Process;
use crate::process::ProcessError;
use crate::process::field;
use crate::system::SystemError;
use crate::system::wait;
use crate::upstream::Upstream;

/// First of the ports that hubs use.
const HUB: u16 = 7010;
/// Port of the readiness page.
const READY: u16 = 7081;
/// Longest wait for one answer of a hub.
const CALL_TIME: Duration = Duration::from_secs(2);

/// The settings of all processes of a fleet, each on a host of its own.
pub struct Layout {
    /// The hubs.
    pub hubs: Vec<hub::Settings>,
    /// The entry processes.
    pub entries: Vec<entry::Settings>,
    // The numbers and folders are free again when the layout is dropped.
    hosts: Vec<Host>,
    _folder: Folder,
}

impl Layout {
    /// A layout of `hubs` hubs, which found a new system, and `entries` entry processes.
    ///
    /// # Errors
    ///
    /// Fails when no folder for the hubs' data can be had.
    pub fn new(hubs: usize, entries: usize) -> io::Result<Self> {
        let hosts: Vec<Host> = (0..hubs + entries).map(|_| Host::new()).collect();
        let folder = Folder::new()?;
        let (core, edge) = hosts.split_at(hubs);
        let seeds: Vec<SocketAddr> = core.iter().map(|h| h.at(HUB)).collect();
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

    /// Settings of a stand-in on a host of its own, announced to two hubs.
    ///
    /// # Panics
    ///
    /// Panics when `service` is no name, which is a fault of the test.
    pub fn upstream(&mut self, service: &str, number: usize) -> standin::Settings {
        let host = Host::new();
        let settings = plan_standin(service, number, &host, &self.asks());
        self.hosts.push(host);
        settings
    }

    /// Where upstreams and callers reach the hubs.
    #[must_use]
    pub fn asks(&self) -> Vec<SocketAddr> {
        self.hubs.iter().filter_map(|plan| plan.http).collect()
    }

    /// Puts a table at any hub, until one has taken it.
    ///
    /// # Errors
    ///
    /// Fails when none does within the patience of tests.
    pub async fn put(&self, table: &Table) -> Result<(), SystemError> {
        wait("table taken", async || self.put_once(table).await).await
    }

    /// Puts a table at one hub after the other; whether one has taken it.
    ///
    /// # Panics
    ///
    /// Panics when the table can't be written, which is a fault of the test.
    pub async fn put_once(&self, table: &Table) -> bool {
        let content = table::codec::encode(table).expect("a table that can be written");
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

/// Whether the hub took the table, or held it or a newer one.
async fn put(plan: &hub::Settings, row: &wire::hub::Table) -> bool {
    let link = peer::hub(plan.hub_at(plan.address));
    let Ok(client) = link.client().await else {
        return false;
    };
    let reply = client.put_table(within(CALL_TIME), row.clone()).await;
    reply.is_ok_and(|reply| reply.outcome() != TableOutcome::Unspecified)
}

/// A running fleet; all its processes are killed when it is dropped.
pub struct Fleet {
    /// The hubs; `None` once taken.
    pub hubs: Vec<Option<Process>>,
    /// The entry processes; `None` once taken.
    pub entries: Vec<Option<Process>>,
    /// The settings of all of them.
    pub layout: Layout,
}

impl Fleet {
    /// Starts `hubs` hubs and `entries` entry processes, without a table.
    ///
    /// # Errors
    ///
    /// Fails when a process isn't ready in time.
    pub async fn start(hubs: usize, entries: usize) -> Result<Self, SystemError> {
        let mut fleet = Self {
            hubs: vec![],
            entries: vec![],
            layout: Layout::new(hubs, entries)?,
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

    /// Starts the hub at `index` anew, with the data it has.
    ///
    /// # Errors
    ///
    /// Fails when it isn't ready in time.
    pub async fn start_hub(&self, index: usize) -> Result<Process, ProcessError> {
        Process::start(Binary::Hub, &self.layout.hubs[index].to_string()).await
    }

    /// Starts the entry process at `index` anew.
    ///
    /// # Errors
    ///
    /// Fails when it isn't ready in time.
    pub async fn start_entry(&self, index: usize) -> Result<Process, ProcessError> {
        Process::start(Binary::Entry, &self.layout.entries[index].to_string()).await
    }

    /// Waits until the entry process at `index` has `version` or a later one in force.
    ///
    /// # Errors
    ///
    /// Fails when that takes longer than the patience of tests.
    ///
    /// # Panics
    ///
    /// Panics when the process was taken, which is a fault of the test.
    pub async fn wait_table(&self, index: usize, version: u64) -> Result<(), SystemError> {
        let process = self.entries[index].as_ref().expect("a running process");
        let told = |line: &str| {
            let found = field(line, "version").and_then(|text| text.parse::<u64>().ok());
            field(line, "msg") == Some("route table") && found.is_some_and(|v| v >= version)
        };
        process.wait_line(told).await?;
        Ok(())
    }

    /// Starts a stand-in of `service`, on a host of its own, and waits until every
    /// entry process that runs knows it.
    ///
    /// # Errors
    ///
    /// Fails when it isn't ready in time.
    pub async fn upstream(
        &mut self,
        service: &str,
        number: usize,
    ) -> Result<Upstream, SystemError> {
        let settings = self.layout.upstream(service, number);
        self.start_upstream(&settings).await
    }

    /// Starts a stand-in with `settings` and waits until it is known.
    ///
    /// # Errors
    ///
    /// Fails when it isn't ready in time.
    pub async fn start_upstream(
        &self,
        settings: &standin::Settings,
    ) -> Result<Upstream, SystemError> {
        let upstream = Upstream::start(settings).await?;
        let life = format!("{}:", upstream.instance);
        let told = |line: &str| {
            let instance = field(line, "instance");
            field(line, "msg") == Some("instance")
                && instance.is_some_and(|id| id.starts_with(&life))
        };
        for process in self.entries.iter().flatten() {
            process.wait_line(told).await?;
        }
        Ok(upstream)
    }

    /// Sends `ask` to the entry process at `index`.
    pub async fn call(&self, index: usize, ask: &Request) -> Reply {
        let address = self.layout.entries[index].front;
        Caller::new().call(address, ask).await
    }
}

fn plan_hub(index: usize, host: &Host, seeds: &[SocketAddr], folder: &Folder) -> hub::Settings {
    let data = folder.path().join(format!("hub-{index}"));
    hub::Settings {
        port: HUB,
        http: Some(host.at(ASK)),
        seeds: seeds.to_vec(),
        found: true,
        ..hub::Settings::local(name("hub", index), domain(index), data, host.at(HUB).ip())
    }
}

fn plan_entry(index: usize, host: &Host, seeds: &[SocketAddr]) -> entry::Settings {
    entry::Settings {
        ready: host.at(READY),
        port: HUB,
        seeds: seeds.to_vec(),
        ..entry::Settings::local(name("entry", index), domain(index), host.at(SERVE))
    }
}
