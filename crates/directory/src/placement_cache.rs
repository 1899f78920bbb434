//! A cached placement, recomputed when its inputs change.

use std::collections::BTreeMap;

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
    candidates: usize,
}

impl PlacementCache {
    /// Returns the placement for the current state, recomputed if an input changed.
    pub fn refresh(
        &mut self,
        members: &Members,
        catalogue: &Catalogue,
        spread: Spread,
    ) -> &Placement {
        let key = CacheKey {
            hosts: members.hosts().cursor(),
            instances: members.instances().cursor(),
            version: catalogue.version,
        };
        if self.key != Some(key) {
            let hosts = candidates(members);
            self.candidates = hosts.len();
            self.placement = Placement::new(&hosts, &demands(members, catalogue), spread);
            self.key = Some(key);
        }
        &self.placement
    }

    /// Number of candidate hosts in the cached placement.
    #[must_use]
    pub fn candidates(&self) -> usize {
        self.candidates
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
