//! Starts and stops an entry process.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use attempt::stop::Grace;
use conf::ConfError;
use quick_error::quick_error;
use slog::Logger;
use slog::info;
use slog::warn;
use tarpc::ClientMessage;
use tarpc::Response;
use telemetry::metrics::MetricsError;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;
use tokio_util::task::TaskTracker;
use wire::accept::Acceptor;
use wire::api::PlaceApiRequest;
use wire::api::PlaceApiResponse;
use wire::link::Incoming;

use crate::core::Core;
use crate::core::Stage;
use crate::counters::Counters;
use crate::dialect::Dialect;
use crate::placement::server;
use crate::placement::server::PlacementServer;
use crate::probe;
use crate::quota;
use crate::serve;
use crate::serve::Side;
use crate::settings::Settings;
use crate::sync;

/// Part of the grace period that is reserved for the last responses to reach their callers.
const RESPONSE_FLUSH_TIME: Duration = Duration::from_millis(300);
/// Part of the grace period that is reserved for the process to exit.
const EXIT_TIME: Duration = Duration::from_millis(100);

/// Maximum number of connections from other entry processes: one each for some hundreds of
/// processes, with room for reconnections.
const MAX_PEER_CONNECTIONS: usize = 1024;

quick_error! {
    /// Why an entry process can't start.
    #[derive(Debug)]
    pub enum EntryError {
        /// An address could not be bound.
        Bind(address: SocketAddr, err: io::Error) {
            source(err)
            display("bind {address}: {err}")
        }
        /// The metrics could not be set up.
        Metrics(err: MetricsError) {
            from()
            source(err)
            display("{err}")
        }
    }
}

/// A running entry process.
pub struct Entry {
    core: Arc<Core>,
    open: TaskTracker,
    front: SocketAddr,
    ready: SocketAddr,
    _tasks: Vec<AbortOnDropHandle<()>>,
}

impl Entry {
    /// Binds the configured addresses and starts the process; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or the metrics can't be set up.
    pub async fn start(
        mut settings: Settings,
        dialect: Dialect,
        log: Logger,
    ) -> Result<Self, EntryError> {
        let (front, front_address) = bind(settings.front).await?;
        let (ready, ready_address) = bind(settings.ready).await?;
        settings.front = front_address;
        settings.ready = ready_address;
        let client = telemetry::metrics::start(settings.telemetry.sink, settings.host.as_str())?;
        let placement = match settings.place {
            Some(place) => Some(listen(place).await?),
            None => None,
        };
        settings.place = placement.as_ref().map(PlacementRequests::local_addr);
        let beacons = match settings.place {
            Some(place) => {
                let bound = UdpSocket::bind(place).await;
                Some(bound.map_err(|err| EntryError::Bind(place, err))?)
            }
            None => None,
        };
        let relay = match settings.relay {
            Some(port) => Some(bind(SocketAddr::new(front_address.ip(), port)).await?.0),
            None => None,
        };
        let core = Core::new(settings, dialect, log, Counters::new(client));
        let open = TaskTracker::new();
        let accept =
            |listener, side| serve::accept(Arc::clone(&core), listener, side, open.clone());
        let mut tasks = vec![
            spawn(accept(front, Side::Callers)),
            spawn(serve::readiness(Arc::clone(&core), ready)),
            spawn(sync::run(Arc::clone(&core), beacons)),
            spawn(probe::probe_ejected(Arc::clone(&core))),
            spawn(quota::tick::run(Arc::clone(&core))),
        ];
        tasks.extend(relay.map(|listener| spawn(accept(listener, Side::Peers))));
        tasks.extend(placement.map(|incoming| spawn(serve_placement(Arc::clone(&core), incoming))));
        let place_address = core.settings().place;
        info!(core.log, "entry serves"; "front" => %front_address, "ready" => %ready_address,
            "place" => place_address.map_or_else(|| "-".to_owned(), |place| place.to_string()));
        Ok(Self {
            core,
            open,
            front: front_address,
            ready: ready_address,
            _tasks: tasks,
        })
    }

    /// The address for callers.
    #[must_use]
    pub fn front(&self) -> SocketAddr {
        self.front
    }

    /// The address of the readiness page.
    #[must_use]
    pub fn ready(&self) -> SocketAddr {
        self.ready
    }

    /// The state shared by all tasks of the process.
    #[must_use]
    pub fn core(&self) -> &Arc<Core> {
        &self.core
    }

    /// Applies settings that were read again.
    pub fn reload(&self, read: Result<Settings, ConfError>) {
        match read {
            Ok(settings) => self.core.set_settings(&settings),
            Err(err) => warn!(self.core.log, "settings not reloaded"; "error" => %err),
        }
    }

    /// Keeps serving for the linger time, then finishes open requests and stops at the end of
    /// the grace period. Requests that can't be answered by then are refused.
    pub async fn shut_down(&self) {
        let started_at = Instant::now();
        let stop = self.core.settings().stop;
        info!(self.core.log, "leaving"; "linger_ms" => stop.linger.as_millis());
        let end = self.core.clock.now() + stop.grace.saturating_sub(RESPONSE_FLUSH_TIME);
        self.core.grace.send_replace(Some(Grace::until(end)));
        self.core.stage.send_replace(Stage::Draining);
        tokio::time::sleep_until(started_at + stop.linger).await;
        self.core.stage.send_replace(Stage::Closing);
        self.open.close();
        let end = started_at + stop.grace.saturating_sub(EXIT_TIME);
        let finished = tokio::time::timeout_at(end, self.open.wait()).await.is_ok();
        info!(self.core.log, "stopped"; "whole" => finished, "open" => self.open.len(),
            "after_ms" => started_at.elapsed().as_millis());
    }
}

type PlacementRequests = Incoming<ClientMessage<PlaceApiRequest>, Response<PlaceApiResponse>>;

async fn listen(address: SocketAddr) -> Result<PlacementRequests, EntryError> {
    let incoming = wire::link::listen(address).await;
    incoming.map_err(|err| EntryError::Bind(address, err))
}

/// Answers placement requests from other entry processes.
async fn serve_placement(core: Arc<Core>, incoming: PlacementRequests) {
    let acceptor = Acceptor {
        max_connections: MAX_PEER_CONNECTIONS,
        stop: CancellationToken::new(),
        log: core.log.clone(),
    };
    let server = PlacementServer::new(core);
    let serve = move |channel| server::serve(channel, server.clone());
    acceptor.run(incoming, serve).await;
}

async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), EntryError> {
    let fail = |err| EntryError::Bind(address, err);
    let listener = TcpListener::bind(address).await.map_err(fail)?;
    let bound = listener.local_addr().map_err(fail)?;
    Ok((listener, bound))
}

fn spawn(task: impl Future<Output = ()> + Send + 'static) -> AbortOnDropHandle<()> {
    AbortOnDropHandle::new(tokio::spawn(task))
}
