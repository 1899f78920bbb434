//! Division of a service into parts, their dispatchers, and the choice of a part.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use base::prelude::*;
use dispatch::parts::Division;
use dispatch::parts::Member;
use dispatch::parts::PartChooser;
use dispatch::parts::PartId;
use dispatch::parts::PartLoad;
use dispatch::parts::PartReason;
use dispatch::parts::Process;
use dispatch::parts::home;
use quickcheck::quickcheck;

const LIMIT: usize = 24;
const SLOTS: u32 = 3;

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000 + millis)
}

fn service() -> ServiceName {
    ServiceName::new("balance").expect("a name")
}

fn domain(name: &str) -> DomainName {
    DomainName::new(name).expect("a name")
}

/// Instances by id, with their failure domains.
type Instances = Vec<(InstanceId, DomainName)>;

/// Places of processes, with their failure domains.
type Hosts = Vec<(String, String)>;

fn instances(counts: &[(&str, usize)]) -> Instances {
    let each = counts.iter().flat_map(|(name, count)| {
        let id = move |n| InstanceId::new(&format!("{name}-{n}")).expect("a name");
        (0..*count).map(move |n| (id(n), domain(name)))
    });
    each.collect()
}

fn hosts(counts: &[(&str, usize)]) -> Hosts {
    let each = counts.iter().flat_map(|(name, count)| {
        (0..*count).map(move |n| (format!("{name}.{n}:7013"), (*name).to_owned()))
    });
    each.collect()
}

fn processes(hosts: &Hosts) -> Vec<Process<'_>> {
    let processes = hosts
        .iter()
        .map(|(place, domain)| Process { place, domain });
    processes.collect()
}

fn divide(instances: &Instances, hosts: &Hosts) -> Division {
    let members = instances.iter().map(|(id, domain)| Member {
        id,
        domain,
        slots: SLOTS,
    });
    let members: Vec<Member<'_>> = members.collect();
    Division::new(&service(), &members, &processes(hosts), LIMIT)
}

/// The part of each instance.
fn part_by_instance(instances: &Instances, division: &Division) -> BTreeMap<InstanceId, PartId> {
    let each = instances.iter().map(|(id, _)| {
        let position = division.position_of(id).expect("every instance has a part");
        (id.clone(), division.parts()[position].id.clone())
    });
    each.collect()
}

/// 158 instances and 92 processes in three failure domains.
fn large_service() -> (Instances, Hosts) {
    (
        instances(&[("a", 53), ("b", 53), ("c", 52)]),
        hosts(&[("a", 35), ("b", 27), ("c", 30)]),
    )
}

quickcheck! {
    /// Guards against a part that is too large for its dispatcher, one that spans failure
    /// domains, and a dispatcher elsewhere although the failure domain has processes.
    fn prop_division_keeps_limit_and_failure_domains(counts: (u8, u8, u8)) -> bool {
        let counts = [("a", counts.0.into()), ("b", counts.1.into()), ("c", counts.2.into())];
        let (instances, hosts) = (instances(&counts), hosts(&[("a", 5), ("b", 7)]));
        let division = divide(&instances, &hosts);
        let parts = division.parts().iter();
        let is_near = |part: &&dispatch::parts::Part| {
            let at = part.dispatcher.as_deref().expect("there are processes");
            part.id.domain.as_str() == "c" || at.starts_with(part.id.domain.as_str())
        };
        parts.clone().all(|part| part.instances <= LIMIT)
            && parts.clone().all(|part| is_near(&part))
            && instances.iter().all(|(id, domain)| {
                division.position_of(id).is_some_and(|at| division.parts()[at].id.domain == *domain)
            })
    }

    /// Guards against moving instances, and with them connections, as one leaves or comes: only a
    /// change of the number of parts may move others, and then only to or from the last part.
    fn prop_division_moves_only_to_a_new_part(count: u8, leaver: u8) -> bool {
        let count = usize::from(count) + 1;
        let all = instances(&[("a", count)]);
        let mut fewer = all.clone();
        fewer.remove(usize::from(leaver) % count);
        let hosts = hosts(&[("a", 5)]);
        let (large, small) = (divide(&all, &hosts), divide(&fewer, &hosts));
        let (before, after) = (part_by_instance(&all, &large), part_by_instance(&fewer, &small));
        let kept = small.parts().len();
        after.iter().all(|(id, part)| {
            before[id] == *part || before[id].number as usize >= kept || large.parts().len() < kept
        })
    }
}

