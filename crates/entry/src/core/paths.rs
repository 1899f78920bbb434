//! The paths to the instances of each service.

use std::sync::Arc;

use base::prelude::*;
use reach::Belief;
use reach::Path;
use reach::PeerSearch;
use reach::changes;
use slog::info;
use wire::hub::Phase;

use super::Core;
use super::State;
use crate::view::Upstream;

impl Core {
    /// What the process believes of its path to the service's instances.
    pub fn path_belief(&self, service: &ServiceName) -> Belief {
        let state = self.state();
        let path = state.paths.get(service);
        path.map_or_else(Belief::default, Path::belief)
    }

    /// Whether the process reaches no instance of the service, though other processes may.
    pub fn is_cut_off(&self, service: &ServiceName) -> bool {
        self.path_belief(service) == Belief::CutOff
    }

    /// Whether callers should be sent here: the process is ready, and isn't known to depend on
    /// others for all requests.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.is_ready() && !*self.depends_on_peers.borrow()
    }

    /// Whether an instance of the service has accepted a connection lately.
    pub fn is_path_proven(&self, service: &ServiceName) -> bool {
        let now = self.clock.now();
        let state = self.state();
        let path = state.paths.get(service);
        path.is_some_and(|path| path.is_proven(now))
    }

    /// Whether the path counts as good though no instance has accepted a connection lately.
    pub fn is_path_unproven(&self, service: &ServiceName) -> bool {
        let now = self.clock.now();
        let state = self.state();
        let path = state.paths.get(service);
        path.is_none_or(|path| path.is_unproven(now))
    }

    /// When the path to the service's instances was found to be cut, while it is.
    pub fn cut_at(&self, service: &ServiceName) -> Option<Moment> {
        self.state().paths.get(service)?.cut_at()
    }

    /// Records that an instance of the service accepted a connection.
    pub fn record_connected(&self, service: &ServiceName) {
        let now = self.clock.now();
        let mut state = self.state();
        let path = state.paths.entry(service.clone()).or_default();
        let before = path.belief();
        if path.record_connected(now) {
            info!(self.log, "path"; "service" => %service, "outcome" => "regained");
        }
        self.update_dependence(&state);
        drop(state);
        if before != Belief::Reached {
            self.path_changes.send_modify(|changes| *changes += 1);
        }
    }

    /// Records that an instance accepted no connection or didn't answer. Returns whether the
    /// path to its service has to be checked.
    pub fn record_unreachable(&self, upstream: &Upstream) -> bool {
        let mut state = self.state();
        let announced = state.instances.of_service(&upstream.service).count();
        let path = state.paths.entry(upstream.service.clone()).or_default();
        path.record_failed(&upstream.id, announced)
    }

    /// Starts a check of the path to the service's instances, unless one is in progress or the
    /// path is known to be cut.
    pub fn begin_path_check(&self, service: &ServiceName) -> bool {
        let mut state = self.state();
        state
            .paths
            .entry(service.clone())
            .or_default()
            .begin_check()
    }

    /// Records that none of `tried` instances accepted a connection. If the path is cut, starts a
    /// search for peers that reach the instances, and returns the time.
    pub fn record_unreached(&self, service: &ServiceName, tried: usize) -> Option<Moment> {
        let now = self.clock.now();
        let domain = self.settings().domain.as_str().into();
        let mut state = self.state();
        let path = state.paths.entry(service.clone()).or_default();
        let is_cut = path.record_unreached(tried, now);
        if is_cut {
            info!(self.log, "path"; "service" => %service, "outcome" => "lost",
                "tried" => tried);
            let search = PeerSearch::new(domain, &state.listed_peers(), now);
            state.searches.insert(service.clone(), search);
        }
        self.update_dependence(&state);
        drop(state);
        self.path_changes.send_modify(|changes| *changes += 1);
        is_cut.then_some(now)
    }

    /// Waits until the path to the service's instances isn't being checked.
    pub async fn path_checked(&self, service: &ServiceName) {
        let is_checked = || self.path_belief(service) != Belief::Checking;
        changes::wait_until(self.path_changes.subscribe(), is_checked).await;
    }

    /// The ready instances of the service that send heartbeats to hubs.
    pub fn live_instances(&self, service: &ServiceName) -> Vec<Arc<Upstream>> {
        let state = self.state();
        let instances = state.instances.of_service(service);
        let live = instances.filter(|status| status.phase == Phase::Ready && !status.silent);
        live.map(|status| Arc::clone(status.upstream)).collect()
    }

    /// The services that have instances.
    pub fn services(&self) -> Vec<ServiceName> {
        self.state().balancers.keys().cloned().collect()
    }

    /// Updates whether the process depends on others for all requests. While it knows of nobody
    /// else who reaches the instances, callers may as well be sent here.
    pub(super) fn update_dependence(&self, state: &State) {
        let is_cut = |service: &ServiceName| {
            let path = state.paths.get(service);
            path.is_some_and(|path| path.belief() == Belief::CutOff)
        };
        let is_served = |service: &ServiceName| {
            let search = state.searches.get(service);
            search.is_some_and(|search| search.counts().reached > 0)
        };
        let services = || state.balancers.keys();
        let depends = services().all(is_cut) && services().any(is_served);
        let changed = self
            .depends_on_peers
            .send_if_modified(|current| std::mem::replace(current, depends) != depends);
        if changed {
            info!(self.log, "listed for callers"; "listed" => !depends);
        }
    }
}
