//! Evenness of the gateways' load, and the share of placements that a lost host moves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::prelude::*;
use place::Candidate;
use place::Demand;
use place::Placement;
use place::Spread;

/// Slots of the services, cyclically.
const SLOTS: [u32; 4] = [60, 42, 36, 60];

fn hosts(count: usize, domains: usize) -> Vec<Candidate> {
    let host = |i: usize| Candidate {
        host: HostName::new(&format!("host-{i}")).expect("a name"),
        domain: DomainName::new(&format!("domain-{}", i % domains)).expect("a name"),
        address: SocketAddr::from(([127, 0, 0, 1], u16::try_from(1000 + i).expect("few"))),
    };
    (0..count).map(host).collect()
}

fn demands(count: usize) -> Vec<Demand> {
    let demand = |i: usize| Demand {
        service: ServiceName::new(&format!("service-{i}")).expect("a name"),
        slots: SLOTS[i % SLOTS.len()],
    };
    (0..count).map(demand).collect()
}

/// Load of the most loaded host over the mean; callers spread evenly over each answer.
fn evenness(placement: &Placement, demands: &[Demand], hosts: usize) -> f64 {
    let mut loads: BTreeMap<SocketAddr, f64> = BTreeMap::new();
    for demand in demands {
        let found = placement.hosts(&demand.service);
        let count = f64::from(u32::try_from(found.len()).expect("few"));
        for candidate in found {
            *loads.entry(candidate.address).or_default() += f64::from(demand.slots) / count;
        }
    }
    let total: f64 = loads.values().sum();
    let max_load = loads.values().copied().fold(0.0, f64::max);
    max_load * f64::from(u32::try_from(hosts).expect("few")) / total
}

/// Percentage of the placements on other hosts that move when host `left` is removed.
fn moved(before: &Placement, after: &Placement, removed: SocketAddr) -> f64 {
    let (mut moved, mut all) = (0_u32, 0_u32);
    for (service, found) in before.iter() {
        let after_hosts: BTreeSet<SocketAddr> =
            after.hosts(service).iter().map(|c| c.address).collect();
        for candidate in found.iter().filter(|c| c.address != removed) {
            all += 1;
            moved += u32::from(!after_hosts.contains(&candidate.address));
        }
    }
    f64::from(moved) * 100.0 / f64::from(all)
}

/// Prints one line for each slack.
pub fn print(count: usize, domains: usize, services: usize, min_gateways: usize) {
    let demands = demands(services);
    let hosts = hosts(count, domains);
    for slack_percent in [10, 25, 50] {
        let spread = Spread {
            min_gateways,
            slack_percent,
            ..Spread::default()
        };
        let whole = Placement::new(&hosts, &demands, spread);
        let even = evenness(&whole, &demands, count);
        let moves = (0..count).map(|i| {
            let mut rest = hosts.clone();
            let removed = rest.remove(i).address;
            moved(&whole, &Placement::new(&rest, &demands, spread), removed)
        });
        let worst = moves.fold(0.0, f64::max);
        let names = demands
            .iter()
            .map(|d| whole.hosts(&d.service).len())
            .sum::<usize>();
        println!(
            "kind=share hosts={count} domains={domains} services={services} least={min_gateways} slack_percent={slack_percent} placements={names} most_over_mean={even:.3} moved_worst_percent={worst:.2}"
        );
    }
}
