//! What all tasks of one gateway share.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use base::prelude::*;
use cadence::StatsdClient;
use slog::Logger;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::balancer::Desks;
use crate::body::Memory;
use crate::counters::Counters;
use crate::in_flight::Flying;
use crate::instance_clients::Lanes;
use crate::ledger_client::Claims;
use crate::probes::Prober;
use crate::queue::Queue;
use crate::settings::Settings;
use crate::view::View;

/// How far a graceful stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serves.
    Serving,
    /// Serves on, while directories stop naming the host.
    Stopping,
    /// Takes no new connection and no new request.
    Closing,
}

/// The state of one gateway.
pub struct Core {
    /// As they were read.
    pub settings: Settings,
    /// Where decisions are logged.
    pub log: Logger,
    /// Where counters go.
    pub metrics: StatsdClient,
    /// Sums for the metrics.
    pub counters: Counters,
    /// The process's clock.
    pub clock: Clock,
    /// The machines of each service.
    pub desks: Desks,
    /// Connections to instances.
    pub lanes: Lanes,
    /// Admission.
    pub queue: Arc<Queue>,
    /// The measuring budget.
    pub prober: Prober,
    /// Memory of kept bodies.
    pub memory: Memory,
    /// The ledger.
    pub claims: Claims,
    /// Requests in flight.
    pub flying: Flying,
    /// How far the stop has come.
    pub phase: watch::Sender<Phase>,
    ended: CancellationToken,
    view: RwLock<Arc<View>>,
}

impl Core {
    /// The state of a gateway that knows nothing yet, and so is fenced.
    #[must_use]
    pub fn new(settings: Settings, log: Logger, metrics: StatsdClient) -> Self {
        let clock = Clock::start();
        let limits = admit::Settings {
            concurrency: settings.bounds.running,
            queue: settings.bounds.queue,
        };
        Self {
            queue: Arc::new(Queue::new(limits, clock)),
            prober: Prober::new(settings.host.clone(), settings.lease.length, clock),
            memory: Memory::new(settings.bounds.memory.0),
            claims: Claims::new(&settings.control),
            settings,
            log,
            metrics,
            counters: Counters::default(),
            clock,
            desks: Desks::default(),
            lanes: Lanes::default(),
            flying: Flying::default(),
            phase: watch::Sender::new(Phase::Serving),
            ended: CancellationToken::new(),
            view: RwLock::default(),
        }
    }

    /// Runs `task` until the gateway has stopped.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let ended = self.ended.clone();
        tokio::spawn(ended.run_until_cancelled_owned(task));
    }

    /// Fires when all tasks of [`Core::spawn`] are ended.
    #[must_use]
    pub fn ended(&self) -> &CancellationToken {
        &self.ended
    }

    /// Ends all tasks of [`Core::spawn`], and frees the ports that they hold.
    pub fn end(&self) {
        self.ended.cancel();
    }

    /// What is known now.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        view.clone()
    }

    /// Replaces what is known; `changed` says that more than its age is new, so
    /// that desks and connections take it over too.
    ///
    /// # Errors
    ///
    /// Fails when a client for an instance can't be made.
    pub fn set_view(&self, view: View, changed: bool) -> Result<(), reqwest::Error> {
        let before = self.view();
        if changed {
            self.lanes.update(&view)?;
            self.desks.update(self.clock.now(), &view);
            self.queue.update(&before, &view);
        }
        self.prober.update(&before, &view, changed);
        let mut kept = self.view.write().unwrap_or_else(PoisonError::into_inner);
        *kept = Arc::new(view);
        Ok(())
    }

    /// Whether the gateway must refuse new work.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        self.view()
            .is_fenced(self.clock.now(), self.settings.lease.length)
    }
}
