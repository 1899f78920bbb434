//! Schedules when each service is checked for probes to send.
//!
//! The [`ProbeLimiter`](measure::ProbeLimiter) tells when the next probe of an instance
//! is allowed. A service is due as soon as one of its instances may be probed, so that
//! an idle gateway wakes up only when it can send a probe.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;

use crate::view::Instances;
use crate::view::View;

/// Interval between checks of an instance that may be probed but needs no probe yet.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time for which a denial of the limiter is cached, as a share may be raised.
pub const MAX_DENIAL_TIME: Duration = Duration::from_secs(1);

/// Schedule of one service.
#[derive(Debug, Default)]
pub struct ServiceSchedule {
    instances: Instances,
    next_check: Moment,
    // Time from which an instance may be probed, for those that the limiter denied.
    denied_until: HashMap<InstanceId, Moment>,
}

impl ServiceSchedule {
    /// Whether no denial of the instance is known at `now`.
    #[must_use]
    pub fn may_probe(&self, id: &InstanceId, now: Moment) -> bool {
        self.denied_until.get(id).is_none_or(|at| *at <= now)
    }

    /// Records that the limiter denies probes of the instance before `at`.
    pub fn deny(&mut self, id: &InstanceId, at: Moment, now: Moment) {
        self.denied_until
            .insert(id.clone(), at.min(now + MAX_DENIAL_TIME));
    }

    /// Finishes a check and schedules the next for when the first instance may be probed.
    pub fn finish_check(&mut self, now: Moment) {
        self.denied_until.retain(|_, at| *at > now);
        let allowed_at = |id: &InstanceId| self.denied_until.get(id).copied();
        let times = self
            .instances
            .iter()
            .map(|instance| allowed_at(&instance.id));
        let first = times.map(|at| at.unwrap_or(now + CHECK_INTERVAL)).min();
        self.next_check = first.unwrap_or(now + MAX_DENIAL_TIME);
    }

    /// Time of the next check.
    #[must_use]
    pub fn next_check(&self) -> Moment {
        self.next_check
    }

    /// Replaces the instances. If they changed, the service is checked at once.
    fn update(&mut self, instances: Instances) {
        if Arc::ptr_eq(&self.instances, &instances) {
            return;
        }
        self.instances = instances;
        self.next_check = Moment::ZERO;
        let instances = &self.instances;
        self.denied_until
            .retain(|id, _| instances.iter().any(|instance| instance.id == *id));
    }
}

/// Schedules of all services.
#[derive(Debug, Default)]
pub struct ProbeSchedule {
    view: Arc<View>,
    services: HashMap<ServiceName, ServiceSchedule>,
}

impl ProbeSchedule {
    /// Updates services and instances from the view.
    pub fn update(&mut self, view: &Arc<View>) {
        if Arc::ptr_eq(&self.view, view) {
            return;
        }
        self.services
            .retain(|name, _| view.service(name.as_str()).is_some());
        for service in view.services() {
            let schedule = self.services.entry(service.name.clone()).or_default();
            schedule.update(view.shared_instances(&service.name));
        }
        self.view = view.clone();
    }

    /// The services whose check is due at `now`.
    pub fn overdue(
        &mut self,
        now: Moment,
    ) -> impl Iterator<Item = (&ServiceName, &mut ServiceSchedule)> {
        self.services
            .iter_mut()
            .filter(move |(_, s)| s.next_check <= now)
    }

    /// Time of the next check, at most [`CHECK_INTERVAL`] from `now`, as the view may
    /// change in between.
    #[must_use]
    pub fn next_check(&self, now: Moment) -> Moment {
        let first = self
            .services
            .values()
            .map(ServiceSchedule::next_check)
            .min();
        first.map_or(now + CHECK_INTERVAL, |at| at.min(now + CHECK_INTERVAL))
    }
}
