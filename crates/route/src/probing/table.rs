//! Which instances there are, handles to them, and which are asked first.
//!
//! Where many processes share many instances, each asks a few of them before all others,
//! always the same ones: connections to these stay open, and little is spent on those
//! that one process needs once a minute.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::VecDeque;

use base::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::ProbingChooser;
use super::row::Row;
use super::row::Share;
use super::row::Subset;
use crate::cost::DomainIndex;
use crate::health::Health;
use crate::health::State;
use crate::instance::Phase;
use crate::instance::Pick;
use crate::instance::ReportedInstance;

/// Fewest instances of a failure domain that are asked before its others.
const SUBSET: usize = 8;
/// Processes that have an instance in their subset, on average, so that each has some even
/// where chance spreads them unevenly: with 12 fewer than one in ten thousand has none.
const COVER: usize = 12;

impl ProbingChooser {
    /// Takes the service's instances, whole: one that is lacking has gone.
    pub fn update(&mut self, now: Moment, table: &[ReportedInstance]) {
        let mut held: HashMap<(InstanceId, u64), usize> = HashMap::new();
        for (index, row) in self.rows.iter_mut().enumerate() {
            if row.instance.phase != Phase::Gone {
                held.insert((row.instance.id.clone(), row.instance.incarnation), index);
                row.instance.phase = Phase::Gone;
            }
        }
        let mut new = Vec::new();
        for told in table {
            let instance = &told.instance;
            match held.get(&(instance.id.clone(), instance.incarnation)) {
                Some(index) => {
                    let row = &mut self.rows[*index];
                    row.instance.clone_from(instance);
                    row.silent = told.silent;
                }
                None => new.push(told),
            }
        }
        // They may take the places of those that have gone, which are known by now.
        for told in new {
            self.insert(now, told);
        }
        self.choose_subset();
        let ready = self.rows.iter().filter(|row| row.is_ready());
        let (silent, heard): (Vec<&Row>, Vec<&Row>) = ready.partition(|row| row.silent);
        self.heard = silent.len() < heard.len();
    }

    /// Names the instances of each failure domain that are asked before its others: those
    /// with the highest weights, which differ between processes and stay as they are when
    /// others come and go.
    pub(super) fn choose_subset(&mut self) {
        let mut domains: HashMap<DomainIndex, Vec<usize>> = HashMap::new();
        for (index, row) in self.rows.iter_mut().enumerate() {
            row.subset = Subset::Inside;
            if row.is_ready() {
                domains.entry(row.domain_index).or_default().push(index);
            }
        }
        let ready: usize = domains.values().map(Vec::len).sum();
        let processes = usize::try_from(self.processes).unwrap_or(usize::MAX);
        let size = (ready * COVER).div_ceil(processes).max(SUBSET);
        for mut members in domains.into_values() {
            if members.len() <= size {
                continue;
            }
            members.sort_by_cached_key(|index| Reverse(self.weight(*index)));
            for index in &members[size..] {
                self.rows[*index].subset = Subset::Outside;
            }
        }
    }

    /// The rendezvous weight of an instance in this process.
    fn weight(&self, index: usize) -> u64 {
        let id = self.rows[index].instance.id.as_str();
        xxh3_64_with_seed(id.as_bytes(), self.seed)
    }

    fn insert(&mut self, now: Moment, told: &ReportedInstance) {
        let instance = &told.instance;
        if instance.phase == Phase::Gone {
            return;
        }
        let row = Row {
            domain_index: self.domain_index(&instance.domain),
            instance: instance.clone(),
            epoch: 0,
            health: Health::new(State::Well),
            starts: Vec::new(),
            report: None,
            since: 0,
            cold_until: now + told.cold,
            share: Share::default(),
            recent: VecDeque::new(),
            probing: 0,
            mute: false,
            displaced: false,
            silent: told.silent,
            subset: Subset::Inside,
        };
        let gone = |r: &&mut Row| r.instance.phase == Phase::Gone && r.starts.is_empty();
        match self.rows.iter_mut().find(gone) {
            Some(free) => {
                let epoch = free.epoch + 1;
                *free = Row { epoch, ..row };
            }
            None => self.rows.push(row),
        }
    }

    /// The number of a failure domain, for what a request needs.
    pub fn domain_index(&mut self, domain: &DomainName) -> DomainIndex {
        let known = self.domains.iter().position(|known| known == domain);
        let index = known.unwrap_or_else(|| {
            self.domains.push(domain.clone());
            self.domains.len() - 1
        });
        DomainIndex(u32::try_from(index).unwrap_or(u32::MAX))
    }

    /// A handle to the instance of this id and incarnation, if it takes work.
    #[must_use]
    pub fn find(&self, id: &str, incarnation: u64) -> Option<Pick> {
        let here = |row: &Row| {
            row.is_ready()
                && row.instance.id.as_str() == id
                && row.instance.incarnation == incarnation
        };
        let index = self.rows.iter().position(here)?;
        Some(self.pick(index))
    }

    /// Handles to the instances of these ids.
    #[must_use]
    pub fn picks(&self, ids: &[String]) -> Vec<Pick> {
        let named = |row: &Row| ids.iter().any(|id| id == row.instance.id.as_str());
        let found = (0..self.rows.len()).filter(|index| named(&self.rows[*index]));
        found.map(|index| self.pick(index)).collect()
    }

    /// The instance's id, `None` after it has gone.
    #[must_use]
    pub fn id(&self, pick: Pick) -> Option<&InstanceId> {
        let row = self.rows.get(pick.index as usize)?;
        (row.epoch == pick.epoch).then_some(&row.instance.id)
    }
}
