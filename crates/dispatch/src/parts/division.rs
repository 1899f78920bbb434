//! Division of a service's instances into parts, and the dispatcher of each part.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;

use base::prelude::*;

/// Upper bound of the number of parts of a failure domain, as a multiple of the number that
/// evenly filled parts would need. Hashing fills parts unevenly, mostly where the limit is small.
const MAX_EXCESS: usize = 4;

/// Names a part of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId {
    /// The failure domain of its instances.
    pub domain: DomainName,
    /// Its number within the failure domain, from 0.
    pub number: u32,
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.domain, self.number)
    }
}

/// An instance of the service.
#[derive(Clone, Copy, Debug)]
pub struct Member<'a> {
    /// Its id.
    pub id: &'a InstanceId,
    /// Its failure domain.
    pub domain: &'a DomainName,
    /// Its slots; 0 if it takes no requests.
    pub slots: u32,
}

/// A process that may dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process<'a> {
    /// The address at which it answers placement requests.
    pub place: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
}

/// One part of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its name.
    pub id: PartId,
    /// The process that dispatches it; `None` without any process.
    pub dispatcher: Option<String>,
    /// Number of its instances.
    pub instances: usize,
    /// Slots of those instances that take requests.
    pub slots: u32,
}

/// A service's instances, divided into parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Division {
    parts: Vec<Part>,
    part_by_instance: HashMap<InstanceId, usize>,
}

impl Division {
    /// Divides `members` into parts of at most `limit` instances, and selects the dispatcher of
    /// each part among `processes`.
    ///
    /// Each failure domain has the smallest number of parts that keeps the limit. While that
    /// number stays the same, an instance that is added or removed moves no other.
    #[must_use]
    pub fn new(
        service: &ServiceName,
        members: &[Member<'_>],
        processes: &[Process<'_>],
        limit: usize,
    ) -> Self {
        let mut domains: BTreeMap<&DomainName, Vec<&Member<'_>>> = BTreeMap::new();
        for member in members {
            domains.entry(member.domain).or_default().push(member);
        }
        let mut division = Self::default();
        for (domain, members) in domains {
            division.add_domain(domain, &members, limit.max(1));
        }
        division.select_dispatchers(service, processes);
        division
    }

    fn add_domain(&mut self, domain: &DomainName, members: &[&Member<'_>], limit: usize) {
        let (numbers, count) = divide(members, limit);
        let first = self.parts.len();
        let parts = (0..count).map(|number| Part {
            id: PartId {
                domain: domain.clone(),
                number,
            },
            dispatcher: None,
            instances: 0,
            slots: 0,
        });
        self.parts.extend(parts);
        for (member, number) in members.iter().zip(numbers) {
            let index = first + number as usize;
            self.parts[index].instances += 1;
            self.parts[index].slots += member.slots;
            self.part_by_instance.insert(member.id.clone(), index);
        }
    }

    /// The dispatcher of a part is the first by rendezvous hashing among the processes of its
    /// failure domain. One that already dispatches a part of the service comes after all others:
    /// a process with a tenth of a core has no processor time for two parts.
    fn select_dispatchers(&mut self, service: &ServiceName, processes: &[Process<'_>]) {
        let mut taken: BTreeSet<&str> = BTreeSet::new();
        for part in &mut self.parts {
            let near = candidates(processes, part.id.domain.as_str());
            let key = format!("{service}/{}", part.id);
            let first = near.into_iter().max_by_key(|place| {
                let free = !taken.contains(place);
                (free, place::score(&key, place), Reverse(*place))
            });
            taken.extend(first);
            part.dispatcher = first.map(ToOwned::to_owned);
        }
    }

    /// All parts, by failure domain and number.
    #[must_use]
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// Whether both divide the instances into the same parts with the same dispatchers.
    #[must_use]
    pub fn has_same_dispatchers(&self, other: &Self) -> bool {
        let dispatchers = |division: &Self| -> Vec<(PartId, Option<String>)> {
            let parts = division.parts.iter();
            let named = parts.map(|part| (part.id.clone(), part.dispatcher.clone()));
            named.collect()
        };
        self.part_by_instance == other.part_by_instance && dispatchers(self) == dispatchers(other)
    }

    /// The position of a part in [`Self::parts`].
    #[must_use]
    pub fn position(&self, id: &PartId) -> Option<usize> {
        self.parts.binary_search_by(|part| part.id.cmp(id)).ok()
    }

    /// The position of the part that has the instance.
    #[must_use]
    pub fn position_of(&self, instance: &InstanceId) -> Option<usize> {
        self.part_by_instance.get(instance).copied()
    }
}

/// The addresses of the processes in the failure domain, or of all if it has none.
fn candidates<'a>(processes: &[Process<'a>], domain: &str) -> Vec<&'a str> {
    let near = processes.iter().filter(|process| process.domain == domain);
    let near: Vec<&str> = near.map(|process| process.place).collect();
    if near.is_empty() {
        processes.iter().map(|process| process.place).collect()
    } else {
        near
    }
}

/// The part number of each member, and the number of parts.
fn divide(members: &[&Member<'_>], limit: usize) -> (Vec<u32>, u32) {
    let least = members.len().div_ceil(limit);
    let most = u32::try_from(least * MAX_EXCESS).unwrap_or(u32::MAX);
    let mut best = vec![(0, 0); members.len()];
    let mut count = 0;
    while count < most {
        let number = count.to_string();
        for (member, best) in members.iter().zip(&mut best) {
            let score = place::score(member.id.as_str(), &number);
            if count == 0 || score > best.0 {
                *best = (score, count);
            }
        }
        count += 1;
        if count as usize >= least && largest(&best, count) <= limit {
            break;
        }
    }
    (best.into_iter().map(|(_, number)| number).collect(), count)
}

/// Size of the largest part.
fn largest(best: &[(u64, u32)], count: u32) -> usize {
    let mut sizes = vec![0; count as usize];
    for (_, number) in best {
        sizes[*number as usize] += 1;
    }
    sizes.into_iter().max().unwrap_or_default()
}