/// Guards against the order of lists, which differs between processes, changing the division.
#[test]
fn test_division_is_the_same_for_any_order() {
    let (mut instances, mut hosts) = large_service();
    let first = divide(&instances, &hosts);
    instances.reverse();
    hosts.reverse();
    assert_eq!(first, divide(&instances, &hosts));
    assert_eq!(first.parts().len(), 9);
}

/// Guards against two parts of a service at one process while others dispatch nothing, and against
/// moving more than the parts of a process that leaves.
#[test]
fn test_division_dispatchers_are_distinct_and_stay() {
    let (instances, hosts) = large_service();
    let division = divide(&instances, &hosts);
    let at = |division: &Division| -> Vec<String> {
        let parts = division.parts().iter();
        parts.filter_map(|part| part.dispatcher.clone()).collect()
    };
    let dispatchers = at(&division);
    let distinct: BTreeSet<&String> = dispatchers.iter().collect();
    assert_eq!(distinct.len(), division.parts().len());
    for leaver in &dispatchers {
        let mut remaining = hosts.clone();
        remaining.retain(|(place, _)| place != leaver);
        let moved = at(&divide(&instances, &remaining));
        let moved = moved
            .iter()
            .zip(&dispatchers)
            .filter(|(new, old)| new != old);
        // The new dispatcher of one part may have been the second choice of another.
        assert!(moved.count() <= 2, "{leaver}");
    }
    assert_eq!(at(&divide(&instances, &Hosts::new())), Vec::<String>::new());
}

/// The home part of each process.
fn homes(hosts: &Hosts, division: &Division) -> BTreeMap<String, usize> {
    let all = processes(hosts);
    let each = all.iter().filter_map(|own| {
        let home = home(&service(), *own, &all, division)?;
        Some((own.place.to_owned(), home))
    });
    each.collect()
}

/// Guards against a part that is the home of too many processes, or of none, and against a home in
/// another failure domain.
#[test]
fn test_home_processes_are_divided_evenly() {
    let (instances, hosts) = large_service();
    let division = divide(&instances, &hosts);
    let homes = homes(&hosts, &division);
    assert_eq!(homes.len(), hosts.len());
    for (position, part) in division.parts().iter().enumerate() {
        let domain = part.id.domain.as_str();
        let here = homes.iter().filter(|(_, home)| **home == position);
        assert!(here.clone().all(|(place, _)| place.starts_with(domain)));
        let near = hosts.iter().filter(|(_, other)| other == domain).count();
        let of_domain = instances
            .iter()
            .filter(|(_, other)| *other == part.id.domain);
        let fair = near * part.instances / of_domain.count();
        assert!(here.count().abs_diff(fair) <= 2, "{}", part.id);
        let dispatcher = part.dispatcher.as_ref().expect("there are processes");
        assert_eq!(homes[dispatcher], position);
    }
}

/// Guards against all homes, and with them all connections, moving as one process leaves.
#[test]
fn test_home_few_move_as_a_process_leaves() {
    let (instances, hosts) = large_service();
    let division = divide(&instances, &hosts);
    let before = homes(&hosts, &division);
    for leaver in &hosts {
        let mut remaining = hosts.clone();
        remaining.retain(|host| host != leaver);
        let after = homes(&remaining, &divide(&instances, &remaining));
        let moved = after
            .iter()
            .filter(|(place, home)| before[*place] != **home);
        // One for each boundary between two parts, and one for a new dispatcher and its second.
        assert!(moved.count() <= 4, "{leaver:?}");
    }
}

/// A process that chooses parts.
struct Asker {
    division: Division,
    chooser: PartChooser,
    home: usize,
}

