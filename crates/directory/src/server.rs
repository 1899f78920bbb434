//! Starts and stops a directory.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bounds::BoundedAcceptor;
use cadence::StatsdClient;
use crash::report;
use members::homes::Location;
use quick_error::quick_error;
use salvo::Server;
use salvo::server::ServerHandle;
use slog::Logger;
use slog::info;
use telemetry::metrics::MetricsError;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;
use wire::peer;
use wire::peer::DirectoryLink;

use crate::follow;
use crate::http;
use crate::peers;
use crate::rpc;
use crate::rpc::Listener;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::suspects;
use crate::sweep;

quick_error! {
    /// Why a directory cannot start.
    #[derive(Debug)]
    pub enum StartError {
        /// A socket cannot listen.
        Listen(address: SocketAddr, err: io::Error) {
            source(err)
            display("listen at {address}: {err}")
        }
        /// The metrics cannot be set up.
        Metrics(err: MetricsError) {
            from()
            source(err)
            display("{err}")
        }
    }
}

/// A directory whose sockets listen but that does not serve yet.
pub struct Bound {
    settings: Settings,
    log: Logger,
    metrics: StatsdClient,
    http: TcpListener,
    http_address: SocketAddr,
    rpc: Listener,
}

/// Binds the addresses of the settings.
///
/// # Errors
///
/// Fails when an address is not available.
pub async fn bind(
    settings: Settings,
    log: Logger,
    metrics: StatsdClient,
) -> Result<Bound, StartError> {
    let wrap = |err| StartError::Listen(settings.http, err);
    let http = TcpListener::bind(settings.http).await.map_err(wrap)?;
    let http_address = http.local_addr().map_err(wrap)?;
    let rpc = rpc::listen(settings.rpc).await;
    let rpc = rpc.map_err(|err| StartError::Listen(settings.rpc, err))?;
    Ok(Bound {
        settings,
        log,
        metrics,
        http,
        http_address,
        rpc,
    })
}

/// Binds the addresses and starts serving.
///
/// # Errors
///
/// Fails when an address is not available.
pub async fn start(
    settings: Settings,
    log: Logger,
    metrics: StatsdClient,
) -> Result<Directory, StartError> {
    bind(settings, log, metrics).await?.serve()
}

impl Bound {
    /// HTTP address for upstreams and callers.
    #[must_use]
    pub fn http(&self) -> SocketAddr {
        self.http_address
    }

    /// `tarpc` address for gateways, directories and operators.
    #[must_use]
    pub fn rpc(&self) -> SocketAddr {
        self.rpc.local_addr()
    }

    /// Sets the peers, for addresses that are only known after binding.
    pub fn set_peers(&mut self, peers: Vec<SocketAddr>) {
        self.settings.peers = peers;
    }

    /// Sets the control replicas, for addresses that are only known after binding.
    pub fn set_control(&mut self, control: Vec<SocketAddr>) {
        self.settings.control = control;
    }

    /// Starts serving.
    ///
    /// # Errors
    ///
    /// Fails when a listener cannot be used.
    pub fn serve(self) -> Result<Directory, StartError> {
        let address = self.http_address;
        let rpc_address = self.rpc();
        let location = Location {
            domain: self.settings.domain.clone(),
            address,
        };
        let shared = Shared::new(self.settings, location, epoch(), self.log, self.metrics);
        let shared = Arc::new(shared);
        let wrap = |err| StartError::Listen(address, err);
        let acceptor = BoundedAcceptor::new(self.http, shared.clients.clone()).map_err(wrap)?;
        let server = Server::new(acceptor);
        let handle = server.handle();
        let mut tasks = JoinSet::new();
        tasks.spawn(server.serve(http::service(&shared)));
        tasks.spawn(rpc::serve(shared.clone(), self.rpc));
        spawn_tasks(&mut tasks, &shared, rpc_address);
        info!(shared.log, "ready"; "http" => %address, "rpc" => %rpc_address,
            "peers" => shared.settings.peers.len(), "control" => shared.settings.control.len());
        Ok(Directory {
            shared,
            http: address,
            rpc: rpc_address,
            handle,
            tasks,
        })
    }
}

fn spawn_tasks(tasks: &mut JoinSet<()>, shared: &Arc<Shared>, me: SocketAddr) {
    let addresses = &shared.settings.peers;
    let links: Vec<Arc<DirectoryLink>> = addresses
        .iter()
        .map(|a| Arc::new(peer::directory(*a)))
        .collect();
    let mut epochs = peers::Epochs::new();
    for peer in &links {
        tasks.spawn(peers::push(shared.clone(), peer.clone()));
        let epoch = watch::Sender::new(peers::UNKNOWN_EPOCH);
        let target = report::Directory {
            link: peer.clone(),
            relayed: true,
        };
        tasks.spawn(relay_reports(shared.clone(), target, epoch.subscribe()));
        epochs.insert(peer.address(), epoch);
    }
    tasks.spawn(sweep::sweep(shared.clone()));
    let shared = shared.clone();
    tasks.spawn(async move {
        // Until a catalogue is confirmed by a replica or a peer, no gateway serves.
        suspects::learn_from_peers(&shared, &links).await;
        let replicas = shared.settings.control.clone();
        let followed = follow::follow(shared.clone(), replicas);
        tokio::join!(followed, peers::poll(shared.clone(), me, links, epochs));
    });
}

/// Passes on what gateways report until the directory stops.
async fn relay_reports(shared: Arc<Shared>, peer: report::Directory, epochs: watch::Receiver<u64>) {
    let stop = shared.stop.clone();
    stop.run_until_cancelled(report::run(shared, peer, epochs))
        .await;
}

/// A running directory; dropping it aborts its tasks without a graceful stop.
pub struct Directory {
    shared: Arc<Shared>,
    http: SocketAddr,
    rpc: SocketAddr,
    handle: ServerHandle,
    tasks: JoinSet<()>,
}

impl Directory {
    /// HTTP address for upstreams and callers.
    #[must_use]
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// `tarpc` address for gateways, directories and operators.
    #[must_use]
    pub fn rpc(&self) -> SocketAddr {
        self.rpc
    }

    /// State shared by the tasks, for inspection in tests.
    #[must_use]
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops gracefully: replies to waiting polls and finishes requests in flight.
    ///
    /// Returns whether all tasks ended within the stop timeout of the settings.
    pub async fn stop(mut self) -> bool {
        info!(self.shared.log, "stop");
        self.shared.stop.cancel();
        self.handle.stop_graceful(Some(self.shared.settings.stop));
        let all = async { while self.tasks.join_next().await.is_some() {} };
        let graceful = timeout(self.shared.settings.stop, all).await.is_ok();
        info!(self.shared.log, "stopped"; "graceful" => graceful);
        graceful
    }
}

/// The epoch of this start: the wall clock in milliseconds.
///
/// If the clock was set back, peers report a later epoch and the home raises its own.
fn epoch() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = elapsed.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}
