//! Which instances there are, and handles to them.

use base::prelude::*;

use super::Fresh;
use super::row::Row;
use crate::cost::Home;
use crate::health::Health;
use crate::health::State;
use crate::instance::Phase;
use crate::instance::Pick;
use crate::instance::Told;

impl Fresh {
    /// Takes the service's instances, whole: one that is lacking has gone.
    pub fn update(&mut self, now: Moment, table: &[Told]) {
        for row in &mut self.rows {
            let here = |told: &Told| told.instance.is_same(&row.instance);
            if !table.iter().any(here) {
                row.instance.phase = Phase::Gone;
            }
        }
        for told in table {
            self.take(now, told);
        }
        let ready = self.rows.iter().filter(|row| row.is_ready());
        let (silent, heard): (Vec<&Row>, Vec<&Row>) = ready.partition(|row| row.silent);
        self.heard = silent.len() < heard.len();
    }

    fn take(&mut self, now: Moment, told: &Told) {
        let instance = &told.instance;
        let mut rows = self.rows.iter_mut();
        if let Some(row) = rows.find(|r| r.instance.is_same(instance)) {
            row.instance.clone_from(instance);
            row.silent = told.silent;
            return;
        }
        if instance.phase == Phase::Gone {
            return;
        }
        let row = Row {
            home: self.home(&instance.domain),
            instance: instance.clone(),
            epoch: 0,
            health: Health::new(State::Well),
            starts: Vec::new(),
            report: None,
            since: 0,
            cold_until: now + told.cold,
            probing: 0,
            mute: false,
            displaced: false,
            silent: told.silent,
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
    pub fn home(&mut self, domain: &DomainName) -> Home {
        let known = self.domains.iter().position(|known| known == domain);
        let index = known.unwrap_or_else(|| {
            self.domains.push(domain.clone());
            self.domains.len() - 1
        });
        Home(u32::try_from(index).unwrap_or(u32::MAX))
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
