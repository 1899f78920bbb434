//! Instances that asked this process to send them nothing.

use std::time::Duration;

use backoff::Backoff;
use base::prelude::*;
use route::Pick;

use super::Balancer;

impl Balancer {
    /// Sends the instance nothing as long as the backoff lasts. One that this balancer doesn't know,
    /// or that drains, is ignored.
    pub fn set_backoff(&mut self, run: &InstanceRun, backoff: Backoff) {
        let pick = self.chooser.find(run.instance.as_str(), run.incarnation);
        match (pick, backoff) {
            (Some(pick), Backoff::Until(end)) => self.chooser.set_backoff(pick, end),
            (Some(pick), Backoff::Leaving) => self.chooser.set_leaving(pick),
            (None, _) => {}
        }
    }

    /// The instances that asked this process to send them nothing now.
    #[must_use]
    pub fn backed_off(&self, now: Moment) -> Vec<Pick> {
        self.chooser.backed_off(now)
    }

    /// The time until an instance takes requests again, if all of them are backed off.
    #[must_use]
    pub fn backoff_remaining(&self, now: Moment) -> Option<Duration> {
        let end = self.chooser.first_backoff_end(now)?;
        Some(end.since(now))
    }
}
