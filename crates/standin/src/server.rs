//! Starts and stops a stand-in.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use quick_error::quick_error;
use salvo::Router;
use salvo::Server;
use salvo::conn::tcp::TcpAcceptor;
use slog::Logger;
use slog::info;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::announce::Announcer;
use crate::announce::Phase;
use crate::fault::Fault;
use crate::handler::Shared;
use crate::handler::Upstream;
use crate::runs::Runs;
use crate::settings::Settings;

/// Time between two checks for requests in flight during a stop.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

quick_error! {
    /// Error of starting a stand-in.
    #[derive(Debug)]
    pub enum StartError {
        /// The listening socket could not be opened.
        Listen(address: SocketAddr, err: io::Error) {
            source(err)
            display("listen at {address}: {err}")
        }
    }
}

/// A running stand-in. Dropping it ends it as [`StandIn::kill`] does.
pub struct StandIn {
    shared: Arc<Shared>,
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    server_task: JoinHandle<()>,
    announcer_task: JoinHandle<()>,
}

/// Starts a stand-in.
///
/// # Errors
///
/// Fails if the listening socket can't be opened.
pub async fn start(settings: Settings, log: Logger) -> Result<StandIn, StartError> {
    let listen = settings.listen;
    let listen_error = |err| StartError::Listen(listen, err);
    let listener = TcpListener::bind(listen).await.map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    let acceptor = TcpAcceptor::try_from(listener).map_err(listen_error)?;
    let incarnation = incarnation();
    let announced_address = settings.announced.unwrap_or(address);
    let announcer = Announcer::new(&settings, announced_address, incarnation, log.clone());
    let shared = Arc::new(Shared::new(settings, incarnation, log));
    let router = Router::with_path("{**path}").goal(Upstream(shared.clone()));
    let server_task = tokio::spawn(Server::new(acceptor).serve(router));
    let (phase, phases) = watch::channel(Phase::Ready);
    let announcer_task = tokio::spawn(Arc::new(announcer).run(phases));
    Ok(StandIn {
        shared,
        address,
        phase,
        server_task,
        announcer_task,
    })
}

impl StandIn {
    /// Address that the stand-in listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Effective settings.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    /// Record of the runs.
    #[must_use]
    pub fn runs(&self) -> &Runs {
        &self.shared.runs
    }

    /// Number of probes received since the start.
    #[must_use]
    pub fn probes(&self) -> u64 {
        self.shared.probes.load(Ordering::Relaxed)
    }

    /// Number of requests that hold a slot or wait for one.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.shared.slots.in_flight()
    }

    /// Replaces the current fault.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.fault.send_replace(fault);
    }

    /// Announces `draining` from now on. Requests are still served.
    pub fn drain(&self) {
        self.shared.start_drain();
        self.phase.send_replace(Phase::Draining);
        info!(self.shared.log, "drain");
    }

    /// Stops gracefully: announces `draining`, waits for the `drain` time and until no request is
    /// in flight, then announces `gone`.
    pub async fn stop(mut self) {
        self.drain();
        sleep(self.shared.settings.drain).await;
        while self.in_flight() > 0 {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.phase.send_replace(Phase::Gone);
        // Fails only if the announcer panicked; the panic is already printed.
        let _ = (&mut self.announcer_task).await;
        info!(self.shared.log, "stopped");
    }

    /// Waits until a request crashes the stand-in. The caller then has to end it.
    pub async fn crashed(&self) {
        let mut crashed = self.shared.crashed.subscribe();
        // Cannot fail: `self` owns the sender.
        let _ = crashed.wait_for(|crashed| *crashed).await;
    }

    /// Ends at once like a killed process: sends no announcement and resets the connections.
    pub fn kill(self) {}
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.server_task.abort();
        self.announcer_task.abort();
    }
}

/// Microseconds since the Unix epoch, so that a restarted process has a greater incarnation.
pub(crate) fn incarnation() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}