impl Asker {
    fn new() -> Self {
        let (instances, hosts) = large_service();
        Self {
            division: divide(&instances, &hosts),
            chooser: PartChooser::new(1),
            home: 1,
        }
    }

    fn record(&mut self, millis: u64, position: usize, in_flight: u32, granted: bool) {
        let part = &self.division.parts()[position];
        let load = PartLoad {
            slots: part.slots,
            in_flight,
            waiting: 0,
        };
        self.chooser.record(at(millis), &part.id, load, granted);
    }

    /// Chooses until no part is left.
    fn order(&mut self, millis: u64, crossing: f64) -> Vec<(usize, PartReason)> {
        let (mut tried, mut order) = (Vec::new(), Vec::new());
        let (own, home) = (domain("a"), Some(self.home));
        let chooser = &mut self.chooser;
        while let Some(choice) =
            chooser.choose(at(millis), &self.division, &own, home, &tried, crossing)
        {
            tried.push(self.division.parts()[choice.position].id.clone());
            order.push((choice.position, choice.reason));
        }
        order
    }
}

/// Guards against asking other parts, whose connections are cold, while the home part has
/// capacity, and against crossing while the own failure domain has capacity.
#[test]
fn test_choice_home_then_own_domain_then_others() {
    let mut asker = Asker::new();
    let order = asker.order(0, 0.01);
    assert_eq!(order[0], (1, PartReason::Home));
    assert!(
        order[1..3]
            .iter()
            .all(|(at, why)| *at < 3 && *why == PartReason::Overflow)
    );
    assert!(
        order[3..]
            .iter()
            .all(|(at, why)| *at >= 3 && *why == PartReason::Crossing)
    );
    assert_eq!(order.len(), 9);
    // Bytes between failure domains that cost more than the request is worth are never sent.
    assert_eq!(asker.order(0, 1.0).len(), 3);
}

/// Guards against queueing at a full home part, or crossing, while another part is free; and
/// against believing an old answer.
#[test]
fn test_choice_full_parts_come_last_until_the_answer_is_old() {
    let mut asker = Asker::new();
    asker.record(0, 1, 54, true);
    assert_eq!(asker.order(1, 0.01)[0].1, PartReason::Overflow);
    asker.record(0, 0, 54, true);
    asker.record(0, 2, 0, false);
    let order = asker.order(1, 0.01);
    assert_eq!(order[0].1, PartReason::Crossing);
    assert_eq!(order[6], (1, PartReason::Full));
    assert_eq!(asker.order(1_000, 0.01)[0], (1, PartReason::Home));
}

/// Guards against a failure domain without usable instances, as during an evacuation, making the
/// service unavailable to its processes whatever the bytes cost.
#[test]
fn test_choice_domain_without_instances_uses_others() {
    let (instances, hosts) = (instances(&[("b", 30)]), hosts(&[("a", 3), ("b", 3)]));
    let division = divide(&instances, &hosts);
    assert_eq!(homes(&hosts, &division).len(), 3);
    let choice = PartChooser::new(1).choose(at(0), &division, &domain("a"), None, &[], 2.0);
    assert_eq!(choice.expect("a part").reason, PartReason::Crossing);
}

/// Guards against all processes overflowing to the same part: of two, the freer one is asked.
#[test]
fn test_choice_overflow_prefers_the_freer_part() {
    let mut asker = Asker::new();
    for (position, in_flight) in [(0, 10), (1, 54), (2, 30)] {
        asker.record(0, position, in_flight, true);
    }
    for _ in 0..10 {
        assert_eq!(asker.order(5, 0.01)[0], (0, PartReason::Overflow));
    }
    let (age, part) = (Duration::from_millis(5), 0);
    let tried = [asker.division.parts()[1].id.clone()];
    let choice = asker
        .chooser
        .choose(at(5), &asker.division, &domain("a"), Some(1), &tried, 0.0);
    let choice = choice.expect("a part");
    assert_eq!((choice.position, choice.age), (part, Some(age)));
}
