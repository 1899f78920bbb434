//! Rate limiting of requests to cold instances.

use std::sync::Arc;
use std::time::Duration;

use ::dispatch::Warmup;
use base::prelude::*;
use route::COLD_WINDOW;
use route::Pick;

use super::Balancer;
use crate::processes::Processes;

impl Balancer {
    /// Sets the rate limit of cold instances and the processes that share it.
    pub fn set_warmup(&mut self, warmup: Option<Warmup>, processes: &Arc<Processes>) {
        self.warmup = warmup;
        self.processes = Arc::clone(processes);
        self.chooser.share_cold(warmup.map(|_| processes.revision));
    }

    /// Computes this process's share of the rate for instances that have become cold.
    pub(super) fn update_cold_shares(&mut self, now: Moment) {
        let Some(warmup) = self.warmup else {
            return;
        };
        // A previous process at this address may have used its share within the same window.
        if now.since(self.created_at) < COLD_WINDOW {
            return;
        }
        for pick in self.chooser.cold_without_share(now) {
            let (own, places) = (&self.processes.own.place, self.processes.places());
            let id = self.chooser.id(pick);
            let starts = id.map_or(0, |id| warmup.share(id, own, &places));
            self.chooser.set_share(pick, starts);
        }
    }

    /// Records how much longer an instance reports that it is cold.
    pub fn record_cold(&mut self, now: Moment, pick: Pick, remaining: Duration) {
        self.chooser.set_cold_remaining(now, pick, remaining);
    }
}
