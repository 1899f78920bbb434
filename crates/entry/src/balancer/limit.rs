//! Limits that instances name for the requests of all processes.

use base::prelude::*;
use limit::RequestRate;

use super::Balancer;

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
        let processes = &self.processes;
        for (pick, rate) in self.chooser.limits_without_share(processes.revision) {
            let id = self.chooser.id(pick);
            let Some(upstream) = id.and_then(|id| self.upstreams.get(id)) else {
                continue;
            };
            let near = processes.near(&upstream.domain);
            let share = limit::share(rate, &upstream.id, &processes.own.address, &near);
            self.chooser
                .set_limit_share(now, pick, processes.revision, share);
        }
    }
}
