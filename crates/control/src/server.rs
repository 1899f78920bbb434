//! Starts a replica from its settings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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

use crate::control::ControlServer;
use crate::convert;
use crate::convert::ConvertError;
use crate::currency::Currency;
use crate::distributing::Distributor;
use crate::driver::Driver;
use crate::driver::Parts;
use crate::error::ControlError;
use crate::founding::Founder;
use crate::founding::FoundingEnd;
use crate::handle::Control;
use crate::handle::ShutdownTokens;
use crate::initial::InitialReplicas;
use crate::input::DriverHandle;
use crate::input::Input;
use crate::input::View;
use crate::joining::Joiner;
use crate::leader_client::LeaderClient;
use crate::local_client::LocalClient;
use crate::partition::Partition;
use crate::peers::Peers;
use crate::replica::Identity;
use crate::replica::ReplicaServer;
use crate::settings::Settings;
use crate::state_machine::StateMachine;
use crate::survey::Surveyor;
use crate::writer::Writer;

/// Maximum number of concurrent connections per port.
const MAX_CONNECTIONS: usize = 1024;

/// The two bound listeners, before they accept connections.
pub struct Bound {
    rpc: Incoming<ClientMessage<ControlApiRequest>, Response<ControlApiResponse>>,
    replica: Incoming<ClientMessage<ReplicaApiRequest>, Response<ReplicaApiResponse>>,
}

/// Binds both ports; port 0 selects a free one.
///
/// # Errors
///
/// Fails when a port cannot be bound.
pub async fn bind(settings: &Settings) -> Result<Bound, ControlError> {
    let bind_error = |address| move |err| ControlError::Bind(address, err);
    let (rpc, replica) = (settings.rpc, settings.replica.listen);
    Ok(Bound {
        rpc: wire::link::listen(rpc).await.map_err(bind_error(rpc))?,
        replica: wire::link::listen(replica)
            .await
            .map_err(bind_error(replica))?,
    })
}

/// Opens the data folder, binds the ports and starts the replica.
///
/// # Errors
///
/// Fails when a port cannot be bound or the data folder cannot be used.
pub async fn start(settings: Settings, log: Logger) -> Result<Control, ControlError> {
    let disk = Folder::open(&settings.data)?;
    bind(&settings)
        .await?
        .start(settings, Box::new(disk), log)
        .await
}

impl Bound {
    /// The address for directories, gateways and operators.
    #[must_use]
    pub fn rpc(&self) -> SocketAddr {
        self.rpc.local_addr()
    }

    /// The address for other replicas.
    #[must_use]
    pub fn replica(&self) -> SocketAddr {
        self.replica.local_addr()
    }

    /// Starts the replica on `disk`. A port 0 in the published address is replaced by the
    /// bound port.
    ///
    /// # Errors
    ///
    /// Fails when the data folder cannot be used.
    pub async fn start(
        self,
        settings: Settings,
        disk: Box<dyn Disk>,
        log: Logger,
    ) -> Result<Control, ControlError> {
        let segment_bytes = settings.sizes.segment.0;
        let new = new_identity(&settings);
        let open_store = move || Store::open(disk, Options { segment_bytes }, new);
        let (store, recovered) = tokio::task::spawn_blocking(open_store).await??;
        let metrics = telemetry::metrics::start(settings.telemetry.sink, settings.host.as_str())?;
        let startup = Startup {
            identity: Arc::new(self.identity(&settings, recovered.identity.id)),
            settings,
            partition: Partition::default(),
            metrics: Arc::new(metrics),
            log,
        };
        startup.start(self, store, &recovered)
    }

    fn identity(&self, settings: &Settings, id: u64) -> Identity {
        let mut address = settings.replica.address;
        if address.port() == 0 {
            address.set_port(self.replica().port());
        }
        Identity {
            id,
            address,
            domain: settings.domain.clone(),
            region: settings.region.clone(),
        }
    }
}

/// The identity of a replica whose data folder is empty.
fn new_identity(settings: &Settings) -> wire::store::Identity {
    let initial = settings.replica.initial.iter();
    let mut initial: Vec<String> = initial.map(ToString::to_string).collect();
    initial.sort_unstable();
    wire::store::Identity {
        id: rand::random(),
        initial,
    }
}

