//! The gateway: serves callers' requests by way of announced upstreams.
//!
//! The decisions are state machines of the crates `route`, `attempt`, `admit`
//! and `measure`; this crate is their adapter to sockets and time. A request
//! goes through [`serve`], [`request_head`], [`body`], for class once [`keyed`], and
//! [`call`]; what is known of catalogue and instances comes through [`sync`]
//! into one immutable [`view`].

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use cadence::StatsdClient;
use quick_error::quick_error;
use slog::Logger;
use slog::info;
use socket2::SockRef;
use telemetry::metrics::MetricsError;
use tokio::net::TcpListener;
use tokio::sync::watch;
use wire::directory::HostPhase;

pub mod acceptor;
pub mod attempt_guard;
pub mod balancer;
pub mod body;
pub mod call;
pub mod core;
pub mod counters;
pub mod headers;
pub mod in_flight;
pub mod instance_clients;
pub mod keyed;
pub mod ledger_client;
pub mod probe_schedule;
pub mod probes;
pub mod queue;
pub mod refusal;
pub mod relay;
pub mod request_head;
pub mod rpc;
pub mod serve;
pub mod settings;
pub mod stop;
pub mod sync;
pub mod view;

use crate::core::Core;
use crate::core::Phase;
use crate::serve::Port;
use crate::settings::Settings;

quick_error! {
    /// Why a gateway can't start.
    #[derive(Debug)]
    pub enum StartError {
        /// A port, or the runtime's signals.
        Io(err: io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// The metrics.
        Metrics(err: MetricsError) {
            from()
            source(err)
            display("{err}")
        }
    }
}

/// A gateway that runs.
pub struct Gateway {
    core: Arc<Core>,
    port: Port,
    told: watch::Receiver<HostPhase>,
    http: SocketAddr,
    rpc: SocketAddr,
}

/// Starts a gateway; it is fenced until a directory confirms its catalogue.
///
/// # Errors
///
/// Fails when a port can't be bound.
pub async fn start(
    settings: Settings,
    log: Logger,
    metrics: StatsdClient,
) -> Result<Gateway, StartError> {
    let listener = TcpListener::bind(settings.http).await?;
    // Connections inherit it: pieces of an answer don't wait for one another.
    SockRef::from(&listener).set_tcp_nodelay(true)?;
    let http = listener.local_addr()?;
    let core = Arc::new(Core::new(settings, log, metrics));
    let rpc = rpc::start(core.clone(), core.settings.rpc).await?;
    let port = serve::start(core.clone(), listener)?;
    core.spawn(core.queue.clone().run());
    // The bound operators' port is the right to probe under this host's name.
    core.prober.hold();
    core.spawn(probes::run(core.clone()));
    core.spawn(counters::run(core.clone()));
    let told = sync::start(core.clone(), http);
    info!(core.log, "ready"; "http" => %http, "rpc" => %rpc);
    Ok(Gateway {
        core,
        port,
        told,
        http,
        rpc,
    })
}

impl Gateway {
    /// Where callers connect.
    #[must_use]
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// Where operators connect.
    #[must_use]
    pub fn rpc(&self) -> SocketAddr {
        self.rpc
    }

    /// The state, for tests and trials in one process.
    #[must_use]
    pub fn core(&self) -> &Arc<Core> {
        &self.core
    }

    /// Waits until an operator asked for a graceful stop.
    pub async fn stopped(&self) {
        let mut phase = self.core.phase.subscribe();
        // The sender lives as long as the core.
        let _ = phase.wait_for(|phase| *phase > Phase::Serving).await;
    }

    /// Stops gracefully; returns when the last request has ended.
    pub async fn stop(self) {
        stop::run(&self.core, self.port, self.told).await;
    }
}
