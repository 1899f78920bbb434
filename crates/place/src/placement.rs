//! Rendezvous hashing with bounded load, applied to each failure domain in turn.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;

use crate::rendezvous;

/// An entry host that may serve callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The host.
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where callers connect.
    pub address: SocketAddr,
}

/// A service and the total slots of its instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The service.
    pub service: ServiceName,
    /// Slots of all its instances, used as its load.
    pub slots: u32,
}

/// How widely services are spread over gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spread {
    /// Minimum number of gateways for a service in each failure domain.
    pub min_gateways: usize,
    /// Slots per gateway; a service with more slots gets more gateways.
    pub slots_per_gateway: u32,
    /// How far the load of a gateway may exceed the mean, in percent.
    pub slack_percent: u32,
}

impl Spread {
    /// Places every service on every host.
    pub const ALL: Self = Self {
        min_gateways: usize::MAX,
        slots_per_gateway: u32::MAX,
        slack_percent: 100,
    };
}

impl Default for Spread {
    fn default() -> Self {
        Self {
            min_gateways: 2,
            slots_per_gateway: 240,
            slack_percent: 10,
        }
    }
}

/// The hosts of every service.
///
/// Invariant: a function of the sets of hosts and demands and of the spread; the order of
/// the inputs does not matter.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    hosts: BTreeMap<ServiceName, Vec<Candidate>>,
}

impl Placement {
    /// Places all demands.
    #[must_use]
    pub fn new(hosts: &[Candidate], demands: &[Demand], spread: Spread) -> Self {
        let domains = group_by_domain(hosts);
        let mut demands: Vec<&Demand> = demands.iter().collect();
        demands.sort_by_key(|d| (Reverse(weight(d.slots)), d.service.clone()));
        let mut placement = Self::default();
        for candidates in domains.values() {
            DomainPlacement::new(candidates, &demands, domains.len(), spread).place(&mut placement);
        }
        placement
    }

    /// The hosts of `service`, grouped by failure domain; empty when it is not placed.
    #[must_use]
    pub fn hosts(&self, service: &ServiceName) -> &[Candidate] {
        self.hosts.get(service).map_or(&[], Vec::as_slice)
    }

    /// All services with their hosts.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &[Candidate])> {
        self.hosts.iter().map(|(s, hosts)| (s, hosts.as_slice()))
    }
}

/// Number of gateways for a service in each of `domains` failure domains of `size` hosts.
#[must_use]
pub fn gateways_per_domain(slots: u32, domains: usize, size: usize, spread: Spread) -> usize {
    let gateways = weight(slots).div_ceil(spread.slots_per_gateway.max(1)) as usize;
    let share = gateways.div_ceil(domains.max(1));
    share.max(spread.min_gateways).min(size)
}

/// Rounds slots up to three significant bits, so that small changes move no placement.
#[must_use]
pub fn weight(slots: u32) -> u32 {
    let slots = slots.max(1);
    let unit = 1_u32 << slots.ilog2().saturating_sub(2);
    slots.div_ceil(unit).saturating_mul(unit)
}

fn group_by_domain(hosts: &[Candidate]) -> BTreeMap<&DomainName, Vec<&Candidate>> {
    let mut domains: BTreeMap<&DomainName, Vec<&Candidate>> = BTreeMap::new();
    for host in hosts {
        domains.entry(&host.domain).or_default().push(host);
    }
    domains
}

/// Placement of all services within one failure domain.
struct DomainPlacement<'a> {
    hosts: Vec<&'a Candidate>,
    demands: &'a [&'a Demand],
    domains: usize,
    spread: Spread,
    loads: Vec<f64>,
    max_load: f64,
}

impl<'a> DomainPlacement<'a> {
    fn new(
        hosts: &[&'a Candidate],
        demands: &'a [&'a Demand],
        domains: usize,
        spread: Spread,
    ) -> Self {
        let total: f64 = demands.iter().map(|d| f64::from(weight(d.slots))).sum();
        let count = u32::try_from(hosts.len()).unwrap_or(u32::MAX);
        let mean = total / f64::from(count);
        Self {
            hosts: hosts.to_vec(),
            demands,
            domains,
            spread,
            loads: vec![0.0; hosts.len()],
            max_load: mean * (1.0 + f64::from(spread.slack_percent) / 100.0),
        }
    }

    fn place(mut self, placement: &mut Placement) {
        for demand in self.demands {
            let chosen = self.choose(demand);
            let hosts = chosen.into_iter().map(|i| self.hosts[i].clone());
            let entry = placement.hosts.entry(demand.service.clone());
            entry.or_default().extend(hosts);
        }
    }

    /// Selects the highest-scoring hosts with spare capacity, then the least loaded ones.
    fn choose(&mut self, demand: &Demand) -> Vec<usize> {
        let gateways =
            gateways_per_domain(demand.slots, self.domains, self.hosts.len(), self.spread);
        let count = u32::try_from(gateways).unwrap_or(u32::MAX);
        let load = f64::from(weight(demand.slots)) / f64::from(count);
        let mut ranked: Vec<usize> = (0..self.hosts.len()).collect();
        ranked.sort_by_key(|i| Reverse(score(&demand.service, &self.hosts[*i].host)));
        let has_capacity = |i: &usize| self.loads[*i] + load <= self.max_load;
        let (mut chosen, mut overloaded): (Vec<usize>, Vec<usize>) =
            ranked.into_iter().partition(has_capacity);
        overloaded.sort_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]));
        chosen.extend(overloaded);
        chosen.truncate(gateways);
        for i in &chosen {
            self.loads[*i] += load;
        }
        chosen
    }
}

/// Rendezvous score of a service on a host, with the host name as tie-breaker.
fn score(service: &ServiceName, host: &HostName) -> (u64, HostName) {
    (
        rendezvous::score(service.as_str(), host.as_str()),
        host.clone(),
    )
}
