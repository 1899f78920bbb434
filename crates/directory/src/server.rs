//! Starts and ends a directory.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cadence::StatsdClient;
use members::homes::Location;
use quick_error::quick_error;
use salvo::Server;
use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle;
use slog::Logger;
use slog::info;
use telemetry::metrics::MetricsError;
use tokio::net::TcpListener;
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
use crate::sweep;

/// Most HTTP connections at once.
const MAX_CONNECTIONS: usize = 8192;

quick_error! {
    /// Why a directory can't start.
    #[derive(Debug)]
    pub enum StartError {
        /// It can't listen.
        Listen(address: SocketAddr, err: io::Error) {
            source(err)
            display("listen at {address}: {err}")
        }
        /// The metrics can't be had.
        Metrics(err: MetricsError) {
            from()
            source(err)
            display("{err}")
        }
    }
}

/// A directory that listens and serves nothing yet.
pub struct Bound {
    settings: Settings,
    log: Logger,
    metrics: StatsdClient,
    http: TcpListener,
    http_address: SocketAddr,
    rpc: Listener,
}

/// Listens where the settings say.
///
/// # Errors
///
/// Fails when an address can't be had.
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

/// Listens and serves.
///
/// # Errors
///
/// Fails when an address can't be had.
pub async fn start(
    settings: Settings,
    log: Logger,
    metrics: StatsdClient,
) -> Result<Directory, StartError> {
    bind(settings, log, metrics).await?.serve()
}

impl Bound {
    /// Where upstreams and callers reach it.
    #[must_use]
    pub fn http(&self) -> SocketAddr {
        self.http_address
    }

    /// Where gateways, directories and operators reach it.
    #[must_use]
    pub fn rpc(&self) -> SocketAddr {
        self.rpc.local_addr()
    }

    /// Sets the other directories, for those who learn the addresses late.
    pub fn set_peers(&mut self, peers: Vec<SocketAddr>) {
        self.settings.peers = peers;
    }

    /// Sets the control replicas, for those who learn the addresses late.
    pub fn set_control(&mut self, control: Vec<SocketAddr>) {
        self.settings.control = control;
    }

    /// Serves until stopped.
    ///
    /// # Errors
    ///
    /// Fails when the listener can't be used.
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
        let acceptor = TcpAcceptor::try_from(self.http).map_err(wrap)?;
        let server = Server::new(acceptor).max_connections(MAX_CONNECTIONS);
        let handle = server.handle();
        let mut tasks = JoinSet::new();
        tasks.spawn(server.serve(http::service(&shared)));
        tasks.spawn(rpc::serve(shared.clone(), self.rpc));
        spawn_work(&mut tasks, &shared, rpc_address);
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

fn spawn_work(tasks: &mut JoinSet<()>, shared: &Arc<Shared>, me: SocketAddr) {
    let addresses = &shared.settings.peers;
    let links: Vec<Arc<DirectoryLink>> = addresses
        .iter()
        .map(|a| Arc::new(peer::directory(*a)))
        .collect();
    for peer in &links {
        tasks.spawn(peers::push(shared.clone(), peer.clone()));
    }
    tasks.spawn(peers::ask(shared.clone(), me, links));
    tasks.spawn(sweep::sweep(shared.clone()));
    tasks.spawn(follow::follow(
        shared.clone(),
        shared.settings.control.clone(),
    ));
}

/// A running directory; dropped, it ends as if killed.
pub struct Directory {
    shared: Arc<Shared>,
    http: SocketAddr,
    rpc: SocketAddr,
    handle: ServerHandle,
    tasks: JoinSet<()>,
}

impl Directory {
    /// Where upstreams and callers reach it.
    #[must_use]
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// Where gateways, directories and operators reach it.
    #[must_use]
    pub fn rpc(&self) -> SocketAddr {
        self.rpc
    }

    /// What its tasks share, for tests that look inside.
    #[must_use]
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops gracefully: answers held polls and what is in flight, then ends.
    ///
    /// Returns whether all ended within the settings' time.
    pub async fn stop(mut self) -> bool {
        info!(self.shared.log, "stop");
        self.shared.stop.cancel();
        self.handle.stop_graceful(Some(self.shared.settings.stop));
        let all = async { while self.tasks.join_next().await.is_some() {} };
        let ended = timeout(self.shared.settings.stop, all).await.is_ok();
        info!(self.shared.log, "stopped"; "graceful" => ended);
        ended
    }
}

/// A number that grows with each start, as long as the host's clock isn't set
/// back; if it was, peers tell and the home raises it.
fn epoch() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}
