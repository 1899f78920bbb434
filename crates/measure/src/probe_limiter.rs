//! One gateway's spending of its share.
//!
//! A share is lowered at once and raised only when no gateway can still act on an
//! older version: a gateway without a confirmation younger than the lease spends
//! nothing, so that is one lease after the version was learned. Until then the
//! smallest share counts among the versions that may still be in use. A version
//! that was skipped is unknown, so after a skip, as after a start, nothing is spent
//! for a lease.

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

// Clocks of two machines may differ in pace by a thirty-second part.
const PACE: u32 = 32;

/// Why no probe may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Denied {
    /// No confirmation of the catalogue that is younger than the lease.
    Fenced,
    /// Another process of this host name has the right to probe.
    NotHolder,
    /// The host isn't registered, or the service has no budget.
    NoShare,
    /// A gateway may still act on a version that leaves nothing for this one.
    Settling,
    /// The instance isn't known.
    UnknownInstance,
    /// The share, or the slot, gives the next probe at this moment.
    #[strum(to_string = "early")]
    Early(Moment),
}

#[derive(Clone, Debug)]
struct Past {
    registry: Arc<Registry>,
    // When no gateway can act on it any more.
    over: Moment,
}

/// The buckets of one gateway process.
///
/// Each bucket is filled only for times at which this process was confirmed and
/// held the right to probe, at the smallest share of the versions that may have
/// been in use then.
#[derive(Clone, Debug)]
pub struct ProbeLimiter {
    host: HostName,
    lease: Duration,
    anchor: Duration,
    holder: bool,
    confirmed: Option<Moment>,
    current: Option<Arc<Registry>>,
    past: VecDeque<Past>,
    // Before this moment a version that was never seen may be in use.
    blind: Moment,
    buckets: HashMap<ServiceName, HashMap<InstanceId, Bucket>>,
}

impl ProbeLimiter {
    /// A meter that may spend nothing yet.
    ///
    /// `lease` is the one after which an unconfirmed gateway is fenced; `anchor` the
    /// wall-clock time at [`Moment::ZERO`].
    #[must_use]
    pub fn new(host: HostName, lease: Duration, anchor: Duration) -> Self {
        Self {
            host,
            lease,
            anchor,
            holder: false,
            confirmed: None,
            current: None,
            past: VecDeque::new(),
            blind: Moment::ZERO,
            buckets: HashMap::new(),
        }
    }

    /// Sets the wall-clock time at [`Moment::ZERO`] anew, as clocks drift.
    pub fn set_anchor(&mut self, anchor: Duration) {
        self.anchor = anchor;
    }

    /// Says whether this process has the right to probe under its host name.
    ///
    /// At most one process of a host name may have it at a time, such as the one
    /// that has bound an exclusive local port. A process that gets it starts empty.
    pub fn set_holder(&mut self, holder: bool, now: Moment) {
        if holder == self.holder {
            return;
        }
        self.holder = holder;
        let buckets = self.buckets.values_mut().flat_map(HashMap::values_mut);
        buckets.for_each(|bucket| bucket.clear(now));
    }

    /// Takes over a newer accepted version; an older or equal one changes nothing.
    pub fn update_registry(&mut self, registry: Arc<Registry>, now: Moment) {
        let known = self.current.as_ref().map(|current| current.version);
        if known.is_some_and(|version| registry.version <= version) {
            return;
        }
        self.fill_all(now);
        let hold = now + self.lease + self.lease / PACE;
        let follows = known.is_some_and(|version| registry.version == version + 1);
        match self.current.replace(registry) {
            Some(registry) if follows => self.past.push_back(Past {
                registry,
                over: hold,
            }),
            _ => {
                self.past.clear();
                self.blind = hold;
            }
        }
        self.past.retain(|past| past.over > now);
    }

