//! Starts a replica from its settings.

use std::net::SocketAddr;
use std::sync::Arc;

use cadence::StatsdClient;
use consensus::HardState;
use consensus::Index;
use consensus::ReplicaId;
use consensus::Stored;
use consensus::Term;
use futures::StreamExt;
use slog::Logger;
use slog::info;
use store::Disk;
use store::Folder;
use store::Options;
use store::Recovered;
use store::Store;
use tarpc::ClientMessage;
use tarpc::Response;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::server::Config;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;
use tokio_util::task::TaskTracker;
use wire::accept::Acceptor;
use wire::api::ControlApi;
use wire::api::ControlApiRequest;
use wire::api::ControlApiResponse;
use wire::api::ReplicaApi;
use wire::api::ReplicaApiRequest;
use wire::api::ReplicaApiResponse;
use wire::link::Channel as Transport;
use wire::link::Incoming;
use wire::link::MAX_PENDING;
use wire::replica::Group;

use crate::asker::Asker;
use crate::control::ControlServer;
use crate::convert;
use crate::convert::ConvertError;
use crate::driver::Parts;
use crate::driver::Task;
use crate::error::ControlError;
use crate::founding::Distributor;
use crate::founding::Founder;
use crate::handle::Control;
use crate::handle::Ends;
use crate::input::Driver;
use crate::input::View;
use crate::joining::Joiner;
use crate::machine::Machine;
use crate::peers::Peers;
use crate::replica::Identity;
use crate::replica::ReplicaServer;
use crate::settings::Settings;
use crate::switch::Switch;
use crate::table::TableDesk;
use crate::writer::Writer;

/// Most connections on one port at once.
const MAX_CONNECTIONS: usize = 1024;

/// Both ports, bound and not yet served.
pub struct Bound {
    rpc: Incoming<ClientMessage<ControlApiRequest>, Response<ControlApiResponse>>,
    replica: Incoming<ClientMessage<ReplicaApiRequest>, Response<ReplicaApiResponse>>,
}

/// Binds both ports; port 0 takes a free one.
///
/// # Errors
///
/// Fails when one can't be bound.
pub async fn bind(settings: &Settings) -> Result<Bound, ControlError> {
    let fail = |address| move |err| ControlError::Bind(address, err);
    let (rpc, replica) = (settings.rpc, settings.replica.listen);
    Ok(Bound {
        rpc: wire::link::listen(rpc).await.map_err(fail(rpc))?,
        replica: wire::link::listen(replica).await.map_err(fail(replica))?,
    })
}

/// Binds, opens the data folder and starts.
///
/// # Errors
///
/// Fails when a port can't be bound or the data folder can't be used.
pub async fn start(settings: Settings, log: Logger) -> Result<Control, ControlError> {
    let disk = Folder::open(&settings.data)?;
    bind(&settings)
        .await?
        .start(settings, Box::new(disk), log)
        .await
}

impl Bound {
    /// Where directories, gateways and operators connect.
    #[must_use]
    pub fn rpc(&self) -> SocketAddr {
        self.rpc.local_addr()
    }

    /// Where other replicas connect.
    #[must_use]
    pub fn replica(&self) -> SocketAddr {
        self.replica.local_addr()
    }

    /// Starts on `disk`; a published port 0 stands for the bound one.
    ///
    /// # Errors
    ///
    /// Fails when the data folder can't be used.
    pub async fn start(
        self,
        settings: Settings,
        disk: Box<dyn Disk>,
        log: Logger,
    ) -> Result<Control, ControlError> {
        let segment_bytes = settings.sizes.segment.0;
        let opening = move || Store::open(disk, Options { segment_bytes }, rand::random());
        let (store, recovered) = tokio::task::spawn_blocking(opening).await??;
        let metrics = telemetry::metrics::start(settings.telemetry.sink, settings.host.as_str())?;
        let plan = Plan {
            identity: Arc::new(self.identity(&settings, recovered.id)),
            settings,
            switch: Switch::default(),
            metrics: Arc::new(metrics),
            log,
        };
        plan.start(self, store, &recovered)
    }

