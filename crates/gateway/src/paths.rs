//! Whether this gateway reaches the instances of each service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use base::prelude::*;
use reach::Belief;
use reach::Path;
use reach::changes;
use reach::check;
use slog::info;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;
use wire::directory::Phase;

use crate::core::Core;
use crate::instance_clients::CONNECT_TIMEOUT;
use crate::view::UpstreamInstance;

/// What the gateway believes of its paths.
#[derive(Debug, Default)]
pub struct Paths {
    paths: Mutex<BTreeMap<ServiceName, Path>>,
    /// Number of changes.
    changes: watch::Sender<u64>,
}

impl Paths {
    /// Signals that a belief has changed.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// The services whose instances aren't reached.
    #[must_use]
    pub fn cut_off(&self) -> Vec<ServiceName> {
        let paths = self.paths();
        let cut_off = paths.iter().filter(|(_, path)| path.cut_at().is_some());
        cut_off.map(|(service, _)| service.clone()).collect()
    }

    /// Whether no instance of the service is reached. Waits for a check that is in progress.
    pub async fn is_cut_off(&self, service: &ServiceName) -> bool {
        let is_checked = || self.belief(service) != Belief::Checking;
        changes::wait_until(self.subscribe(), is_checked).await;
        self.belief(service) == Belief::CutOff
    }

    fn belief(&self, service: &ServiceName) -> Belief {
        let paths = self.paths();
        paths
            .get(service)
            .map_or_else(Belief::default, Path::belief)
    }

    /// Changes the path to a service's instances.
    fn change<T>(&self, service: &ServiceName, change: impl FnOnce(&mut Path) -> T) -> T {
        let mut paths = self.paths();
        let path = paths.entry(service.clone()).or_default();
        let before = path.belief();
        let result = change(path);
        let after = path.belief();
        drop(paths);
        if after != before {
            self.changes.send_modify(|changes| *changes += 1);
        }
        result
    }

    fn paths(&self) -> MutexGuard<'_, BTreeMap<ServiceName, Path>> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Core {
    /// Records that an instance accepted no connection or didn't answer, and starts a check if
    /// several have failed in a row.
    pub fn record_unreachable(self: &Arc<Self>, upstream: &UpstreamInstance) {
        let service = &upstream.service;
        let announced = self.view().instances(service).len();
        let record = |path: &mut Path| path.record_failed(&upstream.id, announced);
        if self.paths.change(service, record) {
            check::spawn(self, service.clone());
        }
    }
}

impl check::Process for Core {
    type Instance = Arc<UpstreamInstance>;

    fn live_instances(&self, service: &ServiceName) -> Vec<Arc<UpstreamInstance>> {
        let view = self.view();
        let instances = view.instances(service).iter();
        let ready = instances.filter(|instance| instance.phase == Phase::Ready);
        ready.cloned().collect()
    }

    fn domain_of(upstream: &Arc<UpstreamInstance>) -> DomainName {
        upstream.domain.clone()
    }

    async fn connect(&self, upstream: &Arc<UpstreamInstance>) -> bool {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(upstream.address));
        let accepted = matches!(connecting.await, Ok(Ok(_)));
        if accepted {
            check::Process::record_connected(self, &upstream.service);
        }
        accepted
    }

    fn services(&self) -> Vec<ServiceName> {
        let view = self.view();
        view.services()
            .map(|service| service.name.clone())
            .collect()
    }

    fn is_unproven(&self, service: &ServiceName) -> bool {
        let now = self.clock.now();
        self.paths.change(service, |path| path.is_unproven(now))
    }

    fn begin_path_check(&self, service: &ServiceName) -> bool {
        self.paths.change(service, Path::begin_check)
    }

    fn record_connected(&self, service: &ServiceName) {
        let now = self.clock.now();
        if self
            .paths
            .change(service, |path| path.record_connected(now))
        {
            info!(self.log, "path"; "service" => %service, "outcome" => "regained");
        }
    }

    fn record_unreached(&self, service: &ServiceName, tried: usize) -> Option<Moment> {
        let now = self.clock.now();
        let record = |path: &mut Path| path.record_unreached(tried, now);
        let is_cut = self.paths.change(service, record);
        if is_cut {
            info!(self.log, "path"; "service" => %service, "outcome" => "lost",
                "tried" => tried);
        }
        is_cut.then_some(now)
    }

    fn cut_at(&self, service: &ServiceName) -> Option<Moment> {
        self.paths.paths().get(service)?.cut_at()
    }

    // Directories tell which gateways reach the instances.
    async fn run_while_cut_off(self: &Arc<Self>, _: &ServiceName, _: Moment) {}
}