/// Settings and dependencies shared by the tasks of a replica.
struct Startup {
    settings: Settings,
    identity: Arc<Identity>,
    partition: Partition,
    metrics: Arc<StatsdClient>,
    log: Logger,
}

impl Startup {
    fn start(
        self,
        bound: Bound,
        store: Store,
        recovered: &Recovered,
    ) -> Result<Control, ControlError> {
        let (rpc, replica) = (bound.rpc(), bound.replica());
        let stored = stored(recovered)?;
        let id = recovered.identity.id;
        let is_empty = stored == Stored::empty(stored.id);
        let initial = if is_empty {
            recovered.identity.initial.clone()
        } else {
            Vec::new()
        };
        let awaits_founding = !initial.is_empty();
        info!(self.log, "recovered"; "id" => id, "initial" => initial.join(","), "term" => recovered.state.term,
            "snapshot" => stored.snapshot.position.index.0, "entries" => stored.entries.len(),
            "commit" => stored.commit.0, "vote" => recovered.state.vote,
            "torn" => recovered.torn_bytes);
        let initial = Arc::new(InitialReplicas::new(initial));
        let (driver, inbox) = DriverHandle::new();
        let (views, view) = watch::channel(View::default());
        let parts = self.parts(store, stored, recovered.sync_time, views, awaits_founding)?;
        let driver_stop = CancellationToken::new();
        let shutdown = ShutdownTokens::default();
        let driver_task = tokio::spawn({
            let run = Driver::new(parts).run(inbox, driver_stop.clone());
            let shutdown = shutdown.clone();
            async move {
                let result = run.await;
                // Closes all connections also when the driver fails.
                shutdown.stop_accepting.cancel();
                shutdown.close_connections.cancel();
                result
            }
        });
        let founding = tokio::spawn(self.run_founding(&driver, is_empty, &initial));
        let open_requests = TaskTracker::new();
        let server = self.new_control_server(&driver, view.clone(), &shutdown);
        let (currency, known_currency) = watch::channel(Currency::default());
        let local_client = LocalClient::new(&server, known_currency);
        let surveyor = Surveyor {
            identity: Arc::clone(&self.identity),
            driver: driver.clone(),
            views: view,
            partition: self.partition.clone(),
            currency,
            log: self.log.clone(),
        };
        let survey = tokio::spawn(surveyor.run());
        let mut acceptors = JoinSet::new();
        let acceptor = Acceptor {
            max_connections: MAX_CONNECTIONS,
            stop: shutdown.stop_accepting.clone(),
            log: self.log.clone(),
        };
        acceptors.spawn(acceptor.clone().run(bound.rpc, {
            let (shutdown, open_requests) = (shutdown.clone(), open_requests.clone());
            move |channel| {
                shutdown.run_until_closed(serve_control(
                    channel,
                    server.clone(),
                    open_requests.clone(),
                ))
            }
        }));
        let server = self.new_replica_server(&driver, initial);
        acceptors.spawn(acceptor.run(bound.replica, {
            let shutdown = shutdown.clone();
            move |channel| shutdown.run_until_closed(serve_replica(channel, server.clone()))
        }));
        info!(self.log, "ready"; "id" => id, "address" => %rpc, "replica" => %replica);
        Ok(Control {
            id,
            rpc,
            replica,
            local_client,
            driver,
            partition: self.partition,
            shutdown,
            driver_stop,
            open_requests,
            acceptors,
            driver_task,
            founding: AbortOnDropHandle::new(founding),
            survey: AbortOnDropHandle::new(survey),
            settings: self.settings,
            log: self.log,
        })
    }

