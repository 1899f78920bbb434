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
        self.update_cold_sharing();
    }

    /// Sets the revision by which cold instances are shared.
    pub(super) fn update_cold_sharing(&mut self) {
        let revision = self.share_revision();
        self.chooser.share_cold(self.warmup.map(|_| revision));
    }

    /// Increases with each change of the processes or of the dispatchers of parts.
    pub(super) fn share_revision(&self) -> u64 {
        self.processes.revision + self.part_changes
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
            let starts = self.chooser.id(pick);
            let starts = starts.map_or(0, |id| self.cold_share(warmup, id));
            self.chooser.set_share(pick, starts);
        }
    }

    /// Requests per second that this process may start at the cold instance. The dispatcher of its
    /// part is its only sender.
    fn cold_share(&self, warmup: Warmup, instance: &InstanceId) -> u32 {
        let own = &self.processes.own.place;
        let parts = self.parts.as_ref();
        match parts.and_then(|parts| parts.dispatcher_of(instance)) {
            Some(dispatcher) => warmup.share(instance, own, &[dispatcher]),
            None => warmup.share(instance, own, &self.processes.places()),
        }
    }

    /// Records how much longer an instance reports that it is cold.
    pub fn record_cold(&mut self, now: Moment, pick: Pick, remaining: Duration) {
        self.chooser.set_cold_remaining(now, pick, remaining);
    }
}