    fn identity(&self, settings: &Settings, id: u64) -> Identity {
        let mut address = settings.replica.address;
        if address.port() == 0 {
            address.set_port(self.replica().port());
        }
        let initial = settings.replica.initial.iter();
        let mut initial: Vec<String> = initial.map(ToString::to_string).collect();
        initial.sort_unstable();
        Identity {
            id,
            address,
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            initial,
        }
    }
}

/// What all parts of a starting replica share.
struct Plan {
    settings: Settings,
    identity: Arc<Identity>,
    switch: Switch,
    metrics: Arc<StatsdClient>,
    log: Logger,
}

impl Plan {
    fn start(
        self,
        bound: Bound,
        store: Store,
        recovered: &Recovered,
    ) -> Result<Control, ControlError> {
        let (rpc, replica) = (bound.rpc(), bound.replica());
        let stored = stored(recovered)?;
        let group = convert::group_to_wire(&stored.snapshot.config);
        let empty = stored == Stored::empty(stored.id);
        let unfounded = empty && !self.identity.initial.is_empty();
        info!(self.log, "recovered"; "id" => recovered.id, "term" => recovered.state.term,
            "snapshot" => stored.snapshot.position.index.0, "entries" => stored.entries.len(),
            "commit" => stored.commit.0,
            "torn" => recovered.torn);
        let stored_index = stored.snapshot.position.index.0;
        let (driver, inbox) = Driver::new();
        let (views, view) = watch::channel(View::default());
        let parts = self.parts(store, stored, views, unfounded)?;
        let end = CancellationToken::new();
        let ends = Ends::default();
        let task = tokio::spawn({
            let run = Task::new(parts).run(inbox, end.clone());
            let ends = ends.clone();
            async move {
                let result = run.await;
                // A replica that stopped by itself keeps nobody waiting.
                ends.accept.cancel();
                ends.serve.cancel();
                result
            }
        });
        let group = (!empty && stored_index == 0).then_some(group);
        let founding = tokio::spawn(self.founding(&driver, unfounded, group));
        let open = TaskTracker::new();
        let server = self.control_server(&driver, view, &ends);
        let desk = TableDesk::new(&server);
        let mut accepts = JoinSet::new();
        let acceptor = Acceptor {
            max_connections: MAX_CONNECTIONS,
            stop: ends.accept.clone(),
            log: self.log.clone(),
        };
        accepts.spawn(acceptor.clone().run(bound.rpc, {
            let (ends, open) = (ends.clone(), open.clone());
            move |channel| ends.bound(serve_control(channel, server.clone(), open.clone()))
        }));
        let server = self.replica_server(&driver);
        accepts.spawn(acceptor.run(bound.replica, {
            let ends = ends.clone();
            move |channel| ends.bound(serve_replica(channel, server.clone()))
        }));
        info!(self.log, "ready"; "id" => recovered.id, "address" => %rpc, "replica" => %replica);
        Ok(Control {
            id: recovered.id,
            rpc,
            replica,
            desk,
            driver,
            switch: self.switch,
            ends,
            end,
            open,
            accepts,
            task,
            founding: AbortOnDropHandle::new(founding),
            settings: self.settings,
            log: self.log,
        })
    }

    fn parts(
        &self,
        store: Store,
        stored: Stored,
        views: watch::Sender<View>,
        unfounded: bool,
    ) -> Result<Parts, ControlError> {
        let (writer, reports) = Writer::start(store)?;
        let sizes = self.settings.sizes;
        let snapshot_bytes = usize::try_from(sizes.snapshot.0).unwrap_or(usize::MAX);
        let preset = consensus::Settings::default();
        let settings = consensus::Settings {
            heartbeat: self.settings.timing.heartbeat,
            election: self.settings.timing.election,
            keep_bytes: preset.keep_bytes.min(snapshot_bytes / 2),
            ..preset
        };
        let peers = Peers::new(
            stored.id,
            self.identity.address,
            self.switch.clone(),
            Arc::clone(&self.metrics),
        );
        Ok(Parts {
            settings,
            machine: Machine::restore(&stored.snapshot.data)?,
            stored,
            writer,
            reports,
            peers,
            views,
            unfounded,
            snapshot_bytes,
            group: usize::try_from(sizes.group).unwrap_or(usize::MAX),
            automatic: !self.settings.replica.seeds.is_empty(),
            seed: rand::random(),
            log: self.log.clone(),
            metrics: Arc::clone(&self.metrics),
        })
    }

