//! Starts and ends a stand-in.

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

/// Time between two looks at the work that is left.
const LOOK: Duration = Duration::from_millis(10);

quick_error! {
    /// Why a stand-in can't start.
    #[derive(Debug)]
    pub enum StartError {
        /// It can't listen.
        Listen(address: SocketAddr, err: io::Error) {
            source(err)
            display("listen at {address}: {err}")
        }
    }
}

/// A running stand-in; dropped, it ends as if killed.
pub struct StandIn {
    shared: Arc<Shared>,
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    serve: JoinHandle<()>,
    announce: JoinHandle<()>,
}

/// Starts a stand-in.
///
/// # Errors
///
/// Fails when it can't listen.
pub async fn start(settings: Settings, log: Logger) -> Result<StandIn, StartError> {
    let listen = settings.listen;
    let wrap = |err| StartError::Listen(listen, err);
    let listener = TcpListener::bind(listen).await.map_err(wrap)?;
    let address = listener.local_addr().map_err(wrap)?;
    let acceptor = TcpAcceptor::try_from(listener).map_err(wrap)?;
    let incarnation = incarnation();
    let shown = settings.announced.unwrap_or(address);
    let announcer = Announcer::new(&settings, shown, incarnation, log.clone());
    let shared = Arc::new(Shared::new(settings, incarnation, log));
    let router = Router::with_path("{**path}").goal(Upstream(shared.clone()));
    let serve = tokio::spawn(Server::new(acceptor).serve(router));
    let (phase, phases) = watch::channel(Phase::Ready);
    let announce = tokio::spawn(Arc::new(announcer).keep(phases));
    Ok(StandIn {
        shared,
        address,
        phase,
        serve,
        announce,
    })
}

impl StandIn {
    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The settings it runs with.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    /// The record of its runs.
    #[must_use]
    pub fn runs(&self) -> &Runs {
        &self.shared.runs
    }

    /// Probes answered since the start.
    #[must_use]
    pub fn probes(&self) -> u64 {
        self.shared.probes.load(Ordering::Relaxed)
    }

    /// Requests that hold a slot or wait for one.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.shared.slots.in_flight()
    }

    /// Switches the fault.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.fault.send_replace(fault);
    }

    /// Announces `draining` from now on; it still serves what comes.
    pub fn drain(&self) {
        self.shared.begin_drain();
        self.phase.send_replace(Phase::Draining);
        info!(self.shared.log, "drain");
    }

    /// Stops gracefully: drains, lets callers turn away, finishes its work, says `gone`.
    pub async fn stop(mut self) {
        self.drain();
        sleep(self.shared.settings.drain).await;
        while self.in_flight() > 0 {
            sleep(LOOK).await;
        }
        self.phase.send_replace(Phase::Gone);
        // A failure here is a panic of the announcer, which has printed itself.
        let _ = (&mut self.announce).await;
        info!(self.shared.log, "stopped");
    }

    /// Waits until a request crashes it. Its owner ends it then.
    pub async fn crashed(&self) {
        let mut crashed = self.shared.crashed.subscribe();
        // The sender lives as long as the stand-in.
        let _ = crashed.wait_for(|crashed| *crashed).await;
    }

    /// Ends at once, as a killed process would: no word, connections reset.
    pub fn kill(self) {}
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.serve.abort();
        self.announce.abort();
    }
}

/// Microseconds of the wall clock, so that a restarted process has a greater one.
fn incarnation() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}
