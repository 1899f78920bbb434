//! Instances that are cold, and this process's share of what they take.

use std::sync::Arc;
use std::time::Duration;

use ::dispatch::Warmup;
use base::prelude::*;
use route::COLD_WINDOW;
use route::Pick;

use super::Desk;
use crate::processes::Processes;

impl Desk {
    /// Takes over what cold instances bear, and who shares it.
    pub fn set_warmup(&mut self, warmup: Option<Warmup>, processes: &Arc<Processes>) {
        self.warmup = warmup;
        self.processes = Arc::clone(processes);
        self.chooser.share_cold(warmup.map(|_| processes.mark));
    }

    /// Works out this process's share of instances that were found to be cold.
    pub(super) fn share_cold(&mut self, now: Moment) {
        let Some(warmup) = self.warmup else {
            return;
        };
        // The process before this one may have used the share of this second.
        if now.since(self.born) < COLD_WINDOW {
            return;
        }
        for pick in self.chooser.cold_without_share(now) {
            let Processes { own, all, .. } = &*self.processes;
            let id = self.chooser.id(pick);
            let starts = id.map_or(0, |id| warmup.share(id, own, all));
            self.chooser.set_share(pick, starts);
        }
    }

    /// Notes how much longer an instance says that it is cold.
    pub fn set_cold_remaining(&mut self, now: Moment, pick: Pick, left: Duration) {
        self.chooser.set_cold_remaining(now, pick, left);
    }
}
