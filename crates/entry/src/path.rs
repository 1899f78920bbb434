//! Checks whether this process still reaches the instances of a service.
//!
//! While it doesn't, instances are tried in short intervals, so that requests go there again
//! soon after the path is back, and other processes are asked whether they reach them.

use std::sync::Arc;

use base::prelude::*;
use reach::check;

use crate::core::Core;
use crate::relay::search;
use crate::view::Upstream;

impl check::Process for Core {
    type Instance = Arc<Upstream>;

    fn live_instances(&self, service: &ServiceName) -> Vec<Arc<Upstream>> {
        self.live_instances(service)
    }

    fn domain_of(upstream: &Arc<Upstream>) -> DomainName {
        upstream.domain.clone()
    }

    async fn connect(&self, upstream: &Arc<Upstream>) -> bool {
        let Ok(connection) = upstream.pool.connect().await else {
            return false;
        };
        self.record_connected(&upstream.service);
        upstream.pool.keep(connection, None);
        true
    }

    fn services(&self) -> Vec<ServiceName> {
        self.services()
    }

    fn is_unproven(&self, service: &ServiceName) -> bool {
        self.is_path_unproven(service)
    }

    fn begin_path_check(&self, service: &ServiceName) -> bool {
        self.begin_path_check(service)
    }

    fn record_connected(&self, service: &ServiceName) {
        self.record_connected(service);
    }

    fn record_unreached(&self, service: &ServiceName, tried: usize) -> Option<Moment> {
        self.record_unreached(service, tried)
    }

    fn cut_at(&self, service: &ServiceName) -> Option<Moment> {
        self.cut_at(service)
    }

    async fn run_while_cut_off(self: &Arc<Self>, service: &ServiceName, cut_at: Moment) {
        search::run(self, service, cut_at).await;
    }
}

/// Records that an instance accepted no connection or didn't answer, and starts a check if
/// several have failed in a row.
pub fn record_unreachable(core: &Arc<Core>, upstream: &Upstream) {
    if core.record_unreachable(upstream) {
        check::spawn(core, upstream.service.clone());
    }
}

/// Whether an instance other than `upstream` accepts a connection. True if there is none to try.
pub async fn reaches_others(core: &Core, upstream: &Upstream) -> bool {
    let is_other = |other: &Arc<Upstream>| other.id != upstream.id;
    check::reaches_others(core, &upstream.service, is_other).await
}
