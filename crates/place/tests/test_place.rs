//! Placement must use few gateways per failure domain, evenly and stably.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::prelude::*;
use place::Candidate;
use place::Demand;
use place::Placement;
use place::Spread;
use place::order;
use quickcheck::quickcheck;

fn host(i: usize, domains: usize) -> Candidate {
    let port = u16::try_from(1000 + i).expect("few hosts");
    Candidate {
        host: HostName::new(&format!("h{i}")).expect("a name"),
        domain: DomainName::new(&format!("d{}", i % domains)).expect("a name"),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
    }
}

fn hosts(count: usize, domains: usize) -> Vec<Candidate> {
    (0..count).map(|i| host(i, domains)).collect()
}

fn demand(i: usize, slots: u32) -> Demand {
    let service = ServiceName::new(&format!("s{i}")).expect("a name");
    Demand { service, slots }
}

fn demands(count: usize) -> Vec<Demand> {
    (0..count).map(|i| demand(i, 60)).collect()
}

fn domains(found: &[Candidate]) -> BTreeSet<&str> {
    found.iter().map(|c| c.domain.as_str()).collect()
}

#[test]
fn test_place_few_gateways_in_every_domain() {
    // Hosts, domains, slots; expected gateways of the service.
    let cases = [
        (15, 3, 60, 6),
        (15, 3, 0, 6),
        (15, 3, 1000, 6),
        (15, 3, 4000, 15),
        (64, 4, 512, 8),
        (64, 4, 2400, 12),
        (3, 3, 60, 3),
        (1, 1, 60, 1),
        (2, 1, 60, 2),
        (0, 1, 60, 0),
    ];
    for (count, among, slots, expected) in cases {
        let services = [demand(0, slots)];
        let placement = Placement::new(&hosts(count, among), &services, Spread::default());
        let found = placement.hosts(&services[0].service);
        assert_eq!(
            found.len(),
            expected,
            "{count} hosts, {among} domains, {slots} slots"
        );
        let unique: BTreeSet<&str> = found.iter().map(|c| c.host.as_str()).collect();
        assert_eq!(unique.len(), found.len());
        assert_eq!(domains(found).len(), among.min(count));
    }
    let unplaced = Placement::new(&hosts(3, 3), &[], Spread::default());
    assert!(unplaced.hosts(&demand(0, 1).service).is_empty());
}

#[test]
fn test_place_load_is_bounded() {
    let spread = Spread::default();
    for (hosts_count, domains_count, services) in [(15, 3, 130), (64, 4, 130), (15, 3, 8)] {
        let placement = Placement::new(
            &hosts(hosts_count, domains_count),
            &demands(services),
            spread,
        );
        let mut loads = vec![0_usize; hosts_count];
        for (_, found) in placement.iter() {
            for candidate in found {
                loads[usize::from(candidate.address.port()) - 1000] += 1;
            }
        }
        let total: usize = loads.iter().sum();
        let max_load = loads.iter().max().copied().unwrap_or_default();
        // The bound, plus one where a whole service does not fit below it.
        let bound = total * 110 / 100 / hosts_count + 1;
        assert!(
            max_load <= bound,
            "{hosts_count} hosts, {services} services: {max_load} over {bound}"
        );
    }
}

#[test]
fn test_place_a_host_moves_only_its_share() {
    let all = hosts(16, 4);
    let services = demands(130);
    let before = Placement::new(&all, &services, Spread::default());
    let after = Placement::new(&all[1..], &services, Spread::default());
    let mut moved = 0;
    let mut placed = 0;
    for (service, old) in before.iter() {
        let remaining: BTreeSet<&str> = after
            .hosts(service)
            .iter()
            .map(|c| c.host.as_str())
            .collect();
        placed += old.len();
        moved += old
            .iter()
            .filter(|c| c.host.as_str() != "h0" && !remaining.contains(c.host.as_str()))
            .count();
    }
    // One of 16 hosts was removed, with 65 of 1040 placements; the load bound moves the rest.
    assert!(
        moved * 100 < placed * 10,
        "{moved} of {placed} moved besides the host's own"
    );
}

#[test]
fn test_place_small_slot_change_moves_nothing() {
    let all = hosts(15, 3);
    let services = demands(130);
    let before = Placement::new(&all, &services, Spread::default());
    for i in 0..services.len() {
        let mut fewer = services.clone();
        fewer[i].slots = 58;
        let after = Placement::new(&all, &fewer, Spread::default());
        assert!(before.iter().eq(after.iter()), "service {i}");
    }
}

quickcheck! {
    fn test_place_order_of_inputs_doesnt_matter(count: u8, services: u8, turn: u8) -> bool {
        let mut all = hosts(usize::from(count % 20), 3);
        let mut wanted = demands(usize::from(services % 40));
        let one = Placement::new(&all, &wanted, Spread::default());
        let turn = usize::from(turn);
        let turn = turn.checked_rem(all.len()).unwrap_or(0);
        all.rotate_left(turn);
        wanted.reverse();
        let two = Placement::new(&all, &wanted, Spread::default());
        let set = |p: &Placement| -> Vec<(ServiceName, BTreeSet<SocketAddr>)> {
            p.iter().map(|(s, found)| (s.clone(), found.iter().map(|c| c.address).collect())).collect()
        };
        set(&one) == set(&two)
    }

    fn test_place_answer_holds_each_host_once(count: u8, pick: u64) -> bool {
        let all = hosts(usize::from(count), 3);
        let ordered = order(&all, pick);
        let unique: BTreeSet<SocketAddr> = ordered.iter().map(|c| c.address).collect();
        ordered.len() == all.len() && unique.len() == all.len()
    }

    fn test_place_answer_changes_domain_at_each_step(pick: u64) -> bool {
        let mut all = hosts(6, 3);
        all.sort_by_key(|c| c.domain.clone());
        let ordered = order(&all, pick);
        domains(&ordered[..3]).len() == 3 && domains(&ordered[3..]).len() == 3
    }
}

#[test]
fn test_place_answers_start_evenly() {
    let all = hosts(6, 3);
    for (i, expected) in all.iter().enumerate() {
        let pick = u64::try_from(i).expect("few");
        assert_eq!(order(&all, pick).first(), Some(expected));
    }
}
