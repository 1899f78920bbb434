//! The instance table, handles to instances, and this process's subset.
//!
//! Where many processes share many instances, each process prefers a fixed subset
//! of them. This keeps connections to the subset open, and avoids the cost of
//! connections that one process rarely uses.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::VecDeque;

use base::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::ProbingChooser;
use super::entry::Entry;
use super::entry::Presence;
use super::entry::Share;
use super::entry::Subset;
use super::loss::Loss;
use crate::backoff::Backoff;
use crate::cost::DomainIndex;
use crate::health::Health;
use crate::health::State;
use crate::instance::Phase;
use crate::instance::Pick;
use crate::instance::ReportedInstance;

/// Minimum subset size in each failure domain.
const MIN_SUBSET: usize = 8;
/// Average number of processes that have an instance in their subset; large enough that an
/// instance without any is improbable.
const PROCESSES_PER_INSTANCE: usize = 12;

impl ProbingChooser {
    /// Applies the complete instance table; an instance that it lacks has been removed.
    pub fn update(&mut self, now: Moment, table: &[ReportedInstance]) {
        let mut known: HashMap<(InstanceId, u64), usize> = HashMap::new();
        for (index, entry) in self.entries.iter_mut().enumerate() {
            if entry.instance.phase != Phase::Gone {
                known.insert(
                    (entry.instance.id.clone(), entry.instance.incarnation),
                    index,
                );
                entry.instance.phase = Phase::Gone;
            }
        }
        let mut new = Vec::new();
        for reported in table {
            let instance = &reported.instance;
            match known.get(&(instance.id.clone(), instance.incarnation)) {
                Some(index) => {
                    let entry = &mut self.entries[*index];
                    entry.instance.clone_from(instance);
                    entry.silent = reported.silent;
                }
                None => new.push(reported),
            }
        }
        // New instances may reuse the entries of removed ones, all of which are marked by now.
        for reported in new {
            self.insert(now, reported);
        }
        self.choose_subset();
        let ready = self.entries.iter().filter(|entry| entry.is_ready());
        let (silent, announced): (Vec<&Entry>, Vec<&Entry>) = ready.partition(|entry| entry.silent);
        self.most_announced = silent.len() < announced.len();
    }

    /// Selects the subset of each failure domain: the instances with the highest rendezvous
    /// weights. Weights differ between processes and don't change as instances come and go.
    pub(super) fn choose_subset(&mut self) {
        let mut domains: HashMap<DomainIndex, Vec<usize>> = HashMap::new();
        for (index, entry) in self.entries.iter_mut().enumerate() {
            entry.subset = Subset::Inside;
            if entry.is_ready() {
                domains.entry(entry.domain_index).or_default().push(index);
            }
        }
        let ready: usize = domains.values().map(Vec::len).sum();
        let processes = usize::try_from(self.processes).unwrap_or(usize::MAX);
        let size = (ready * PROCESSES_PER_INSTANCE)
            .div_ceil(processes)
            .max(MIN_SUBSET);
        for mut members in domains.into_values() {
            if members.len() <= size {
                continue;
            }
            members.sort_by_cached_key(|index| Reverse(self.weight(*index)));
            for index in &members[size..] {
                self.entries[*index].subset = Subset::Outside;
            }
        }
    }

    /// The rendezvous weight of an instance in this process.
    fn weight(&self, index: usize) -> u64 {
        let id = self.entries[index].instance.id.as_str();
        xxh3_64_with_seed(id.as_bytes(), self.seed)
    }

    fn insert(&mut self, now: Moment, reported: &ReportedInstance) {
        let instance = &reported.instance;
        if instance.phase == Phase::Gone {
            return;
        }
        let entry = Entry {
            domain_index: self.domain_index(&instance.domain),
            instance: instance.clone(),
            generation: 0,
            health: Health::new(State::Healthy),
            starts: Vec::new(),
            report: None,
            attempts_since_report: 0,
            cold_until: now + reported.cold,
            share: Share::default(),
            limit: None,
            backoff: Backoff::default(),
            loss: Loss::default(),
            recent_starts: VecDeque::new(),
            probes_in_flight: 0,
            last_probe_failed: false,
            presence: Presence::Present,
            silent: reported.silent,
            subset: Subset::Inside,
            part: None,
        };
        let removed = |e: &&mut Entry| e.instance.phase == Phase::Gone && e.starts.is_empty();
        match self.entries.iter_mut().find(removed) {
            Some(free) => {
                let generation = free.generation + 1;
                *free = Entry {
                    generation,
                    ..entry
                };
            }
            None => self.entries.push(entry),
        }
    }

    /// The index of a failure domain, for [`Need::domain_index`](crate::Need::domain_index).
    pub fn domain_index(&mut self, domain: &DomainName) -> DomainIndex {
        let known = self.domains.iter().position(|known| known == domain);
        let index = known.unwrap_or_else(|| {
            self.domains.push(domain.clone());
            self.domains.len() - 1
        });
        DomainIndex(u32::try_from(index).unwrap_or(u32::MAX))
    }

    /// A handle to the instance with this id and incarnation, if it is ready.
    #[must_use]
    pub fn find(&self, id: &str, incarnation: u64) -> Option<Pick> {
        let here = |entry: &Entry| {
            entry.is_ready()
                && entry.instance.id.as_str() == id
                && entry.instance.incarnation == incarnation
        };
        let index = self.entries.iter().position(here)?;
        Some(self.pick(index))
    }

    /// Handles to the instances with these ids.
    #[must_use]
    pub fn picks(&self, ids: &[String]) -> Vec<Pick> {
        let named = |entry: &Entry| ids.iter().any(|id| id == entry.instance.id.as_str());
        let found = (0..self.entries.len()).filter(|index| named(&self.entries[*index]));
        found.map(|index| self.pick(index)).collect()
    }

    /// The instance's id, `None` once the instance is removed.
    #[must_use]
    pub fn id(&self, pick: Pick) -> Option<&InstanceId> {
        let entry = self.entries.get(pick.index as usize)?;
        (entry.generation == pick.generation).then_some(&entry.instance.id)
    }
}
