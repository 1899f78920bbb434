//! A pure state machine.
//!
//! Announcements come late, twice, and by way of several hubs. [`merge`] orders those
//! of one id. Every change gets a number, so that a watcher asks for what is newer
//! than the last number that it saw.

use std::collections::BTreeMap;
use std::time::Duration;

use base::prelude::*;
use wire::hub::Instance;
use wire::hub::Phase;

use crate::check::check;
use crate::merge::Merged;
use crate::merge::merge;

/// How long the id of an instance that has left is kept, so that a late
/// announcement doesn't bring it back: well over the longest delay that a cut
/// link was seen to cause.
const KEEP_GONE: Duration = Duration::from_mins(10);

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// Watchers are to learn of it.
    Changed,
    /// It said what was known.
    Known,
    /// It is older than what is known.
    Stale,
    /// It names no instance to use; nothing is kept of it.
    Unusable,
}

#[derive(Clone, Debug)]
struct Row {
    instance: Instance,
    changed: u64,
    /// When it was last told of, by itself or by way of the log.
    told: Moment,
    /// When it last announced itself here, as long as that counts.
    heard: Option<Moment>,
}

impl Row {
    /// As watchers are told of it.
    fn shown(&self) -> Instance {
        Instance {
            heard: self.heard.is_some(),
            ..self.instance.clone()
        }
    }
}

/// All announced instances.
///
/// Invariant: `cursor` is the highest `changed` of all rows there ever were.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    cursor: u64,
    rows: BTreeMap<String, Row>,
}

impl Registry {
    /// Takes an announcement, heard by this hub or by another one.
    pub fn take(&mut self, now: Moment, instance: Instance) -> Taken {
        if check(&instance).is_err() {
            return Taken::Unusable;
        }
        let Some(row) = self.rows.get_mut(&instance.id) else {
            self.insert(now, instance);
            return Taken::Changed;
        };
        let (next, taken) = match merge(&row.instance, instance) {
            Merged::Stale => return Taken::Stale,
            Merged::Known(next) => (next, Taken::Known),
            Merged::Changed(next) => (next, Taken::Changed),
        };
        row.told = now;
        if next.incarnation != row.instance.incarnation {
            row.heard = None;
        }
        row.instance = next;
        if taken == Taken::Changed {
            self.cursor += 1;
            row.changed = self.cursor;
        }
        taken
    }

    fn insert(&mut self, now: Moment, instance: Instance) {
        self.cursor += 1;
        let row = Row {
            changed: self.cursor,
            told: now,
            heard: None,
            instance,
        };
        self.rows.insert(row.instance.id.clone(), row);
    }

    /// The number of the last change.
    #[must_use]
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// What has changed after `cursor`.
    #[must_use]
    pub fn since(&self, cursor: u64) -> Vec<Instance> {
        let newer = self.rows.values().filter(|row| row.changed > cursor);
        newer.map(Row::shown).collect()
    }

    /// All instances as watchers are told of them.
    #[must_use]
    pub fn shown(&self) -> Vec<Instance> {
        self.rows.values().map(Row::shown).collect()
    }

    /// Notes that the instance has announced itself here, in the incarnation that is held.
    pub fn hear(&mut self, now: Moment, instance: &Instance) {
        let Some(row) = self.rows.get_mut(&instance.id) else {
            return;
        };
        if row.instance.incarnation != instance.incarnation {
            return;
        }
        if row.heard.replace(now).is_none() {
            self.cursor += 1;
            row.changed = self.cursor;
        }
    }

    /// Notes which instances haven't announced themselves here for `lease`.
    pub fn miss(&mut self, now: Moment, lease: Duration) {
        for row in self.rows.values_mut() {
            if row.heard.is_some_and(|at| now.since(at) >= lease) {
                row.heard = None;
                self.cursor += 1;
                row.changed = self.cursor;
            }
        }
    }

    /// One instance.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.rows.get(id).map(|row| &row.instance)
    }

    /// All instances, those that left included, in the order of their ids.
    pub fn all(&self) -> impl Iterator<Item = &Instance> {
        self.rows.values().map(|row| &row.instance)
    }

    /// Whether this is known of the instance already.
    #[must_use]
    pub fn holds(&self, instance: &Instance) -> bool {
        self.get(&instance.id)
            .is_some_and(|held| !matches!(merge(held, instance.clone()), Merged::Changed(_)))
    }

    /// Forgets ids that left long ago.
    pub fn forget(&mut self, now: Moment) {
        self.rows.retain(|_, row| {
            row.instance.phase() != Phase::Gone || now.since(row.told) < KEEP_GONE
        });
    }
}
