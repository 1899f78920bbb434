//! A cached placement, recomputed when its inputs change.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::prelude::*;
use members::HostPhase;
use members::Members;
use members::Record;
use place::Candidate;
use place::Demand;
use place::Placement;
use place::Spread;
use wire::catalogue::Catalogue;

/// Versions of the inputs of a placement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct CacheKey {
    hosts: u64,
    instances: u64,
    version: u64,
}

/// A placement with the versions of its inputs.
#[derive(Clone, Debug, Default)]
pub struct PlacementCache {
    key: Option<CacheKey>,
    placement: Placement,
    /// All serving hosts.
    candidates: Vec<Candidate>,
    /// The hosts that don't reach the instances of a service.
    cut_off: BTreeMap<ServiceName, BTreeSet<HostName>>,
}

impl PlacementCache {
    /// Returns the placement for the current state, recomputed if an input changed.
    pub fn refresh(&mut self, members: &Members, catalogue: &Catalogue, spread: Spread) -> &Self {
        let key = CacheKey {
            hosts: members.hosts().cursor(),
            instances: members.instances().cursor(),
            version: catalogue.version,
        };
        if self.key != Some(key) {
            self.candidates = candidates(members);
            let demands = demands(members, catalogue);
            self.placement = Placement::new(&self.candidates, &demands, spread);
            self.cut_off = cut_off_hosts(members);
            self.key = Some(key);
        }
        self
    }

    /// The hosts for callers of a service. A host that doesn't reach the service's instances is
    /// replaced by one that does, if there is one.
    #[must_use]
    pub fn hosts(&self, service: &ServiceName) -> Vec<Candidate> {
        let placed = self.placement.hosts(service);
        let Some(cut_off) = self.cut_off.get(service) else {
            return placed.to_vec();
        };
        let reaches = |host: &&Candidate| !cut_off.contains(&host.host);
        let mut hosts: Vec<Candidate> = placed.iter().filter(reaches).cloned().collect();
        let others = self.candidates.iter().filter(reaches);
        let mut others: Vec<&Candidate> = others.filter(|other| !placed.contains(other)).collect();
        others.sort_by_cached_key(|other| {
            Reverse(place::score(service.as_str(), other.host.as_str()))
        });
        let missing = placed.len() - hosts.len();
        hosts.extend(others.into_iter().take(missing).cloned());
        if hosts.is_empty() {
            // Nobody is better than the others.
            return placed.to_vec();
        }
        hosts
    }

    /// Number of candidate hosts in the cached placement.
    #[must_use]
    pub fn candidates(&self) -> usize {
        self.candidates.len()
    }
}

/// Hosts that callers may be sent to: live and serving.
fn candidates(members: &Members) -> Vec<Candidate> {
    let candidate = |record: &Record| match record {
        Record::Host(h) if h.phase == HostPhase::Serving => Some(Candidate {
            host: h.host.clone(),
            domain: h.domain.clone(),
            address: h.gateway,
        }),
        _ => None,
    };
    members.hosts().records().filter_map(candidate).collect()
}

/// The serving hosts that don't reach the instances of a service.
fn cut_off_hosts(members: &Members) -> BTreeMap<ServiceName, BTreeSet<HostName>> {
    let mut cut_off: BTreeMap<ServiceName, BTreeSet<HostName>> = BTreeMap::new();
    for record in members.hosts().records() {
        if let Record::Host(host) = record {
            for service in &host.cut_off {
                let hosts = cut_off.entry(service.clone()).or_default();
                hosts.insert(host.host.clone());
            }
        }
    }
    cut_off
}

/// All services of the catalogue with the slots of their live instances.
fn demands(members: &Members, catalogue: &Catalogue) -> Vec<Demand> {
    let mut slots: BTreeMap<ServiceName, u32> = BTreeMap::new();
    for entry in &catalogue.entries {
        if let Ok(service) = ServiceName::new(&entry.service) {
            slots.insert(service, 0);
        }
    }
    for record in members.instances().records() {
        if let Record::Instance(instance) = record
            && let Some(sum) = slots.get_mut(&instance.service)
        {
            *sum = sum.saturating_add(instance.slots);
        }
    }
    let demand = |(service, slots)| Demand { service, slots };
    slots.into_iter().map(demand).collect()
}
