//! Rendezvous hashing with bounded load, one failure domain after the other.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;

use crate::rendezvous;

/// An entry host that callers may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The host.
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where callers connect.
    pub address: SocketAddr,
}

/// A service with the slots that its instances have together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The service.
    pub service: ServiceName,
    /// Slots of all its instances; stands for its load.
    pub slots: u32,
}

/// How wide services are spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spread {
    /// Fewest gateways for a service in each failure domain.
    pub least: usize,
    /// Slots that one gateway serves; a service with more gets more gateways.
    pub slots: u32,
    /// How far above the mean a gateway may be loaded, in percent.
    pub slack: u32,
}

impl Spread {
    /// Every service at every host.
    pub const ALL: Self = Self {
        least: usize::MAX,
        slots: u32::MAX,
        slack: 100,
    };
}

impl Default for Spread {
    fn default() -> Self {
        Self {
            least: 2,
            slots: 240,
            slack: 10,
        }
    }
}

/// The hosts of every service.
///
/// Invariant: depends on nothing but the hosts, the demands and the spread, not
/// on their order.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    hosts: BTreeMap<ServiceName, Vec<Candidate>>,
}

impl Placement {
    /// Places every demand.
    #[must_use]
    pub fn new(hosts: &[Candidate], demands: &[Demand], spread: Spread) -> Self {
        let domains = by_domain(hosts);
        let mut demands: Vec<&Demand> = demands.iter().collect();
        demands.sort_by_key(|d| (Reverse(weight(d.slots)), d.service.clone()));
        let mut placement = Self::default();
        for candidates in domains.values() {
            Domain::new(candidates, &demands, domains.len(), spread).place(&mut placement);
        }
        placement
    }

    /// The hosts of `service`, those of one failure domain together; empty when it isn't placed.
    #[must_use]
    pub fn hosts(&self, service: &ServiceName) -> &[Candidate] {
        self.hosts.get(service).map_or(&[], Vec::as_slice)
    }

    /// All services with their hosts.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &[Candidate])> {
        self.hosts.iter().map(|(s, hosts)| (s, hosts.as_slice()))
    }
}

/// The gateways that a service gets in each of `domains` failure domains of `size` hosts.
#[must_use]
pub fn width(slots: u32, domains: usize, size: usize, spread: Spread) -> usize {
    let gateways = weight(slots).div_ceil(spread.slots.max(1)) as usize;
    let share = gateways.div_ceil(domains.max(1));
    share.max(spread.least).min(size)
}

/// Slots rounded up to three significant bits, so that few changes move anything.
#[must_use]
pub fn weight(slots: u32) -> u32 {
    let slots = slots.max(1);
    let unit = 1_u32 << slots.ilog2().saturating_sub(2);
    slots.div_ceil(unit).saturating_mul(unit)
}

fn by_domain(hosts: &[Candidate]) -> BTreeMap<&DomainName, Vec<&Candidate>> {
    let mut domains: BTreeMap<&DomainName, Vec<&Candidate>> = BTreeMap::new();
    for host in hosts {
        domains.entry(&host.domain).or_default().push(host);
    }
    domains
}

/// One failure domain while services are placed in it.
struct Domain<'a> {
    hosts: Vec<&'a Candidate>,
    demands: &'a [&'a Demand],
    domains: usize,
    spread: Spread,
    loads: Vec<f64>,
    bound: f64,
}

impl<'a> Domain<'a> {
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
            bound: mean * (1.0 + f64::from(spread.slack) / 100.0),
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

    /// Takes the hosts with the highest scores that have room, then the least loaded.
    fn choose(&mut self, demand: &Demand) -> Vec<usize> {
        let width = width(demand.slots, self.domains, self.hosts.len(), self.spread);
        let count = u32::try_from(width).unwrap_or(u32::MAX);
        let load = f64::from(weight(demand.slots)) / f64::from(count);
        let mut ranked: Vec<usize> = (0..self.hosts.len()).collect();
        ranked.sort_by_key(|i| Reverse(score(&demand.service, &self.hosts[*i].host)));
        let room = |i: &usize| self.loads[*i] + load <= self.bound;
        let (mut chosen, mut full): (Vec<usize>, Vec<usize>) = ranked.into_iter().partition(room);
        full.sort_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]));
        chosen.extend(full);
        chosen.truncate(width);
        for i in &chosen {
            self.loads[*i] += load;
        }
        chosen
    }
}

/// The rendezvous score of a service at a host.
fn score(service: &ServiceName, host: &HostName) -> (u64, HostName) {
    (
        rendezvous::score(service.as_str(), host.as_str()),
        host.clone(),
    )
}
