//! The limit on the probes of one gateway.
//!
//! A gateway whose last confirmation of the catalogue is older than the lease sends no probes.
//! One lease after a version was learned, no gateway therefore acts on an older one. Until then
//! the smallest share of the versions that may still be in use applies, so that a share is
//! lowered immediately and raised after a lease. After a start or a skipped version, an unknown
//! version may be in use, so nothing is spent for a lease.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use strum::Display;
use strum::IntoStaticStr;

use crate::bucket::Bucket;
use crate::registry::Registry;
use crate::registry::Share;
use crate::slot::Slots;

// Maximum difference in clock rate between two hosts, as a divisor.
const MAX_CLOCK_DRIFT: u32 = 32;

/// Why a probe may not be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Denied {
    /// The last confirmation of the catalogue is older than the lease.
    Fenced,
    /// Another process of this host has the right to probe.
    NotHolder,
    /// The host isn't registered as a gateway, or the service has no budget.
    NoShare,
    /// A version in which this gateway has no share, or an unknown one, may still be in use.
    Settling,
    /// The instance was not added.
    UnknownInstance,
    /// The bucket or the time slot allows the next probe at this time.
    #[strum(to_string = "early")]
    Early(Moment),
}

#[derive(Clone, Debug)]
struct OldVersion {
    registry: Arc<Registry>,
    // When no gateway can use the version any more.
    expires_at: Moment,
}

/// Limits the probes of one gateway process.
///
/// Each bucket is filled only for times at which this process had a confirmation younger than
/// the lease and the right to probe, at the smallest share of the versions that may have been
/// in use at that time.
#[derive(Clone, Debug)]
pub struct ProbeLimiter {
    host: HostName,
    lease: Duration,
    anchor: Duration,
    holder: bool,
    confirmed: Option<Moment>,
    current: Option<Arc<Registry>>,
    old_versions: VecDeque<OldVersion>,
    // Until this time, a version that this process never received may be in use.
    unknown_until: Moment,
    buckets: HashMap<ServiceName, HashMap<InstanceId, Bucket>>,
}

impl ProbeLimiter {
    /// Creates a limiter that allows no probes yet.
    ///
    /// `lease` is the time after which a gateway without a confirmation sends no probes, and
    /// `anchor` the wall-clock time at [`Moment::ZERO`].
    #[must_use]
    pub fn new(host: HostName, lease: Duration, anchor: Duration) -> Self {
        Self {
            host,
            lease,
            anchor,
            holder: false,
            confirmed: None,
            current: None,
            old_versions: VecDeque::new(),
            unknown_until: Moment::ZERO,
            buckets: HashMap::new(),
        }
    }

    /// Updates the wall-clock time at [`Moment::ZERO`], as clocks drift.
    pub fn set_anchor(&mut self, anchor: Duration) {
        self.anchor = anchor;
    }

    /// Sets whether this process has the right to probe for its host.
    ///
    /// At most one process of a host may have it at a time, such as the one that has bound an
    /// exclusive local port. All buckets are emptied when the right changes.
    pub fn set_holder(&mut self, holder: bool, now: Moment) {
        if holder == self.holder {
            return;
        }
        self.holder = holder;
        let buckets = self.buckets.values_mut().flat_map(HashMap::values_mut);
        buckets.for_each(|bucket| bucket.clear(now));
    }

    /// Switches to a newer accepted version. Older and equal versions are ignored.
    pub fn update_registry(&mut self, registry: Arc<Registry>, now: Moment) {
        let current_version = self.current.as_ref().map(|current| current.version);
        if current_version.is_some_and(|version| registry.version <= version) {
            return;
        }
        self.fill_all(now);
        let outdated_at = now + self.lease + self.lease / MAX_CLOCK_DRIFT;
        let is_consecutive = current_version.is_some_and(|version| registry.version == version + 1);
        match self.current.replace(registry) {
            Some(registry) if is_consecutive => self.old_versions.push_back(OldVersion {
                registry,
                expires_at: outdated_at,
            }),
            _ => {
                self.old_versions.clear();
                self.unknown_until = outdated_at;
            }
        }
        self.old_versions.retain(|old| old.expires_at > now);
    }

