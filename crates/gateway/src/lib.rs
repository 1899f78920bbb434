//! The gateway: forwards callers' requests to announced upstream instances.
//!
//! Decisions are made by the state machines of the crates `route`, `attempt`,
//! `admit` and `measure`; this crate connects them to sockets and timers. A
//! request passes through [`serve`], [`request_head`], [`body`], [`suspects`] (quarantined requests),
//! [`keyed`] (class once with an idempotency key) and [`call`]. While instances aren't reached
//! ([`paths`]), it is sent on to another gateway instead ([`hop`]). [`sync`] receives the catalogue
//! and the instances from a directory and publishes them as an immutable [`view`].

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
pub mod correlation;
pub mod counters;
pub mod headers;
pub mod hop;
pub mod in_flight;
pub mod instance_clients;
pub mod keyed;
pub mod ledger_client;
pub mod paths;
pub mod peers;
pub mod probe_schedule;
pub mod probes;
pub mod queue;
pub mod refusal;
pub mod relay;
pub mod request_head;
pub mod rpc;
pub mod send;
pub mod serve;
pub mod settings;
pub mod stop;
pub mod suspects;
pub mod sync;
pub mod view;

use crate::core::Core;
use crate::core::Phase;
use crate::serve::HttpServer;
use crate::settings::Settings;

quick_error! {
    /// Why a gateway failed to start.
    #[derive(Debug)]
    pub enum StartError {
        /// A port could not be bound or configured.
        Io(err: io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// The metrics client could not be created.
        Metrics(err: MetricsError) {
            from()
            source(err)
            display("{err}")
        }
    }
}

/// A running gateway.
pub struct Gateway {
    core: Arc<Core>,
    server: HttpServer,
    announced: watch::Receiver<HostPhase>,
    http: SocketAddr,
    rpc: SocketAddr,
}

/// Starts a gateway, which is fenced until a directory confirms its catalogue.
///
/// # Errors
///
/// Returns an error if a port can't be bound or the metrics client can't be created.
pub async fn start(
    settings: Settings,
    log: Logger,
    metrics: StatsdClient,
) -> Result<Gateway, StartError> {
    let listener = TcpListener::bind(settings.http).await?;
    // Accepted connections inherit this option: response chunks are sent without delay.
    SockRef::from(&listener).set_tcp_nodelay(true)?;
    let http = listener.local_addr()?;
    let core = Arc::new(Core::new(settings, log, metrics));
    let rpc = rpc::start(core.clone(), core.settings.rpc).await?;
    let server = serve::start(core.clone(), listener)?;
    core.spawn(core.queue.clone().run());
    // Binding the operators' port ensures that only one process of a host probes.
    core.prober.enable();
    core.spawn(probes::run(core.clone()));
    core.spawn(counters::run(core.clone()));
    let announced = sync::start(core.clone(), http);
    info!(core.log, "ready"; "http" => %http, "rpc" => %rpc);
    Ok(Gateway {
        core,
        server,
        announced,
        http,
        rpc,
    })
}

impl Gateway {
    /// Address of the callers' port.
    #[must_use]
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// Address of the operators' port.
    #[must_use]
    pub fn rpc(&self) -> SocketAddr {
        self.rpc
    }

    /// The shared state, for tests and simulations in the same process.
    #[must_use]
    pub fn core(&self) -> &Arc<Core> {
        &self.core
    }

    /// Waits until an operator requests a graceful stop.
    pub async fn stopped(&self) {
        let mut phase = self.core.phase.subscribe();
        // `core` owns the sender, so the channel can't be closed here.
        let _ = phase.wait_for(|phase| *phase > Phase::Serving).await;
    }

    /// Stops gracefully; returns when the requests in flight have finished or timed out.
    pub async fn stop(self) {
        stop::run(&self.core, self.server, self.announced).await;
    }
}