    /// Takes a confirmation that `version` was current at `sent` or later.
    ///
    /// `sent` is when the request for it was sent, less the age that the answer
    /// states. A version that isn't known yet confirms nothing.
    pub fn confirm(&mut self, version: u64, sent: Moment, now: Moment) {
        let known = self.current.as_ref().map(|current| current.version);
        if known.is_none_or(|known| version > known) {
            return;
        }
        self.fill_all(now);
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Adds an instance with an empty bucket; one already known keeps its own.
    pub fn add(&mut self, service: &ServiceName, instance: &InstanceId, now: Moment) {
        let buckets = self.buckets.entry(service.clone()).or_default();
        buckets
            .entry(instance.clone())
            .or_insert_with(|| Bucket::new(now));
    }

    /// Forgets an instance; if it comes back, it starts empty.
    pub fn remove(&mut self, service: &ServiceName, instance: &InstanceId) {
        if let Some(buckets) = self.buckets.get_mut(service) {
            buckets.remove(instance);
        }
        self.buckets.retain(|_, buckets| !buckets.is_empty());
    }

    /// Spends one probe of an instance; the probe must be sent now or never.
    ///
    /// # Errors
    ///
    /// Says why not, and for [`Denied::Early`] from when on.
    pub fn spend(
        &mut self,
        service: &ServiceName,
        instance: &InstanceId,
        now: Moment,
    ) -> Result<(), Denied> {
        let share = self.right(service, now)?;
        let mut bucket = self.bucket(service, instance)?;
        self.fill(&mut bucket, service, now);
        let wait = bucket.wait(share);
        let ready = now + wait;
        let start = ready + self.slots(service, instance)?.wait(self.anchor, ready);
        if start > now {
            self.put(service, instance, bucket);
            return Err(Denied::Early(start));
        }
        let spent = bucket.spend();
        self.put(service, instance, bucket);
        if spent {
            Ok(())
        } else {
            Err(Denied::Early(start))
        }
    }

    // The share that counts now, or why there is none.
    fn right(&self, service: &ServiceName, now: Moment) -> Result<Share, Denied> {
        if !self.holder {
            return Err(Denied::NotHolder);
        }
        if now >= self.fence().ok_or(Denied::Fenced)? {
            return Err(Denied::Fenced);
        }
        self.own(service).ok_or(Denied::NoShare)?;
        self.share_at(service, now).ok_or(Denied::Settling)
    }

    fn own(&self, service: &ServiceName) -> Option<Share> {
        self.current.as_ref()?.share(&self.host, service)
    }

    fn slots(&self, service: &ServiceName, instance: &InstanceId) -> Result<Slots, Denied> {
        let share = self.own(service).ok_or(Denied::NoShare)?;
        Ok(Slots::new(share, instance))
    }

    // The smallest share among the versions that may be in use at `at`.
    fn share_at(&self, service: &ServiceName, at: Moment) -> Option<Share> {
        if at < self.blind {
            return None;
        }
        let mut least = self.own(service)?;
        for past in self.past.iter().filter(|past| past.over > at) {
            let share = past.registry.share(&self.host, service)?;
            if share.is_below(&least) {
                least = share;
            }
        }
        Some(least)
    }

    fn fence(&self) -> Option<Moment> {
        Some(self.confirmed? + self.lease)
    }

    fn bucket(&self, service: &ServiceName, instance: &InstanceId) -> Result<Bucket, Denied> {
        let buckets = self.buckets.get(service).ok_or(Denied::UnknownInstance)?;
        buckets
            .get(instance)
            .copied()
            .ok_or(Denied::UnknownInstance)
    }

    fn put(&mut self, service: &ServiceName, instance: &InstanceId, bucket: Bucket) {
        let buckets = self.buckets.get_mut(service);
        if let Some(kept) = buckets.and_then(|buckets| buckets.get_mut(instance)) {
            *kept = bucket;
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

    // Fills up to `now`, stretch by stretch, as the share changes where an older
    // version falls out of use; nothing is earned while fenced or without the right.
    fn fill(&self, bucket: &mut Bucket, service: &ServiceName, now: Moment) {
        let earns = self.fence().filter(|_| self.holder);
        let until = earns.unwrap_or(bucket.filled()).min(now);
        while bucket.filled() < until {
            let from = bucket.filled();
            let overs = self.past.iter().map(|past| past.over);
            let next = overs.chain([self.blind]).filter(|at| *at > from).min();
            let next = next.unwrap_or(until).min(until);
            bucket.fill(self.share_at(service, from), next);
        }
        bucket.fill(None, now);
    }
}
