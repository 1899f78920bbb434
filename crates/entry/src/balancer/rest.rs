//! Instances that asked this process to send them nothing.

use std::time::Duration;

use base::prelude::*;
use hold::Hold;

use super::Balancer;

impl Balancer {
    /// Sends the instance nothing as long as the hold lasts. One that this balancer doesn't know,
    /// or that drains, is ignored.
    pub fn set_hold(&mut self, run: &InstanceRun, hold: Hold) {
        let pick = self.chooser.find(run.instance.as_str(), run.incarnation);
        match (pick, hold) {
            (Some(pick), Hold::Until(end)) => self.chooser.set_rest(pick, end),
            (Some(pick), Hold::Leaving) => self.chooser.set_leaving(pick),
            (None, _) => {}
        }
    }

    /// The ids of the instances that asked this process to send them nothing now.
    #[must_use]
    pub fn held_ids(&self, now: Moment) -> Vec<String> {
        self.ids(&self.chooser.held(now))
    }

    /// The time until an instance takes requests again, if all of them are resting.
    #[must_use]
    pub fn rest_remaining(&self, now: Moment) -> Option<Duration> {
        let end = self.chooser.first_rest_end(now)?;
        Some(end.since(now))
    }
}
