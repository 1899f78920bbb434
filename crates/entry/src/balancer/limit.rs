//! Limits that instances name for the requests of all processes.

use base::prelude::*;
use limit::RequestRate;

use super::Balancer;
use super::parts::Parts;
use crate::view::Upstream;

/// Revision of a share that is to be computed again.
const PENDING_REVISION: u64 = 0;

impl Balancer {
    /// Sets the limit of an instance, or removes it. One that this balancer doesn't know, or that
    /// drains, is ignored.
    pub fn set_limit(&mut self, now: Moment, run: &InstanceRun, rate: Option<RequestRate>) {
        let pick = self.chooser.find(run.instance.as_str(), run.incarnation);
        if let Some(pick) = pick {
            self.chooser.set_limit(now, pick, rate);
        }
    }

    /// Computes this process's share of new limits, and of all limits after a change of the
    /// process list.
    pub(super) fn update_limit_shares(&mut self, now: Moment) {
        let revision = self.share_revision();
        for (pick, rate) in self.chooser.limits_without_share(revision) {
            let id = self.chooser.id(pick);
            let Some(upstream) = id.and_then(|id| self.upstreams.get(id)) else {
                continue;
            };
            let (revision, share) = match &self.parts {
                Some(parts) => part_share(parts, now, upstream, rate, revision),
                None => (revision, self.limit_share(upstream, rate)),
            };
            self.chooser.set_limit_share(now, pick, revision, share);
        }
    }

    /// This process's share of a limit without parts.
    fn limit_share(&self, upstream: &Upstream, rate: RequestRate) -> RequestRate {
        let processes = &self.processes;
        let near = processes.near(&upstream.domain);
        limit::share(rate, &upstream.id, &processes.own.address, &near)
    }
}

/// This process's share of a limit with parts, and the revision that it holds for: the dispatcher
/// has all of it, once an earlier dispatcher no longer uses it.
fn part_share(
    parts: &Parts,
    now: Moment,
    upstream: &Upstream,
    rate: RequestRate,
    revision: u64,
) -> (u64, RequestRate) {
    if !parts.is_local(&upstream.id) {
        (revision, RequestRate::ZERO)
    } else if parts.may_use_limit(now, &upstream.id) {
        (revision, rate)
    } else {
        (PENDING_REVISION, RequestRate::ZERO)
    }
}