    /// Founds the group when there is none, and hands it on while it is the founding one.
    fn founding(
        &self,
        driver: &Driver,
        unfounded: bool,
        group: Option<Group>,
    ) -> impl Future<Output = ()> + Send + use<> {
        let founder = unfounded.then(|| Founder {
            identity: Arc::clone(&self.identity),
            acceptance: self.settings.replica.acceptance,
            driver: driver.clone(),
            switch: self.switch.clone(),
            log: self.log.clone(),
        });
        let identity = Arc::clone(&self.identity);
        let switch = self.switch.clone();
        let seeds = self.settings.replica.seeds.clone();
        let joiner = (!seeds.is_empty()).then(|| Joiner {
            identity: Arc::clone(&self.identity),
            seeds,
            driver: driver.clone(),
            switch: self.switch.clone(),
            log: self.log.clone(),
        });
        async move {
            let group = match founder {
                Some(founder) => founder.run().await,
                None => group,
            };
            let handing = async {
                if let Some(group) = group {
                    let distributor = Distributor {
                        identity,
                        group,
                        switch,
                    };
                    distributor.run().await;
                }
            };
            let joining = async {
                if let Some(joiner) = joiner {
                    joiner.run().await;
                }
            };
            tokio::join!(handing, joining);
        }
    }

    fn control_server(
        &self,
        driver: &Driver,
        views: watch::Receiver<View>,
        ends: &Ends,
    ) -> ControlServer {
        let timing = self.settings.timing;
        ControlServer {
            driver: driver.clone(),
            asker: Asker::new(driver.clone(), self.switch.clone(), timing),
            views,
            timing,
            switch: self.switch.clone(),
            stopping: ends.accept.clone(),
            log: self.log.clone(),
        }
    }

    fn replica_server(&self, driver: &Driver) -> ReplicaServer {
        ReplicaServer {
            identity: Arc::clone(&self.identity),
            driver: driver.clone(),
            switch: self.switch.clone(),
            log: self.log.clone(),
        }
    }
}

/// Reads what the disk held into the log's own types.
fn stored(recovered: &Recovered) -> Result<Stored, ConvertError> {
    let mut stored = Stored::empty(ReplicaId(recovered.id));
    stored.hard = HardState {
        term: Term(recovered.state.term),
        vote: Some(ReplicaId(recovered.state.vote)).filter(|id| id.0 != 0),
    };
    if let Some(snapshot) = &recovered.snapshot {
        stored.snapshot = convert::snapshot(snapshot)?;
    }
    let entries = recovered.entries.iter().map(convert::entry);
    stored.entries = entries.collect::<Result<_, _>>()?;
    stored.commit = Index(recovered.commit);
    Ok(stored)
}

async fn serve_control(
    channel: Transport<ClientMessage<ControlApiRequest>, Response<ControlApiResponse>>,
    server: ControlServer,
    open: TaskTracker,
) {
    BaseChannel::new(config(), channel)
        .max_concurrent_requests(MAX_PENDING)
        .execute(server.serve())
        .for_each(|request| {
            open.spawn(request);
            std::future::ready(())
        })
        .await;
}

async fn serve_replica(
    channel: Transport<ClientMessage<ReplicaApiRequest>, Response<ReplicaApiResponse>>,
    server: ReplicaServer,
) {
    BaseChannel::new(config(), channel)
        .max_concurrent_requests(MAX_PENDING)
        .execute(server.serve())
        .for_each(|request| {
            tokio::spawn(request);
            std::future::ready(())
        })
        .await;
}

fn config() -> Config {
    Config {
        pending_response_buffer: MAX_PENDING,
    }
}