    /// Records a confirmation that `version` was current at `sent` or later.
    ///
    /// `sent` is the time at which the confirmation was requested, minus the age that the answer
    /// states. Versions newer than the current one are ignored.
    pub fn confirm(&mut self, version: u64, sent: Moment, now: Moment) {
        let current_version = self.current.as_ref().map(|current| current.version);
        if current_version.is_none_or(|current_version| version > current_version) {
            return;
        }
        self.fill_all(now);
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Adds an instance with an empty bucket, unless it was added already.
    pub fn add(&mut self, service: &ServiceName, instance: &InstanceId, now: Moment) {
        let buckets = self.buckets.entry(service.clone()).or_default();
        buckets
            .entry(instance.clone())
            .or_insert_with(|| Bucket::new(now));
    }

    /// Removes an instance and its bucket.
    pub fn remove(&mut self, service: &ServiceName, instance: &InstanceId) {
        if let Some(buckets) = self.buckets.get_mut(service) {
            buckets.remove(instance);
        }
        self.buckets.retain(|_, buckets| !buckets.is_empty());
    }

    /// Takes one probe of an instance. The probe has to be sent immediately.
    ///
    /// # Errors
    ///
    /// Fails if no probe may be sent now; [`Denied::Early`] says from when on.
    pub fn spend(
        &mut self,
        service: &ServiceName,
        instance: &InstanceId,
        now: Moment,
    ) -> Result<(), Denied> {
        let share = self.effective_share(service, now)?;
        let mut bucket = self.bucket(service, instance)?;
        self.fill(&mut bucket, service, now);
        let wait = bucket.wait(share);
        let ready = now + wait;
        let start = ready + self.slots(service, instance)?.wait(self.anchor, ready);
        if start > now {
            self.store(service, instance, bucket);
            return Err(Denied::Early(start));
        }
        let spent = bucket.spend();
        self.store(service, instance, bucket);
        if spent {
            Ok(())
        } else {
            Err(Denied::Early(start))
        }
    }

    // The share that applies now.
    fn effective_share(&self, service: &ServiceName, now: Moment) -> Result<Share, Denied> {
        if !self.holder {
            return Err(Denied::NotHolder);
        }
        if now >= self.fenced_at().ok_or(Denied::Fenced)? {
            return Err(Denied::Fenced);
        }
        self.current_share(service).ok_or(Denied::NoShare)?;
        self.share_at(service, now).ok_or(Denied::Settling)
    }

    fn current_share(&self, service: &ServiceName) -> Option<Share> {
        self.current.as_ref()?.share(&self.host, service)
    }

    fn slots(&self, service: &ServiceName, instance: &InstanceId) -> Result<Slots, Denied> {
        let share = self.current_share(service).ok_or(Denied::NoShare)?;
        Ok(Slots::new(share, instance))
    }

    // The smallest share of the versions that may be in use at `at`.
    fn share_at(&self, service: &ServiceName, at: Moment) -> Option<Share> {
        if at < self.unknown_until {
            return None;
        }
        let mut min_share = self.current_share(service)?;
        for old in self.old_versions.iter().filter(|old| old.expires_at > at) {
            let share = old.registry.share(&self.host, service)?;
            if share.is_below(&min_share) {
                min_share = share;
            }
        }
        Some(min_share)
    }

    fn fenced_at(&self) -> Option<Moment> {
        Some(self.confirmed? + self.lease)
    }

    fn bucket(&self, service: &ServiceName, instance: &InstanceId) -> Result<Bucket, Denied> {
        let buckets = self.buckets.get(service).ok_or(Denied::UnknownInstance)?;
        buckets
            .get(instance)
            .copied()
            .ok_or(Denied::UnknownInstance)
    }

    fn store(&mut self, service: &ServiceName, instance: &InstanceId, bucket: Bucket) {
        let buckets = self.buckets.get_mut(service);
        if let Some(stored) = buckets.and_then(|buckets| buckets.get_mut(instance)) {
            *stored = bucket;
        }
    }

    fn fill_all(&mut self, now: Moment) {
        let mut buckets = std::mem::take(&mut self.buckets);
        for (service, instances) in &mut buckets {
            let instances = instances.values_mut();
            instances.for_each(|bucket| self.fill(bucket, service, now));
        }
        self.buckets = buckets;
    }

    // Fills up to `now`, in steps that end when an old version expires and the share changes.
    // Times without a valid confirmation or the right to probe add nothing.
    fn fill(&self, bucket: &mut Bucket, service: &ServiceName, now: Moment) {
        let confirmed_until = self.fenced_at().filter(|_| self.holder);
        let until = confirmed_until.unwrap_or(bucket.filled_at()).min(now);
        while bucket.filled_at() < until {
            let from = bucket.filled_at();
            let expiries = self.old_versions.iter().map(|old| old.expires_at);
            let next = expiries
                .chain([self.unknown_until])
                .filter(|at| *at > from)
                .min();
            let next = next.unwrap_or(until).min(until);
            bucket.fill(self.share_at(service, from), next);
        }
        bucket.fill(None, now);
    }
}
