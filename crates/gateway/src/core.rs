//! State shared by all tasks of one gateway.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use attempt::stop::Grace;
use base::prelude::*;
use bounds::Clients;
use cadence::StatsdClient;
use crash::Guard;
use slog::Logger;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::balancer::Balancers;
use crate::counters::Counters;
use crate::in_flight::InFlightRequests;
use crate::instance_clients::InstanceClients;
use crate::ledger_client::LedgerClient;
use crate::paths::Paths;
use crate::peers::Peers;
use crate::probes::Prober;
use crate::queue::Queue;
use crate::settings::Settings;
use crate::suspects::DIRECTORY_KEY;
use crate::view::View;

/// Stage of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serves requests; no stop was requested.
    Serving,
    /// Still serves requests, while directories remove the host from routing.
    Stopping,
    /// Accepts neither connections nor requests.
    Closing,
}

/// Shared state of one gateway.
pub struct Core {
    /// Settings as read at the start.
    pub settings: Settings,
    /// Log for decisions and events.
    pub log: Logger,
    /// Client that sends the metrics.
    pub metrics: Arc<StatsdClient>,
    /// Counters that the metrics client sends.
    pub counters: Counters,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Balancers by service.
    pub balancers: Balancers,
    /// HTTP clients by instance.
    pub clients: InstanceClients,
    /// Admission control.
    pub queue: Arc<Queue>,
    /// Probe budget.
    pub prober: Prober,
    /// Callers' connections, and the memory that is kept for them.
    pub callers: Clients,
    /// Client of the ledger.
    pub ledger: LedgerClient,
    /// Requests that crash instances.
    pub guard: Arc<Guard>,
    /// Counter of requests in flight.
    pub in_flight: InFlightRequests,
    /// Paths to the instances.
    pub paths: Paths,
    /// The other gateways.
    pub peers: Peers,
    /// Stage of a graceful stop.
    pub phase: watch::Sender<Phase>,
    /// The time that is left for requests once a stop has begun.
    pub grace: watch::Sender<Option<Grace>>,
    shutdown: CancellationToken,
    view: RwLock<Arc<View>>,
}

impl Core {
    /// Creates the state with an empty view, so that the gateway is fenced.
    #[must_use]
    pub fn new(settings: Settings, log: Logger, metrics: StatsdClient) -> Self {
        let clock = Clock::start();
        let metrics = Arc::new(metrics);
        let callers = bounds::Limits {
            memory: settings.bounds.memory.0,
            connections: usize::try_from(settings.bounds.connections).unwrap_or(usize::MAX),
        };
        let limits = admit::Settings {
            concurrency: settings.bounds.running,
            queue: settings.bounds.queue,
        };
        Self {
            queue: Arc::new(Queue::new(limits, clock)),
            prober: Prober::new(settings.host.clone(), settings.lease.length, clock),
            callers: Clients::new(callers, log.clone(), Arc::clone(&metrics)),
            ledger: LedgerClient::new(&settings.control),
            guard: Arc::new(Guard::new(log.clone(), clock, DIRECTORY_KEY)),
            settings,
            log,
            metrics,
            counters: Counters::default(),
            clock,
            balancers: Balancers::default(),
            clients: InstanceClients::default(),
            in_flight: InFlightRequests::default(),
            paths: Paths::default(),
            peers: Peers::default(),
            phase: watch::Sender::new(Phase::Serving),
            grace: watch::Sender::default(),
            shutdown: CancellationToken::new(),
            view: RwLock::default(),
        }
    }

    /// Spawns `task`, which is cancelled by [`Core::shut_down`].
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let shutdown = self.shutdown.clone();
        tokio::spawn(shutdown.run_until_cancelled_owned(task));
    }

    /// Token that [`Core::shut_down`] cancels.
    #[must_use]
    pub fn shutdown_token(&self) -> &CancellationToken {
        &self.shutdown
    }

    /// Cancels all tasks of [`Core::spawn`], which releases their ports.
    pub fn shut_down(&self) {
        self.shutdown.cancel();
    }

    /// Current view of the catalogue and the instances.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        view.clone()
    }

    /// Replaces the view. `changed` is false if only the confirmation is new; then
    /// balancers, clients and admission aren't updated.
    pub fn set_view(&self, view: View, changed: bool) {
        let before = self.view();
        if changed {
            self.clients.update(&view);
            self.balancers.update(self.clock.now(), &view);
            self.queue.update(&before, &view);
        }
        self.prober.update(&before, &view, changed);
        let mut current = self.view.write().unwrap_or_else(PoisonError::into_inner);
        *current = Arc::new(view);
    }

    /// Whether the gateway must refuse new requests.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        self.view()
            .is_fenced(self.clock.now(), self.settings.lease.length)
    }
}
