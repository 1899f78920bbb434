//! The placement in force, worked out again when what it rests on moved.

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

/// What a placement rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Basis {
    hosts: u64,
    instances: u64,
    version: u64,
}

/// The placement with its basis.
#[derive(Clone, Debug, Default)]
pub struct PlacementCache {
    basis: Option<Basis>,
    placement: Placement,
    hosts: usize,
}

impl PlacementCache {
    /// The placement for the present state; works it out again only when that moved.
    pub fn refresh(
        &mut self,
        members: &Members,
        catalogue: &Catalogue,
        spread: Spread,
    ) -> &Placement {
        let basis = Basis {
            hosts: members.hosts().cursor(),
            instances: members.instances().cursor(),
            version: catalogue.version,
        };
        if self.basis != Some(basis) {
            let hosts = candidates(members);
            self.hosts = hosts.len();
            self.placement = Placement::new(&hosts, &demands(members, catalogue), spread);
            self.basis = Some(basis);
        }
        &self.placement
    }

    /// Hosts that could be named when it was last worked out.
    #[must_use]
    pub fn hosts(&self) -> usize {
        self.hosts
    }
}

/// The hosts that callers may be sent to: alive and serving.
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

/// Every service of the catalogue with the slots of its living instances.
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