    fn parts(
        &self,
        store: Store,
        stored: Stored,
        sync_time: Duration,
        views: watch::Sender<View>,
        awaits_founding: bool,
    ) -> Result<Parts, ControlError> {
        let (writer, reports) = Writer::start(store)?;
        let sizes = self.settings.sizes;
        let snapshot_bytes = usize::try_from(sizes.snapshot.0).unwrap_or(usize::MAX);
        let defaults = consensus::Settings::default();
        let settings = consensus::Settings {
            heartbeat_interval: self.settings.timing.heartbeat,
            election_timeout: self.settings.timing.election,
            first_write: sync_time,
            max_retained_bytes: defaults.max_retained_bytes.min(snapshot_bytes / 2),
            ..defaults
        };
        let peers = Peers::new(
            stored.id,
            self.identity.address,
            self.partition.clone(),
            Arc::clone(&self.metrics),
        );
        Ok(Parts {
            settings,
            state_machine: StateMachine::restore(&stored.snapshot.data)?,
            stored,
            writer,
            reports,
            peers,
            views,
            awaits_founding,
            snapshot_bytes,
            max_write_commands: usize::try_from(sizes.group).unwrap_or(usize::MAX),
            automatic: !self.settings.replica.seeds.is_empty(),
            seed: rand::random(),
            log: self.log.clone(),
            metrics: Arc::clone(&self.metrics),
        })
    }

    /// Founds the group or joins one if the store `is_empty`, distributes a founding group to its
    /// members, and runs the joiner.
    fn run_founding(
        &self,
        driver: &DriverHandle,
        is_empty: bool,
        initial: &Arc<InitialReplicas>,
    ) -> impl Future<Output = ()> + Send + use<> {
        let founder = Founder {
            identity: Arc::clone(&self.identity),
            initial: Arc::clone(initial),
            acceptance: self.settings.replica.acceptance,
            driver: driver.clone(),
            partition: self.partition.clone(),
            log: self.log.clone(),
        };
        let joiner = Joiner {
            identity: Arc::clone(&self.identity),
            seeds: self.settings.replica.seeds.clone(),
            driver: driver.clone(),
            partition: self.partition.clone(),
            log: self.log.clone(),
        };
        async move {
            if is_empty {
                found_or_join(&founder, &joiner).await;
            }
            tokio::join!(distribute(&founder), joiner.run());
        }
    }

    fn new_control_server(
        &self,
        driver: &DriverHandle,
        views: watch::Receiver<View>,
        shutdown: &ShutdownTokens,
    ) -> ControlServer {
        let timing = self.settings.timing;
        ControlServer {
            driver: driver.clone(),
            leader_client: LeaderClient::new(driver.clone(), self.partition.clone(), timing),
            views,
            timing,
            partition: self.partition.clone(),
            stopping: shutdown.stop_accepting.clone(),
            log: self.log.clone(),
        }
    }

    fn new_replica_server(
        &self,
        driver: &DriverHandle,
        initial: Arc<InitialReplicas>,
    ) -> ReplicaServer {
        ReplicaServer {
            identity: Arc::clone(&self.identity),
            initial,
            driver: driver.clone(),
            partition: self.partition.clone(),
            log: self.log.clone(),
        }
    }
}

/// Returns once the replica, which has no log, has the founding group; runs the joiner until then if
/// it knows no initial replicas.
async fn found_or_join(founder: &Founder, joiner: &Joiner) {
    loop {
        if founder.initial.known().is_empty() {
            tokio::select! {
                () = joiner.run() => {}
                () = founder.wait_for_initial() => {}
            }
        }
        if founder.run().await == FoundingEnd::Member {
            return;
        }
    }
}

/// Distributes the founding group, if the replica has it.
async fn distribute(founder: &Founder) {
    let group = founder.driver.call(Input::FoundingGroup).await;
    if let Ok(Some(group)) = group {
        let distributor = Distributor {
            identity: Arc::clone(&founder.identity),
            group,
            partition: founder.partition.clone(),
        };
        distributor.run().await;
    }
}

/// Converts recovered data to the types of the replicated log.
fn stored(recovered: &Recovered) -> Result<Stored, ConvertError> {
    let mut stored = Stored::empty(ReplicaId(recovered.identity.id));
    stored.hard_state = HardState {
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
    open_requests: TaskTracker,
) {
    BaseChannel::new(config(), channel)
        .max_concurrent_requests(MAX_PENDING)
        .execute(server.serve())
        .for_each(|request| {
            open_requests.spawn(request);
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
